"""Learn from other entries of the domain what they have read from the store.

A tick in each heartbeat says how far its sender's knowledge goes and how old it
is. As long as some tick is fresh, an entry makes no calls to the store; when
none is, it reads for itself, whatever the readers do.
"""

from __future__ import annotations

from typing import NamedTuple

from .calls import Tick
from .members import Members


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

    def best(self, now: float) -> Source | None:
        """Return the entry with the youngest knowledge, however old it is."""
        found = None
        for beat, at in self._members.peers():
            for tick in beat.ticks:
                if tick.kind != self._kind:
                    continue
                aged = tick._replace(age_s=tick.age_s + now - at)
                if found is None or aged.age_s < found.tick.age_s:
                    found = Source(beat.address, aged)
        return found

    def newest(self, known: int, now: float) -> Source | None:
        """Return the fresh reader to follow, for an entry that knows ``known``.

        Readers that can tell the changes since then one by one come first: all
        followers asking a reader that has just started for all that it knows
        would fill its link for a second.
        """
        found = None
        for beat, at in self._members.peers():
            for tick in beat.ticks:
                age_s = tick.age_s + now - at
                if tick.kind != self._kind or not tick.is_reader:
                    continue
                if age_s > self._fresh_s:
                    continue
                rank = tick.since <= known, tick.changed
                if found is None or rank > found[0]:
                    found = rank, Source(beat.address, tick._replace(age_s=age_s))
        return found[1] if found is not None else None
