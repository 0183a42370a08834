"""Track the entries in service, from heartbeats and the platform's VM list.

The list lags behind. There is no leader election and entries may disagree about
the membership; flows are found nevertheless. An entry is in the ring when its
heartbeats arrive, it reports that this entry's heartbeats arrive too, it is not
joining or leaving, and its failure domain is in service.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .messages import EntryState, Heartbeat
from .ring import Ring, RingEntry


@dataclass(frozen=True)
class Vm:
    """An entry VM as given by the platform's list or the settings."""

    name: str
    domain: str
    address: str
    leaving: bool = False


@dataclass(frozen=True)
class MemberTimers:
    """Membership timers.

    ``heartbeat_s`` is the interval between heartbeats, ``suspect_s`` the time
    without a heartbeat after which a member is suspected, and ``forget_s`` the time
    after which one that the platform doesn't list is removed.
    """

    heartbeat_s: float = 1.0
    suspect_s: float = 2.5
    forget_s: float = 60.0


class Member:
    """State of one other entry, as known here."""

    __slots__ = (
        "address",
        "heard_since",
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
        self.heard_since = float("-inf")
        self.hears_us = False
        self.digest = 0
        self.listed = True


class Membership:
    """The members known to one entry, and the rings built from them.

    ``ring`` has the live entries that are reachable. ``known`` also has unreachable
    entries that may still be running.
    """

    def __init__(
        self,
        me: Vm,
        incarnation: int,
        timers: MemberTimers,
        domain_in_service: Callable[[str], bool],
    ):
        self.me = me
        self.incarnation = incarnation
        self.timers = timers
        self.members: dict[str, Member] = {}
        self.ring = Ring([])
        self.known = Ring([])
        self.reachable_domains: frozenset[str] = frozenset()
        self._domain_in_service = domain_in_service
        self._latest: dict[str, tuple[int, int]] = {}

    def list_vms(self, vms: Iterable[Vm], now: float) -> None:
        """Merge a list of VMs, which may lag, miss members or contain failed ones."""
        listed = {vm.name: vm for vm in vms if vm.name != self.me.name}
        for name, vm in listed.items():
            if name not in self.members:
                self.members[name] = Member(vm)
            elif not self.alive(self.members[name], now):
                self.members[name].address = vm.address
                self.members[name].domain = vm.domain
        for name, member in self.members.items():
            member.listed = name in listed

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return False if it is out of date."""
        latest = self._latest.get(heartbeat.name, (0, 0))
        if (
            heartbeat.name == self.me.name
            or (heartbeat.incarnation, heartbeat.sequence) <= latest
        ):
            return False
        member = self.members.get(heartbeat.name)
        if member is None:
            member = Member(Vm(heartbeat.name, heartbeat.domain, heartbeat.address))
            member.listed = False
            self.members[heartbeat.name] = member
        if (
            not self.is_recently_heard(member, now)
            or member.incarnation != heartbeat.incarnation
        ):
            member.heard_since = now
        self._latest[heartbeat.name] = (heartbeat.incarnation, heartbeat.sequence)
        if member.incarnation != heartbeat.incarnation:
            member.first_heard = now
        member.domain = heartbeat.domain
        member.address = heartbeat.address
        member.incarnation = heartbeat.incarnation
        member.sequence = heartbeat.sequence
        member.state = heartbeat.state
        member.digest = heartbeat.digest
        member.hears_us = self.me.name in heartbeat.heard
        member.last_heard = now
        return True

    def alive(self, member: Member, now: float) -> bool:
        """Return whether heartbeats get through to and from a member."""
        return self.is_recently_heard(member, now) and member.hears_us

    def is_recently_heard(self, member: Member, now: float) -> bool:
        """Return whether a member's heartbeats arrive."""
        return now - member.last_heard <= self.timers.suspect_s

    def is_unheard_by_peers(self, now: float) -> bool:
        """Return whether live members are heard, but none of them hears this entry.

        Members that are joining or were heard again only recently don't count, as
        they may not have received a heartbeat yet.
        """
        grace_s = 2 * self.timers.heartbeat_s
        established = [
            member
            for member in self.members.values()
            if self.is_recently_heard(member, now)
            and member.state is EntryState.LIVE
            and now - member.heard_since > grace_s
        ]
        return bool(established) and not any(member.hears_us for member in established)

    def last_heard(self, domain: str) -> float:
        """Return when the last heartbeat from a failure domain arrived."""
        times = [m.last_heard for m in self.members.values() if m.domain == domain]
        return max(times, default=float("-inf"))

    def recently_heard_names(self, now: float) -> tuple[str, ...]:
        """Return the names of the members whose heartbeats arrive."""
        return tuple(
            member.name
            for member in self.members.values()
            if self.is_recently_heard(member, now)
        )

    def discount_pause(self, gap_s: float) -> None:
        """Exclude a pause of this process from the members' heartbeat ages."""
        for member in self.members.values():
            member.last_heard += gap_s

    def refresh(self, now: float, include_self: bool) -> bool:
        """Rebuild the rings; return True if the ring of live entries changed."""
        self._forget(now)
        alive = [m for m in self.members.values() if self.alive(m, now)]
        reachable = {member.domain for member in alive}
        reachable.add(self.me.domain)
        self.reachable_domains = frozenset(reachable)
        serving = [m for m in self.members.values() if self._may_serve(m)]
        known = [_ring_entry(member) for member in serving]
        entries = [_ring_entry(member) for member in serving if self.alive(member, now)]
        if include_self and self._domain_in_service(self.me.domain):
            me = RingEntry(self.me.name, self.me.domain, self.incarnation)
            entries.append(me)
            known.append(me)
        self.known = _reuse_if_equal(self.known, known)
        ring = _reuse_if_equal(self.ring, entries)
        if ring is self.ring:
            return False
        self.ring = ring
        return True

    def leaving(self, now: float) -> tuple[str, ...]:
        """Return the members that are leaving and may still hold flows.

        Members of a failure domain that is out of service are left out, as they get
        no packets.
        """
        return tuple(
            member.name
            for member in self.members.values()
            if self.alive(member, now)
            and member.state is EntryState.LEAVING
            and self._domain_in_service(member.domain)
        )

    def _may_serve(self, member):
        return member.state is EntryState.LIVE and self._domain_in_service(
            member.domain
        )

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


def _reuse_if_equal(ring, entries):
    """Return a ring of these entries, the same object if they have not changed."""
    new = Ring(entries)
    return ring if new.entries == ring.entries else new
