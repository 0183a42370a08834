"""Cache of recently seen flows.

A flow's target is determined by its cookie, so no record here is required for
forwarding. The cache serves to detect retransmissions, to keep a flow at its
target while its opening packet is retransmitted, and to count flows per target.
"""

from __future__ import annotations

from .routes import DEFAULT_OBJECTIVE_S
from .targets import LiveTarget

# Covers 2,000 flows per target at a dozen targets within reach of an entry. At
# about 300 bytes per flow, the table stays within 10 MB.
MAX_FLOWS = 20_000

# The last packets of a closing flow arrive within a few round trips.
CLOSING_S = 1.0

# A request counts as in progress for this many times its latency objective.
MAX_WAIT_OBJECTIVES = 2.0

# An open flow counts as busy for this long after an answer that took at least this
# part of its objective. Under such load its caller sends the next request on it within
# this time, and that one cannot be refused.
REUSE_S = 0.1
LOADED_RATIO = 0.5


class Flow:
    """State of one flow as observed by one entry.

    ``last_ack`` is the caller's last acknowledgement number and ``highest_sent``
    the end of the data that it has sent; both are -1 while unknown. ``repeats``
    counts retransmissions since the last progress, and ``stalled_since`` is when
    the first of these packets was originally sent. ``request_sent_at`` is when
    the request that awaits an answer was sent, or the flow was opened for it.
    While `waiting` for an answer, and under load `REUSE_S` beyond, a flow is busy.
    """

    __slots__ = (
        "last_ack",
        "objective_s",
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

    def __init__(self, target: LiveTarget, now: float, objective_s: float):
        self.target = target
        self.objective_s = objective_s
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
    """Bounded table of recently seen flows; evicts the oldest when full."""

    def __init__(self, limit: int = MAX_FLOWS):
        self.evicted = 0
        self._limit = limit
        self._flows: dict[bytes, Flow] = {}
        # Until when flows count as busy; these are few, as admission limits them.
        self._busy: dict[Flow, float] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: bytes) -> Flow | None:
        """Return the state of a flow, or None if unknown."""
        return self._flows.get(key)

    def of_targets(self, targets: set[LiveTarget]) -> list[tuple[bytes, Flow]]:
        """Return the flows of these targets, with their keys."""
        return [(k, flow) for k, flow in self._flows.items() if flow.target in targets]

    def add(
        self,
        key: bytes,
        target: LiveTarget,
        now: float,
        objective_s: float = DEFAULT_OBJECTIVE_S,
    ) -> Flow:
        """Add a flow of a target, whose requests have this latency objective."""
        if len(self._flows) >= self._limit:
            self.remove(next(iter(self._flows)))
            self.evicted += 1
        flow = self._flows[key] = Flow(target, now, objective_s)
        target.flows += 1
        return flow

    def move(self, flow: Flow, target: LiveTarget) -> None:
        """Reassign a flow to another target, where it is as busy as before."""
        flow.target.flows -= 1
        target.flows += 1
        if flow in self._busy:
            flow.target.busy -= 1
            target.busy += 1
        flow.target = target

    def begin_request(self, flow: Flow, now: float) -> None:
        """Count a flow as busy with a request at its target."""
        flow.waiting = True
        flow.request_sent_at = now
        if flow not in self._busy:
            flow.target.busy += 1
        self._busy[flow] = now + MAX_WAIT_OBJECTIVES * flow.objective_s

    def end_request(self, flow: Flow, ratio: float, now: float) -> None:
        """Record an answer that took ``ratio`` times the flow's objective.

        Under load the flow stays busy for `REUSE_S`, unless it closes.
        """
        if flow.is_closing or ratio < LOADED_RATIO:
            self._release(flow)
        else:
            flow.waiting = False
            self._busy[flow] = now + REUSE_S

    def expire_busy(self, now: float) -> None:
        """Stop counting flows whose time as busy has passed.

        The answer to a request may go unseen, for instance because the routers have
        moved the flow to another entry meanwhile.
        """
        for flow in [flow for flow, until in self._busy.items() if now > until]:
            self._release(flow)

    def remove(self, key: bytes) -> None:
        """Remove a flow if it is present."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            flow.target.flows -= 1
            self._release(flow)

    def expire(self, now: float, idle_s: float) -> None:
        """Remove flows that were idle for ``idle_s``, or have closed."""
        expired = []
        for key, flow in self._flows.items():
            limit_s = CLOSING_S if flow.is_closing else idle_s
            if now - flow.seen_at > limit_s:
                expired.append(key)
        for key in expired:
            self.remove(key)

    def _release(self, flow: Flow) -> None:
        """Stop counting a flow as busy."""
        flow.waiting = False
        if self._busy.pop(flow, None) is not None:
            flow.target.busy -= 1
