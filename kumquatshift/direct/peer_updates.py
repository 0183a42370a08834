"""Selection of peers to read store updates from, and limits on serving them.

Each heartbeat carries a `FeedStatus` per kind of object: the sender's revision, and
how old it is. While that of any reader is fresh, an entry makes no calls to the store;
otherwise it reads the store itself, whatever the readers do.

The expected load is a configuration of thousands of routes, which all followers
request within milliseconds, in a domain of small machines. Every entry that has
an update serves it, but to no more followers at once than its link can carry.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import xxhash

from .calls import FeedStatus, Revision
from .members import Members

# Answers up to this size (a few packets each) are not limited.
SMALL_ANSWER_BYTES = 4096

# Share of an entry's link for larger answers; the rest is for callers' packets.
LINK_SHARE = 0.25


class Source(NamedTuple):
    """A peer, and its current revision and age for one kind of object."""

    address: tuple[str, int]
    status: FeedStatus


class PeerSelector:
    """Selects peers by what their heartbeats say about one kind of object."""

    def __init__(self, kind: str, fresh_s: float, members: Members):
        self._kind = kind
        self._fresh_s = fresh_s
        self._members = members

    def freshest(self, now: float) -> Source | None:
        """Return the peer with the latest state, whatever its age.

        That is the most recently confirmed one of the latest era.
        """
        found = [
            Source(address, status._replace(age_s=status.age_s + now - at))
            for address, status, at in self._statuses()
        ]
        return max(
            found,
            key=lambda each: (each.status.revision.era, -each.status.age_s),
            default=None,
        )

    def reader_to_follow(self, known: Revision, now: float) -> Source | None:
        """Return a fresh reader to follow, for an entry at revision ``known``.

        Readers that have seen the latest era of the store are preferred, and none
        of an earlier era than ``known`` is followed: what it confirms is over.
        Readers whose history reaches back to ``known`` are preferred: if all
        followers requested a full snapshot from a reader that has just started,
        its link would be saturated for a second.
        """
        found = None
        for address, status, at in self._statuses():
            age_s = status.age_s + now - at
            era = status.revision.era
            if not status.is_reader or age_s > self._fresh_s or era < known.era:
                continue
            rank = era, status.since <= known, status.changed
            if found is None or rank > found[0]:
                found = rank, Source(address, status._replace(age_s=age_s))
        return found[1] if found is not None else None

    def alternate(self, source: Source, known: Revision, attempt: int) -> Source:
        """Return a peer that can serve what ``source`` has.

        In a new era every peer serves a full snapshot.

        Readers get an update first, but any peer that has it will do. The choice
        is hashed by follower and attempt to spread the load.
        """
        wanted = source.status.changed
        in_new_era = wanted.era > known.era
        holders = [
            Source(address, status)
            for address, status, _ in self._statuses()
            if status.changed >= wanted and (in_new_era or status.since <= known)
        ]
        me = self._members.me.name
        return min(
            holders,
            key=lambda each: _rank(me, each, attempt),
            default=source,
        )

    def _statuses(self) -> Iterator[tuple[tuple[str, int], FeedStatus, float]]:
        """Yield the status for this kind of each peer, with address and arrival."""
        for heartbeat, at in self._members.peers():
            for status in heartbeat.statuses:
                if status.kind == self._kind:
                    yield heartbeat.address, status, at


class TransferLimiter:
    """Rate limit for large answers to followers, which protects the entry's link."""

    def __init__(self, link_bytes_per_s: float):
        self._bytes_per_s = LINK_SHARE * link_bytes_per_s
        self._next_send_at = float("-inf")

    def admits(self, size: int, now: float) -> bool:
        """Return whether an answer of ``size`` bytes may be sent now."""
        if size <= SMALL_ANSWER_BYTES:
            return True
        if now < self._next_send_at:
            return False
        self._next_send_at = now + size / self._bytes_per_s
        return True


def _rank(me: str, source: Source, attempt: int) -> int:
    return xxhash.xxh32_intdigest(f"{me}/{source.address}/{attempt}".encode())
