"""The flow table of one entry, for its flows as primary and as standby."""

from .messages import Record
from .ring import RingEntry

NEVER_S = float("inf")
STALE_S = float("-inf")


class Flow:
    """One flow; times are in seconds on the entry's clock.

    ``holders`` are the entries known to hold a copy, and ``replicated_at`` is when a
    packet last carried the record to them. A tentative record is confirmed at
    ``tentative_until`` unless a preferred one turns up; only the primary sets this
    time. ``unanswered`` counts the caller's packets since the last answer, the first
    of them at ``unanswered_since``; ``answered`` is set once any answer has arrived.
    ``fully_replicated`` is set once the record is taken to have reached every holder, and
    ``replication_attempts`` counts the packets that carried it before that.
    ``opened_here`` is set while this entry has chosen the target and no answer has
    arrived.
    """

    __slots__ = (
        "answered",
        "bucket",
        "closing",
        "holders",
        "last_seen",
        "opened_here",
        "replicated_at",
        "replication_attempts",
        "fully_replicated",
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
        self.replicated_at = STALE_S
        self.replication_attempts = 0
        self.fully_replicated = False
        self.opened_here = False
        self.tentative_until = NEVER_S
        self.unanswered = 0
        self.unanswered_since = 0.0
        self.closing = False
        self.answered = False


def prefer(one: Record | None, other: Record | None) -> Record | None:
    """Return the preferred one of two records of the same flow.

    A later epoch is preferred to an earlier one, then a confirmed record to a
    tentative one, then the older of two concurrent openings. Every entry applies
    the same rule, so that all agree on the record.
    """
    if one is None or other is None:
        return one or other
    return min(one, other, key=_rank)


def _rank(record):
    return (-record.epoch, record.tentative, record.born_ms, record.target)


class FlowTable:
    """All flows of one entry by key, and the number of flows of each target."""

    def __init__(self):
        self.flows: dict[bytes, Flow] = {}
        self.held: dict[str, int] = {}
        self.get = self.flows.get

    def __len__(self):
        return len(self.flows)

    def put(self, record: Record, bucket: int, now: float) -> Flow:
        """Store a record, replacing an earlier one of the same key."""
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
        """Remove a flow if it is in the table."""
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
