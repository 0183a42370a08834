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


class Flow:
    """State of one flow as observed by one entry.

    ``last_ack`` is the caller's last acknowledgement number and ``highest_sent``
    the end of the data that it has sent; both are -1 while unknown. ``repeats``
    counts retransmissions since the last progress, and ``stalled_since`` is when
    the first of these packets was originally sent. ``request_sent_at`` is when
    the request that awaits an answer was sent, or the flow was opened for it.
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
        # Flows with a request in progress; few, as admission limits them.
        self._waiting: set[Flow] = set()

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
        """Reassign a flow to another target, with its request in progress."""
        flow.target.flows -= 1
        target.flows += 1
        if flow.waiting:
            flow.target.waiting -= 1
            target.waiting += 1
        flow.target = target

    def begin_request(self, flow: Flow, now: float) -> None:
        """Count a request as in progress at the flow's target."""
        self.end_request(flow)
        flow.waiting = True
        flow.request_sent_at = now
        flow.target.waiting += 1
        self._waiting.add(flow)

    def end_request(self, flow: Flow) -> None:
        """Stop counting a flow's request, if there is one."""
        if flow.waiting:
            flow.waiting = False
            flow.target.waiting -= 1
            self._waiting.remove(flow)

    def expire_requests(self, now: float) -> None:
        """Stop counting requests that can no longer be answered in time.

        The answer may have gone unseen, for instance because the routers have moved
        the flow to another entry meanwhile.
        """
        expired = [
            flow
            for flow in self._waiting
            if now - flow.request_sent_at > MAX_WAIT_OBJECTIVES * flow.objective_s
        ]
        for flow in expired:
            self.end_request(flow)

    def remove(self, key: bytes) -> None:
        """Remove a flow if it is present."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._release_load(flow)

    def expire(self, now: float, idle_s: float) -> None:
        """Remove flows that were idle for ``idle_s``, or have closed."""
        expired = []
        for key, flow in self._flows.items():
            limit_s = CLOSING_S if flow.is_closing else idle_s
            if now - flow.seen_at > limit_s:
                expired.append(key)
        for key in expired:
            self.remove(key)

    def _release_load(self, flow: Flow) -> None:
        flow.target.flows -= 1
        self.end_request(flow)
