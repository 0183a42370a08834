"""Detect flows whose state a target has lost while it answers other flows.

A middlebox on the path, or the target itself, may lose the state of a flow while
new flows work. Such a flow has packets from its caller and no answers over the whole
silence timeout of its profile, while the target continues to answer other flows.
"""

from .flows import Flow
from .node import Node
from .packets import PROTOCOL_TCP
from .store import ServiceView

SILENT_PACKETS = 3
MAX_ANSWER_GAP_S = 5.0


class SilenceDetector:
    """Tracks answered and unanswered packets of the flows that this entry decides."""

    def __init__(self, node: Node):
        self._node = node
        self._answering: dict[str, tuple[float, float]] = {}

    def note_packet(self, flow: Flow, now: float) -> None:
        """Count a caller's packet as unanswered.

        Packets sent before the last ring change don't count: they may have been lost
        in an entry that failed, and not because of the target.
        """
        if not flow.unanswered or flow.unanswered_since < self._node.ring_changed_at:
            flow.unanswered = 0
            flow.unanswered_since = now
        flow.unanswered += 1

    def note_answer(self, flow: Flow, now: float) -> None:
        """Record an answer, and since when its target has answered without a gap.

        A target that has stopped answering all flows has not lost any one of them.
        """
        flow.unanswered = 0
        flow.answered = True
        since, last = self._answering.get(flow.record.target, (now, now))
        if now - last > MAX_ANSWER_GAP_S:
            since = now
        self._answering[flow.record.target] = since, now

    def is_silent(self, flow: Flow, view: ServiceView, now: float) -> bool:
        """Return whether the target seems to have lost this flow but answers others.

        A datagram flow that was never answered may be one-way, so it is never
        reported as silent.
        """
        since = flow.unanswered_since
        limit_s = view.profile.silence_timeout_s
        if flow.unanswered < SILENT_PACKETS or since < self._node.ring_changed_at:
            return False
        if now - since <= limit_s:
            return False
        if flow.record.key[12] != PROTOCOL_TCP and not flow.answered:
            return False
        answering_since, last = self._answering.get(flow.record.target, (now, 0.0))
        return now - answering_since > limit_s and last > since
