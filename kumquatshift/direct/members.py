"""Which entries there are, and which of them read the store for the others.

Entries of a failure domain send each other heartbeats. Two of them, by
rendezvous hashing over those that reach the store, keep watches open and tell
the rest what is new; nobody is elected, and one reader too many or too few for
a moment costs a few calls. Nothing here needs to be agreed on: an entry that
hears nobody reads for itself.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

import xxhash

from .calls import Tick
from .events import Event
from .suspicion import Answering, Suspect

if TYPE_CHECKING:
    from .events import EventSink

BEAT_S = 1.0

# A reader's heartbeat also tells how old its news is, so it comes more often.
READER_BEAT_S = 0.5

# Three heartbeats and a half: two in a row may be lost.
PEER_TIMEOUT_S = 3.5

READERS_PER_DOMAIN = 2

# Below this many entries a domain's own watches cost fewer calls than readers
# whose short watches prove every second that they work.
MIN_ENTRIES_FOR_READERS = 6

# A seed remembers who has asked it, so that those of one domain find each
# other through a seed in another; entries ask again when they are alone.
QUERIER_TTL_S = 30.0
MAX_QUERIERS = 2000

# Whom to ask for the other entries: soon after the start, when all start at
# once, and then while nobody of the domain is heard.
ASK_AT_S = (0.0, 0.5, 1.5, 4.0)
ASK_ALONE_EVERY_S = 5.0


class Beat(NamedTuple):
    """What an entry tells the others of its domain about itself."""

    name: str
    domain: str
    address: tuple[str, int]
    incarnation: int
    is_leaving: bool
    reaches_store: bool
    ticks: tuple[Tick, ...]
    suspects: tuple[Suspect, ...]
    objections: tuple[Answering, ...]


class Member(NamedTuple):
    """Where an entry is, for those that have not heard it yet."""

    name: str
    domain: str
    address: tuple[str, int]


class ReceivedHeartbeat(NamedTuple):
    """A heartbeat, and when it came."""

    beat: Beat
    at: float


class Members:
    """The entries that one entry knows of."""

    def __init__(self, me: Member, seeds: Iterable[tuple[str, int]], events: EventSink):
        self.me = me
        self._seeds = tuple(seed for seed in seeds if seed != me.address)
        self._events = events
        self._heartbeats: dict[str, ReceivedHeartbeat] = {}
        self._candidates: dict[str, Member] = {}
        self._queriers: dict[str, tuple[Member, float]] = {}

    def hear(self, beat: Beat, now: float) -> None:
        """Take in a heartbeat."""
        if beat.name == self.me.name:
            return
        if beat.name not in self._heartbeats and beat.domain == self.me.domain:
            self._events.emit(Event.PEER_JOINED, peer=beat.name)
        self._heartbeats[beat.name] = ReceivedHeartbeat(beat, now)
        self._candidates.pop(beat.name, None)

    def hear_of(self, members: Iterable[Member]) -> None:
        """Take in where other entries of the own domain are."""
        for member in members:
            is_unknown = (
                member.name not in self._heartbeats and member.name != self.me.name
            )
            if is_unknown and member.domain == self.me.domain:
                self._candidates[member.name] = member

    def note_asking(self, member: Member, now: float) -> None:
        """Keep where an entry is, for those who ask for others of its domain."""
        self.hear_of((member,))
        if len(self._queriers) < MAX_QUERIERS or member.name in self._queriers:
            self._queriers[member.name] = member, now

    def expire(self, now: float) -> None:
        """Forget entries that have not been heard for long."""
        for name, (_, at) in list(self._queriers.items()):
            if now - at > QUERIER_TTL_S:
                del self._queriers[name]
        for name, heard in list(self._heartbeats.items()):
            if now - heard.at > PEER_TIMEOUT_S:
                del self._heartbeats[name]
                if heard.beat.domain == self.me.domain:
                    self._events.emit(
                        Event.PEER_LOST, peer=name, silent_s=round(now - heard.at, 3)
                    )

    def peers(self) -> list[ReceivedHeartbeat]:
        """Return the other entries of the domain that are heard."""
        own = self.me.domain
        return [
            heard for heard in self._heartbeats.values() if heard.beat.domain == own
        ]

    def domain_members(self, domain: str) -> tuple[Member, ...]:
        """Return the entries of any domain that were heard or have asked."""
        heard = {
            beat.name: Member(beat.name, beat.domain, beat.address)
            for beat, _ in self._heartbeats.values()
        }
        queriers = {name: member for name, (member, _) in self._queriers.items()}
        found = {**queriers, **heard}
        return tuple(each for each in found.values() if each.domain == domain)

    def addresses(self) -> list[tuple[str, int]]:
        """Return where heartbeats go: to the domain, heard or only named."""
        found = {heard.beat.address for heard in self.peers()}
        found.update(member.address for member in self._candidates.values())
        return sorted(found)

    def forget_named(self) -> None:
        """Forget entries that were only named and have not answered."""
        self._candidates.clear()

    def seeds(self) -> tuple[tuple[str, int], ...]:
        """Return whom to ask for other entries."""
        return self._seeds

    def names(self) -> list[str]:
        """Return the names of the domain's entries, this one included."""
        return sorted([self.me.name, *(heard.beat.name for heard in self.peers())])

    def uses_readers(self) -> bool:
        """Tell whether the domain has enough entries for readers to pay."""
        return len(self.peers()) + 1 >= MIN_ENTRIES_FOR_READERS

    def is_reader(self, kind: str, reaches_store: bool) -> bool:
        """Tell whether this entry is one of those that read for the domain.

        While nobody reaches the store, it is one of those that ask for it often.
        """
        remaining = [h.beat for h in self.peers() if not h.beat.is_leaving]
        eligible = [beat.name for beat in remaining if beat.reaches_store]
        if reaches_store:
            eligible.append(self.me.name)
        if not eligible:
            eligible = [self.me.name, *(beat.name for beat in remaining)]
        eligible.sort(key=lambda name: _score(kind, name), reverse=True)
        return self.me.name in eligible[:READERS_PER_DOMAIN]


def _score(kind: str, name: str) -> int:
    return xxhash.xxh32_intdigest(f"{kind}/{name}".encode())
