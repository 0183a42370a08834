"""Assign flows to entries by rendezvous hashing over the entries in service.

Flows are hashed into buckets, and each bucket has an order of entries. The first
entry is the primary, which decides for the flow. The next two are its standbys,
taken from other failure domains where possible, so that no domain holds every
copy. The order does not depend on targets. Rendezvous hashing (Thaler and
Ravishankar, 1998) moves only the buckets of an entry that joins or leaves.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

BUCKETS = 4096
COPIES = 3


def bucket_of(key: bytes) -> int:
    """Return the bucket of a flow key."""
    return xxhash.xxh3_64_intdigest(key) % BUCKETS


def score(bucket: int, name: str) -> int:
    """Return the rendezvous score of an entry for a bucket."""
    return xxhash.xxh3_64_intdigest(name.encode(), bucket)


@dataclass(frozen=True, slots=True)
class RingEntry:
    """An entry that can hold flows, with its failure domain and incarnation.

    A restarted entry has lost the flows that it held, so copies are counted by
    entry and incarnation.
    """

    name: str
    domain: str
    incarnation: int = 0


class Ring:
    """The order of entries of each bucket, for one set of entries.

    Orders are computed on first use and then cached::

        ring = Ring([RingEntry("e1", "north-a"), RingEntry("e2", "north-b")])
        primary = ring.order(bucket_of(key))[0]
    """

    def __init__(self, entries: Iterable[RingEntry]):
        self.entries = tuple(sorted(entries, key=lambda entry: entry.name))
        self.names = frozenset(entry.name for entry in self.entries)
        self.present = frozenset(self.entries)
        self._orders: list[tuple[str, ...] | None] = [None] * BUCKETS
        self._holders: list[tuple[RingEntry, ...] | None] = [None] * BUCKETS

    def order(self, bucket: int) -> tuple[str, ...]:
        """Return the names of all entries, the bucket's primary first."""
        order = self._orders[bucket]
        if order is None:
            self._compute(bucket)
            order = self._orders[bucket]
        return order

    def holders(self, bucket: int) -> tuple[RingEntry, ...]:
        """Return the primary and the standbys of a bucket."""
        holders = self._holders[bucket]
        if holders is None:
            self._compute(bucket)
            holders = self._holders[bucket]
        return holders

    def _compute(self, bucket):
        ranked = sorted(
            self.entries, key=lambda entry: score(bucket, entry.name), reverse=True
        )
        first, used = [], set()
        for entry in ranked:
            if len(first) < COPIES and entry.domain not in used:
                first.append(entry)
                used.add(entry.domain)
        rest = [entry for entry in ranked if entry not in first]
        order = first + rest
        self._orders[bucket] = tuple(entry.name for entry in order)
        self._holders[bucket] = tuple(order[:COPIES])
