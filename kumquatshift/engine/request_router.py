"""Executes the request policy's decisions between entries, callers and targets.

The flow's primary calls the policy. Its decision is relayed through the other
holders, which adopt it, before the packet reaches a target or the caller. A
holder that knows of a contradicting decision drops the packet.

All requests of a service have the same holders, so that a single entry grants
the slots of the service's targets, and no two entries grant the same slot. The
module `holders` selects the holders.
"""

from .actions import Action, DropReason, SendCaller, SendPeer, SendTarget
from .decisions import (
    Decision,
    ForwardToTarget,
    Refuse,
    ReplicateAndForward,
    ReturnToCaller,
)
from .holders import RequestHolders
from .messages import Direction, Record, RecordBatch, Relay
from .node import Node
from .packets import KEY_BYTES, flow_key, reverse_key
from .refusals import record_fields_of
from .requests import RequestPolicy
from .slots import SlotPool
from .store import ServiceView

RECORDS_PER_BATCH = 20
RECORDS_PER_TICK = 200


class RequestRouter:
    """Routes the packets of request services on one entry."""

    def __init__(self, node: Node):
        self._node = node
        self._holders = RequestHolders(node)
        now = node.clock.seconds()
        self._pool = SlotPool.from_config({}, [], now)
        self._policy = RequestPolicy.from_config(
            {}, self._pool, self._holders, node.rng
        )
        self._usable_targets: frozenset[str] = frozenset()
        self._rings = (node.members.known, node.members.ring)
        self._pending_copies: list[tuple[str, Record]] = []

    @property
    def counts(self) -> dict[str, int]:
        """Number of discarded packets, retries and refusals, by cause."""
        discarded = {f"requests-{c}": n for c, n in self._policy.counts.items()}
        refused = {
            f"refused-{kind}-{cause}": n
            for (kind, cause), n in self._policy.refused.items()
        }
        return discarded | refused

    def latencies(self) -> list[tuple[str, float]]:
        """Return profile and latency in s of requests answered since the last call."""
        by_name = self._node.store.by_name
        latencies_taken = [
            (by_name[each.service].profile.name, each.seconds)
            for each in self._policy.latencies
            if each.service in by_name
        ]
        self._policy.latencies.clear()
        return latencies_taken

    def configure(self, now: float) -> list[Action]:
        """Apply the configuration in force, and handle the targets that it removed."""
        node = self._node
        views = node.store.by_name.values()
        requests = {
            view.service.name: view.profile for view in views if view.takes_requests
        }
        targets = [
            target
            for target in node.store.targets.values()
            if target.service in requests
            and node.store.domain_in_service(target.domain)
        ]
        self._pool.configure(requests, targets, now)
        self._policy.configure(requests)
        names = frozenset(target.name for target in targets)
        lost, self._usable_targets = self._usable_targets - names, names
        decisions = [
            d for name in lost for d in self._policy.handle_lost_target(name, now)
        ]
        return self._actions_for(decisions)

    def primary(self, view: ServiceView) -> str:
        """Return the primary entry of a service's requests, or "" if there is none."""
        return self._holders.primary(view)

    def quiet_times_over(self, now: float) -> dict[str, bool]:
        """Return, by request service, whether this entry can recognise new requests."""
        return {
            name: self._holders.quiet_time_over(view, now)
            for name, view in self._node.store.by_name.items()
            if view.takes_requests
        }

    def from_caller(self, view: ServiceView, data: bytes, now: float) -> list[Action]:
        """Handle a packet from a caller as the flow's primary."""
        decisions = self._policy.request(view.service.name, flow_key(data), data, now)
        return self._actions_for(decisions)

    def from_target(self, data: bytes, now: float) -> list[Action]:
        """Handle a packet from a target as the flow's primary."""
        return self._actions_for(self._policy.response(reverse_key(data), data, now))

    def adopt_and_relay(
        self, relay: Relay, view: ServiceView, now: float
    ) -> list[Action]:
        """Adopt the primary's decision as a holder, and relay the packet further."""
        record = relay.record
        name = view.service.name
        if record.service != view.created:
            return [self._node.drop(DropReason.UNKNOWN_SERVICE)]
        adopted = self._policy.adopt(name, record, now)
        counts_as_voter = relay.copies > 0
        if not adopted or (
            counts_as_voter and not self._holders.quiet_time_over(view, now)
        ):
            return [self._node.drop(DropReason.CONTRADICTED)]
        return self._send_along_path(relay.path, record, relay.data, relay.copies - 1)

    def adopt(self, record: Record, now: float) -> None:
        """Adopt a record that was copied outside the packet path."""
        view = self._holders.view(record.key)
        if view is not None and view.created == record.service:
            self._policy.adopt(view.service.name, record, now)

    def tick(self, now: float) -> list[Action]:
        """Handle timeouts and pending copies; to be called about every 50 ms."""
        self._pool.unreachable_domains = self._unreachable_domains()
        return self._actions_for(self._policy.tick(now)) + self._next_record_batches()

    def ring_changed(self) -> None:
        """Queue copies of open exchanges to their new holders, sent over later ticks.

        Both the primary before the change and the present one send them, since
        the former may have failed.
        """
        members, holders = self._node.members, self._holders
        before, self._rings = self._rings, (members.known, members.ring)
        for exchange in self._policy.exchanges.open():
            if not exchange.target:
                continue
            flow = exchange.flow
            if holders.is_primary(flow) or holders.was_primary(flow, *before):
                record = self._record(record_fields_of(exchange))
                names = holders.voters(flow) + holders.non_voters(flow)
                self._pending_copies += [(name, record) for name in names]

    def _next_record_batches(self):
        """Return the next pending copies, in batches for each receiving entry."""
        due, self._pending_copies = (
            self._pending_copies[:RECORDS_PER_TICK],
            self._pending_copies[RECORDS_PER_TICK:],
        )
        by_peer: dict[str, list[Record]] = {}
        for name, record in due:
            by_peer.setdefault(name, []).append(record)
        return [
            SendPeer(name, RecordBatch(tuple(each[start : start + RECORDS_PER_BATCH])))
            for name, each in by_peer.items()
            for start in range(0, len(each), RECORDS_PER_BATCH)
        ]

    def _unreachable_domains(self):
        """Return the failure domains of targets that this entry can't reach."""
        node = self._node
        domains = {target.domain for target in self._pool.targets.values()}
        return frozenset(name for name in domains if not node.is_reachable(name))

    def _record(self, record_fields):
        view = self._holders.view(record_fields.key)
        created = view.created if view is not None else 0
        return Record(
            record_fields.key,
            record_fields.target,
            created,
            record_fields.born_ms,
            record_fields.epoch,
            False,
            record_fields.detail,
        )

    def _actions_for(self, decisions: list[Decision]) -> list[Action]:
        actions = []
        for decision in decisions:
            actions += self._actions_for_one(decision)
        return actions

    def _actions_for_one(self, decision):
        if isinstance(decision, ReturnToCaller):
            return [SendCaller(decision.data)]
        if isinstance(decision, ForwardToTarget):
            return self._to_target(decision.target, decision.data)
        if isinstance(decision, ReplicateAndForward) or (
            isinstance(decision, Refuse) and decision.record_fields
        ):
            record = self._record(decision.record_fields)
            flow = decision.record_fields.key[:KEY_BYTES]
            voters = self._holders.voters(flow)
            path = voters + self._holders.non_voters(flow)
            return self._send_along_path(path, record, decision.data, len(voters))
        if isinstance(decision, Refuse):
            return [SendCaller(decision.data)]
        return []

    def _send_along_path(self, path, record, data, voters):
        """Relay a record and its packet through the path, or deliver the packet.

        The first ``voters`` entries of the path must be voters; the others only store
        the record.
        """
        if path:
            relay = Relay(
                data,
                Direction.TO_TARGET,
                self._node.name,
                path[1:],
                (),
                record,
                max(0, voters),
            )
            return [SendPeer(path[0], relay)]
        if record.target:
            return self._to_target(record.target, data)
        return [SendCaller(data)]

    def _to_target(self, name, data):
        node = self._node
        target = node.store.targets.get(name)
        if target is None or not node.store.domain_in_service(target.domain):
            return [node.drop(DropReason.DOMAIN_OUT)]
        node.sent[name] += 1
        return [SendTarget(target.host, target.port, data)]
