"""Membership of entries, and selection of those that read the store for others.

Entries of a failure domain send each other heartbeats. Two of them, chosen by
rendezvous hashing among those that reach the store, watch it and pass changes on
to the rest. There is no election and no consensus: a reader too many or too few
for a moment only costs a few calls, and an entry without peers reads the store
itself.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

import xxhash

from .calls import FeedStatus
from .events import Event
from .failure_detector import Refutation, Suspect

if TYPE_CHECKING:
    from .events import EventSink

HEARTBEAT_INTERVAL_S = 1.0

# A reader's heartbeat also carries the age of its updates, so it is sent more
# often.
READER_HEARTBEAT_INTERVAL_S = 0.5

# Three and a half heartbeat intervals, so that two in a row may be lost.
PEER_TIMEOUT_S = 3.5

READERS_PER_DOMAIN = 2

# In smaller domains, a watch by each entry costs fewer calls than two readers,
# whose watches are renewed about every second to prove that they work.
MIN_ENTRIES_FOR_READERS = 6

# A seed remembers the entries that have queried it, so that entries of one domain
# find each other through a seed in another.
QUERIER_TTL_S = 30.0
MAX_QUERIERS = 2000

# When to query the seeds for other entries: several times soon after the start, as all
# entries may start at once, and regularly later. These queries keep the seeds aware of
# entries that start, return or outlive a seed's restart.
DISCOVERY_DELAYS_S = (0.0, 0.5, 1.5, 4.0)
QUERY_INTERVAL_S = 5.0


class PeerHeartbeat(NamedTuple):
    """Heartbeat that an entry sends to its peers in the domain."""

    name: str
    domain: str
    address: tuple[str, int]
    incarnation: int
    is_leaving: bool
    reaches_store: bool
    statuses: tuple[FeedStatus, ...]
    suspects: tuple[Suspect, ...]
    refutations: tuple[Refutation, ...]


class Member(NamedTuple):
    """Name, domain and address of an entry."""

    name: str
    domain: str
    address: tuple[str, int]


class ReceivedHeartbeat(NamedTuple):
    """A heartbeat and the time of its arrival."""

    heartbeat: PeerHeartbeat
    at: float


class Members:
    """The other entries known to one entry."""

    def __init__(self, me: Member, seeds: Iterable[tuple[str, int]], events: EventSink):
        self.me = me
        self._seeds = tuple(seed for seed in seeds if seed != me.address)
        self._events = events
        self._heartbeats: dict[str, ReceivedHeartbeat] = {}
        self._candidates: dict[str, Member] = {}
        self._queriers: dict[str, tuple[Member, float]] = {}

    def receive_heartbeat(self, heartbeat: PeerHeartbeat, now: float) -> bool:
        """Process a heartbeat; return whether it is a new peer's first one."""
        if heartbeat.name == self.me.name:
            return False
        is_new_peer = (
            heartbeat.name not in self._heartbeats
            and heartbeat.domain == self.me.domain
        )
        if is_new_peer:
            self._events.emit(Event.PEER_JOINED, peer=heartbeat.name)
        self._heartbeats[heartbeat.name] = ReceivedHeartbeat(heartbeat, now)
        self._candidates.pop(heartbeat.name, None)
        return is_new_peer

    def add_candidates(self, members: Iterable[Member]) -> list[Member]:
        """Add entries of the own domain that have not sent a heartbeat yet.

        Returns those that were unknown until now.
        """
        added = []
        for member in members:
            is_peer = member.name in self._heartbeats or member.name == self.me.name
            if is_peer or member.domain != self.me.domain:
                continue
            if self._candidates.get(member.name) != member:
                added.append(member)
            self._candidates[member.name] = member
        return added

    def note_query(self, member: Member, now: float) -> list[Member]:
        """Record an entry that queried this one, to name it to others in its domain.

        Returns it if it is a candidate that was unknown until now.
        """
        if len(self._queriers) < MAX_QUERIERS or member.name in self._queriers:
            self._queriers[member.name] = member, now
        return self.add_candidates((member,))

    def expire(self, now: float) -> None:
        """Drop entries whose last heartbeat or query is too old."""
        for name, (_, at) in list(self._queriers.items()):
            if now - at > QUERIER_TTL_S:
                del self._queriers[name]
        for name, received in list(self._heartbeats.items()):
            if now - received.at > PEER_TIMEOUT_S:
                del self._heartbeats[name]
                if received.heartbeat.domain == self.me.domain:
                    self._events.emit(
                        Event.PEER_LOST, peer=name, silent_s=round(now - received.at, 3)
                    )

    def peers(self) -> list[ReceivedHeartbeat]:
        """Return the latest heartbeats of the other entries in the domain."""
        own = self.me.domain
        return [
            received
            for received in self._heartbeats.values()
            if received.heartbeat.domain == own
        ]

    def domain_members(self, domain: str) -> tuple[Member, ...]:
        """Return known entries of any domain, this one included."""
        found = {
            member.name: member
            for member, _ in self._queriers.values()
            if member.domain == domain
        }
        if domain == self.me.domain:
            for heartbeat, _ in self.peers():
                name = heartbeat.name
                found[name] = Member(name, heartbeat.domain, heartbeat.address)
            found[self.me.name] = self.me
        return tuple(found.values())

    def addresses(self) -> list[tuple[str, int]]:
        """Return the addresses to send heartbeats to: peers and candidates."""
        found = {received.heartbeat.address for received in self.peers()}
        found.update(member.address for member in self._candidates.values())
        return sorted(found)

    def expected(self) -> int:
        """Return the number of entries in the domain if all candidates are alive."""
        return len(self.names()) + len(self._candidates)

    def drop_candidates(self) -> None:
        """Drop entries that were named by others but sent no heartbeat."""
        self._candidates.clear()

    def seeds(self) -> tuple[tuple[str, int], ...]:
        """Return the addresses to query for other entries."""
        return self._seeds

    def names(self) -> list[str]:
        """Return the names of the domain's entries, this one included."""
        return sorted(
            [self.me.name, *(received.heartbeat.name for received in self.peers())]
        )

    def uses_readers(self) -> bool:
        """Return whether the domain is large enough to use shared readers."""
        return len(self.peers()) + 1 >= MIN_ENTRIES_FOR_READERS

    def is_reader(self, kind: str, reaches_store: bool) -> bool:
        """Return whether this entry is one of the domain's readers.

        While no entry reaches the store, the readers are those that retry often.
        """
        remaining = [h.heartbeat for h in self.peers() if not h.heartbeat.is_leaving]
        eligible = [
            heartbeat.name for heartbeat in remaining if heartbeat.reaches_store
        ]
        if reaches_store:
            eligible.append(self.me.name)
        if not eligible:
            eligible = [self.me.name, *(heartbeat.name for heartbeat in remaining)]
        eligible.sort(key=lambda name: _score(kind, name), reverse=True)
        return self.me.name in eligible[:READERS_PER_DOMAIN]


def names_digest(names: Iterable[str]) -> int:
    """Return a digest by which two entries see that they know the same entries."""
    return xxhash.xxh32_intdigest("\n".join(sorted(names)).encode())


def _score(kind: str, name: str) -> int:
    return xxhash.xxh32_intdigest(f"{kind}/{name}".encode())
