"""Which entries are there: heartbeats joined with the platform's lagging list.

Nothing is elected and entries may disagree; flows are found all the same. An
entry takes part when its heartbeats arrive, it says that ours arrive too, it is
not leaving, and its failure domain is in service.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .messages import EntryState, Heartbeat
from .ring import Ring, RingEntry


@dataclass(frozen=True)
class Vm:
    """An entry VM as the platform's list or the settings name it."""

    name: str
    domain: str
    address: str
    leaving: bool = False


@dataclass(frozen=True)
class MemberTimers:
    """Times in seconds: between heartbeats, until suspected, until forgotten."""

    heartbeat_s: float = 1.0
    suspect_s: float = 2.5
    forget_s: float = 60.0


class Member:
    """What is known of one other entry."""

    __slots__ = (
        "address",
        "back_since",
        "digest",
        "domain",
        "hears_us",
        "incarnation",
        "first_heard",
        "last_heard",
        "listed",
        "name",
        "sequence",
        "state",
    )

    def __init__(self, vm: Vm):
        self.name = vm.name
        self.domain = vm.domain
        self.address = vm.address
        self.incarnation = 0
        self.sequence = 0
        self.state = EntryState.JOINING
        self.first_heard = float("inf")
        self.last_heard = float("-inf")
        self.back_since = float("-inf")
        self.hears_us = False
        self.digest = 0
        self.listed = True


class Membership:
    """The members that one entry knows, and the ring that follows from them."""

    def __init__(
        self,
        me: Vm,
        incarnation: int,
        timers: MemberTimers,
        domain_in: Callable[[str], bool],
    ):
        self.me = me
        self.incarnation = incarnation
        self.timers = timers
        self.members: dict[str, Member] = {}
        self.ring = Ring([])
        self.known = Ring([])
        self.reachable_domains: frozenset[str] = frozenset()
        self._domain_in = domain_in
        self._latest: dict[str, tuple[int, int]] = {}

    def list_vms(self, vms: Iterable[Vm], now: float) -> None:
        """Take in a list of VMs; a list may lag, miss members or name dead ones."""
        listed = {vm.name: vm for vm in vms if vm.name != self.me.name}
        for name, vm in listed.items():
            if name not in self.members:
                self.members[name] = Member(vm)
            elif not self.alive(self.members[name], now):
                self.members[name].address = vm.address
                self.members[name].domain = vm.domain
        for name, member in self.members.items():
            member.listed = name in listed

    def heard(self, beat: Heartbeat, now: float) -> bool:
        """Take in a heartbeat; return False if it is out of date."""
        latest = self._latest.get(beat.name, (0, 0))
        if beat.name == self.me.name or (beat.incarnation, beat.sequence) <= latest:
            return False
        member = self.members.get(beat.name)
        if member is None:
            member = Member(Vm(beat.name, beat.domain, beat.address))
            member.listed = False
            self.members[beat.name] = member
        if not self.recent(member, now) or member.incarnation != beat.incarnation:
            member.back_since = now
        self._latest[beat.name] = (beat.incarnation, beat.sequence)
        if member.incarnation != beat.incarnation:
            member.first_heard = now
        member.domain = beat.domain
        member.address = beat.address
        member.incarnation = beat.incarnation
        member.sequence = beat.sequence
        member.state = beat.state
        member.digest = beat.digest
        member.hears_us = self.me.name in beat.heard
        member.last_heard = now
        return True

    def alive(self, member: Member, now: float) -> bool:
        """Tell whether packets reach a member, as far as heartbeats show."""
        return self.recent(member, now) and member.hears_us

    def recent(self, member: Member, now: float) -> bool:
        """Tell whether a member's heartbeats arrive."""
        return now - member.last_heard <= self.timers.suspect_s

    def unheard(self, now: float) -> bool:
        """Tell whether others are there, of whom none hears us.

        One that has just come back, or that joins, has had no time to hear us.
        """
        grace_s = 2 * self.timers.heartbeat_s
        there = [
            member
            for member in self.members.values()
            if self.recent(member, now)
            and member.state is EntryState.LIVE
            and now - member.back_since > grace_s
        ]
        return bool(there) and not any(member.hears_us for member in there)

    def last_heard(self, domain: str) -> float:
        """Return when the last heartbeat came from a failure domain."""
        times = [m.last_heard for m in self.members.values() if m.domain == domain]
        return max(times, default=float("-inf"))

    def heard_names(self, now: float) -> tuple[str, ...]:
        """Return the names of the members whose heartbeats arrive."""
        return tuple(
            member.name for member in self.members.values() if self.recent(member, now)
        )

    def excuse(self, gap_s: float) -> None:
        """Do not hold against the members a gap in which we did not run."""
        for member in self.members.values():
            member.last_heard += gap_s

    def refresh(self, now: float, include_me: bool) -> bool:
        """Work the rings out again; return True if that of live entries changed.

        ``known`` also has the entries that are out of reach but may still run.
        """
        self._forget(now)
        alive = [m for m in self.members.values() if self.alive(m, now)]
        reachable = {member.domain for member in alive}
        reachable.add(self.me.domain)
        self.reachable_domains = frozenset(reachable)
        serving = [m for m in self.members.values() if self._may_serve(m)]
        known = [_ring_entry(member) for member in serving]
        entries = [_ring_entry(member) for member in serving if self.alive(member, now)]
        if include_me and self._domain_in(self.me.domain):
            me = RingEntry(self.me.name, self.me.domain, self.incarnation)
            entries.append(me)
            known.append(me)
        self.known = _kept_or_new(self.known, known)
        ring = _kept_or_new(self.ring, entries)
        if ring is self.ring:
            return False
        self.ring = ring
        return True

    def leaving(self, now: float) -> tuple[str, ...]:
        """Return the members that leave but still hold flows.

        Those of a failure domain that is out get no packets any more.
        """
        return tuple(
            member.name
            for member in self.members.values()
            if self.alive(member, now)
            and member.state is EntryState.LEAVING
            and self._domain_in(member.domain)
        )

    def _may_serve(self, member):
        return member.state is EntryState.LIVE and self._domain_in(member.domain)

    def _forget(self, now):
        gone = [
            name
            for name, member in self.members.items()
            if not member.listed and now - member.last_heard > self.timers.forget_s
        ]
        for name in gone:
            del self.members[name]


def _ring_entry(member):
    return RingEntry(member.name, member.domain, member.incarnation)


def _kept_or_new(ring, entries):
    """Return the ring of these entries, the same object if nothing changed."""
    new = Ring(entries)
    return ring if new.entries == ring.entries else new
