"""Learn from other entries of the domain what they have read from the store.

A tick in each heartbeat says how far its sender's knowledge goes and how old it
is. As long as some tick is fresh, an entry makes no calls to the store; when
none is, it reads for itself, whatever the readers do.

The load pattern: a configuration of thousands of routes, which all followers ask
for within milliseconds, in a domain of small machines. Whoever has it passes it
on, and nobody gives it to more followers at once than its own link bears.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import xxhash

from .calls import Tick
from .members import Members

# Answers up to this size, a few packets each, are given to all at once.
SMALL_ANSWER_BYTES = 4096

# What long answers may take of an entry's link; callers' packets have the rest.
LINK_SHARE = 0.25


class Source(NamedTuple):
    """Another entry, and how far its knowledge of one kind goes by now."""

    address: tuple[str, int]
    tick: Tick


class News:
    """What the heartbeats of a domain say about one kind of object."""

    def __init__(self, kind: str, fresh_s: float, members: Members):
        self._kind = kind
        self._fresh_s = fresh_s
        self._members = members

    def freshest(self, now: float) -> Source | None:
        """Return the entry with the youngest knowledge, however old it is."""
        found = None
        for address, tick, at in self._ticks():
            aged = tick._replace(age_s=tick.age_s + now - at)
            if found is None or aged.age_s < found.tick.age_s:
                found = Source(address, aged)
        return found

    def reader_to_follow(self, known: int, now: float) -> Source | None:
        """Return the fresh reader to follow, for an entry that knows ``known``.

        Readers that can tell the changes since then one by one come first: all
        followers asking a reader that has just started for all that it knows
        would fill its link for a second.
        """
        found = None
        for address, tick, at in self._ticks():
            age_s = tick.age_s + now - at
            if not tick.is_reader or age_s > self._fresh_s:
                continue
            rank = tick.since <= known, tick.changed
            if found is None or rank > found[0]:
                found = rank, Source(address, tick._replace(age_s=age_s))
        return found[1] if found is not None else None

    def alternate(self, source: Source, known: int, tries: int) -> Source:
        """Return an entry to ask for what ``source`` has.

        Readers are the first to have it, and any other entry that has it will
        do; each follower, and each further try, begins with another one.
        """
        wanted = source.tick.changed
        holders = [
            Source(address, tick)
            for address, tick, _ in self._ticks()
            if tick.changed >= wanted and tick.since <= known
        ]
        me = self._members.me.name
        return min(
            holders,
            key=lambda each: _rank(me, each, tries),
            default=source,
        )

    def _ticks(self) -> Iterator[tuple[tuple[str, int], Tick, float]]:
        """Yield the ticks of this kind, each with its entry and when it came."""
        for beat, at in self._members.peers():
            for tick in beat.ticks:
                if tick.kind == self._kind:
                    yield beat.address, tick, at


class Handout:
    """How many long answers an entry gives to followers, for the sake of its link."""

    def __init__(self, link_bytes_per_s: float):
        self._bytes_per_s = LINK_SHARE * link_bytes_per_s
        self._free_at = float("-inf")

    def admits(self, size: int, now: float) -> bool:
        """Tell whether an answer of ``size`` bytes may be sent now."""
        if size <= SMALL_ANSWER_BYTES:
            return True
        if now < self._free_at:
            return False
        self._free_at = now + size / self._bytes_per_s
        return True


def _rank(me: str, source: Source, tries: int) -> int:
    return xxhash.xxh32_intdigest(f"{me}/{source.address}/{tries}".encode())
