"""State shared by the components of one entry's engine."""

from collections import Counter, defaultdict
from dataclasses import dataclass

from .actions import Drop, DropReason
from .choice import TargetChooser, admitted
from .flows import FlowTable
from .members import Membership, MemberTimers, Vm
from .messages import EntryState, Record
from .objects import Target
from .ports import Clock, Randomness
from .ring import COPIES
from .store import ConfigStore, ServiceView

SETTLE_S = 15.0
MAX_SETTLE_S = 60.0
RECORD_WIRE_BYTES = 30
BATCH_WIRE_BYTES = 96


@dataclass(frozen=True)
class Limits:
    """Resource limits of one entry.

    ``copy_bytes_per_s`` limits the rate at which records are copied in the
    background. ``max_flows`` is the number of flows at which new ones are refused.
    """

    copy_bytes_per_s: float = 2500.0
    max_flows: int = 500_000


class Node:
    """State of one entry: configuration, members, flows and counters."""

    def __init__(
        self,
        me: Vm,
        incarnation: int,
        clock: Clock,
        rng: Randomness,
        timers: MemberTimers,
        limits: Limits,
    ):
        self.me = me
        self.name = me.name
        self.clock = clock
        self.rng = rng
        self.limits = limits
        self.timers = timers
        self.store = ConfigStore()
        self.members = Membership(me, incarnation, timers, self.store.domain_in_service)
        self.flows = FlowTable()
        self.chooser = TargetChooser()
        self.counters: Counter[str] = Counter()
        self.sent: defaultdict[str, int] = defaultdict(int)
        self.state = EntryState.JOINING
        self.ring_changed_at = clock.seconds()
        self.resumed_at = float("-inf")
        self.resuming = False

    def settled(self, now: float) -> bool:
        """Return whether the ring has been stable long enough to copy all records."""
        copy_bytes = len(self.flows) * RECORD_WIRE_BYTES
        copy_s = copy_bytes / self.limits.copy_bytes_per_s
        settle_s = min(MAX_SETTLE_S, SETTLE_S + copy_s)
        return now - self.ring_changed_at > settle_s

    def drop(self, reason: DropReason) -> Drop:
        """Count a dropped packet and return the action that drops it."""
        self.counters[reason.value] += 1
        return Drop(reason)

    def usable(self, record: Record, view: ServiceView) -> Target | None:
        """Return the target of a record, or None if the record is no longer valid.

        A record is valid while the service has not been recreated, the target
        exists, and the target's failure domain is in service.
        """
        if record.service != view.created:
            return None
        target = view.targets.get(record.target)
        if target is None or not self.store.domain_in_service(target.domain):
            return None
        return target

    def candidate_targets(self, view: ServiceView) -> list[Target]:
        """Return the targets that may take new work.

        Targets in reachable domains are returned if there are any, otherwise all.
        """
        in_service = [
            t for t in admitted(view) if self.store.domain_in_service(t.domain)
        ]
        reachable = [t for t in in_service if self.is_reachable(t.domain)]
        return reachable or in_service

    def has_capacity(self, target: Target) -> bool:
        """Estimate whether a target can take one more flow.

        Each record has three copies, spread evenly over the entries, so the number of
        records held here for a target gives an estimate of its flows in all.
        """
        entries = len(self.members.ring.entries)
        held = self.flows.held.get(target.name, 0)
        return held * entries < target.connections * min(COPIES, entries)

    def is_partitioned(self) -> bool:
        """Return whether a domain in service with listed entries is unreachable."""
        return any(
            member.listed
            and member.domain not in self.members.reachable_domains
            and self.store.domain_in_service(member.domain)
            for member in self.members.members.values()
        )

    def is_reachable(self, domain: str) -> bool:
        """Return whether a domain is reachable, judged by its entries.

        A domain without known entries counts as reachable.
        """
        if domain in self.members.reachable_domains:
            return True
        known = self.members.members.values()
        return not any(member.domain == domain for member in known)
