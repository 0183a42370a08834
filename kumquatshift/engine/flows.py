"""The flows that one entry holds, as primary or as standby."""

from .messages import Record
from .ring import RingEntry

NEVER_S = float("inf")
STALE_S = float("-inf")


class Flow:
    """One held flow; times are in seconds on the entry's clock.

    ``holders`` are the entries that hold a copy as far as is known, and
    ``placed_at`` is when a packet last carried the record to them. A proposal stands
    from ``tentative_until`` on; only the entry that decides for the flow sets it.
    ``unanswered`` counts the caller's packets since the last answer, the first of
    them at ``unanswered_since``; ``answered`` tells whether any answer ever came.
    ``proven`` tells whether the record is known to have reached every holder, and
    ``placings`` counts the packets that carried it without a proof. ``opened_here``
    tells whether this entry chose the target, for which no answer came yet.
    """

    __slots__ = (
        "answered",
        "bucket",
        "closing",
        "holders",
        "last_seen",
        "opened_here",
        "placed_at",
        "placings",
        "proven",
        "record",
        "tentative_until",
        "unanswered",
        "unanswered_since",
    )

    def __init__(self, record: Record, bucket: int, now: float):
        self.record = record
        self.bucket = bucket
        self.last_seen = now
        self.holders: tuple[RingEntry, ...] = ()
        self.placed_at = STALE_S
        self.placings = 0
        self.proven = False
        self.opened_here = False
        self.tentative_until = NEVER_S
        self.unanswered = 0
        self.unanswered_since = 0.0
        self.closing = False
        self.answered = False


def prefer(one: Record | None, other: Record | None) -> Record | None:
    """Return the record that stands where two copies of a flow differ.

    A later opening of the same key stands before an earlier one, a confirmed
    record before a proposal, and of two openings that did not know of each
    other the older one. The rule is the same at every entry.
    """
    if one is None or other is None:
        return one or other
    return min(one, other, key=_rank)


def _rank(record):
    return (-record.epoch, record.tentative, record.born_ms, record.target)


class FlowTable:
    """All held flows by key, with the number held for each target."""

    def __init__(self):
        self.flows: dict[bytes, Flow] = {}
        self.held: dict[str, int] = {}
        self.get = self.flows.get

    def __len__(self):
        return len(self.flows)

    def put(self, record: Record, bucket: int, now: float) -> Flow:
        """Hold a record, in place of an earlier one of the same key."""
        flow = self.flows.get(record.key)
        if flow is None:
            flow = Flow(record, bucket, now)
            self.flows[record.key] = flow
            self._count(record.target, 1)
            return flow
        if flow.record.target != record.target:
            self._count(flow.record.target, -1)
            self._count(record.target, 1)
        if _is_another_opening(flow.record, record):
            flow.closing = False
            flow.opened_here = False
            flow.unanswered = 0
        flow.record = record
        flow.last_seen = now
        return flow

    def remove(self, key: bytes) -> None:
        """Forget a flow; no error if it is not held."""
        flow = self.flows.pop(key, None)
        if flow is not None:
            self._count(flow.record.target, -1)

    def _count(self, target, change):
        count = self.held.get(target, 0) + change
        if count:
            self.held[target] = count
        else:
            self.held.pop(target, None)


def _is_another_opening(one, other):
    return (one.epoch, one.target) != (other.epoch, other.target)
