"""Flows that an entry has seen lately: a cache, never the only record.

A flow's place is its cookie. What is kept here serves to notice packets that
are sent again, to hold a flow at its target while an opening packet is
repeated, and to count how many flows a target has.
"""

from __future__ import annotations

from .targets import LiveTarget

# 2,000 flows a target and a dozen targets in reach of an entry, at some 300
# bytes each, stay within 10 MB.
MAX_FLOWS = 20_000

# The last packets of a flow that closes come within a few round trips.
CLOSING_S = 1.0


class Flow:
    """What one entry has seen of one flow.

    ``acked`` is the caller's last acknowledgement and ``top`` the end of the
    data that it has sent. ``repeats`` counts packets sent again since the last
    sign of progress, and ``stuck_since`` is when the first of them was new.
    ``asked_at`` is when the request that waits for an answer was sent.
    """

    __slots__ = (
        "last_ack",
        "request_sent_at",
        "is_stalled",
        "is_closing",
        "is_open",
        "repeats",
        "seen_at",
        "sent_at",
        "stalled_since",
        "target",
        "highest_sent",
        "waiting",
    )

    def __init__(self, target: LiveTarget, now: float):
        self.target = target
        self.is_open = False
        self.is_closing = False
        self.last_ack = -1
        self.request_sent_at = now
        self.highest_sent = -1
        self.repeats = 0
        self.is_stalled = False
        self.waiting = False
        self.stalled_since = now
        self.seen_at = now
        self.sent_at = now


class FlowTable:
    """The flows seen lately; the oldest make room when it is full."""

    def __init__(self, limit: int = MAX_FLOWS):
        self.evicted = 0
        self._limit = limit
        self._flows: dict[bytes, Flow] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: bytes) -> Flow | None:
        """Return what is known of a flow, or None."""
        return self._flows.get(key)

    def of_targets(self, targets: set[LiveTarget]) -> list[tuple[bytes, Flow]]:
        """Return the flows at any of these targets, with their keys."""
        return [(k, flow) for k, flow in self._flows.items() if flow.target in targets]

    def add(self, key: bytes, target: LiveTarget, now: float) -> Flow:
        """Note a flow at its target."""
        if len(self._flows) >= self._limit:
            self.remove(next(iter(self._flows)))
            self.evicted += 1
        flow = self._flows[key] = Flow(target, now)
        target.flows += 1
        return flow

    def move(self, flow: Flow, target: LiveTarget) -> None:
        """Note that a flow is at another target."""
        self._release_load(flow)
        flow.target = target
        target.flows += 1

    def remove(self, key: bytes) -> None:
        """Forget a flow."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._release_load(flow)

    def expire(self, now: float, idle_s: float) -> None:
        """Forget flows that have been idle for ``idle_s``, or have closed."""
        expired = []
        for key, flow in self._flows.items():
            limit_s = CLOSING_S if flow.is_closing else idle_s
            if now - flow.seen_at > limit_s:
                expired.append(key)
        for key in expired:
            self.remove(key)

    def _release_load(self, flow: Flow) -> None:
        flow.target.flows -= 1
        if flow.waiting:
            flow.target.waiting -= 1
            flow.waiting = False
