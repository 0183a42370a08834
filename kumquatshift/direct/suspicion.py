"""Tell from callers' packets which targets have stopped to answer.

An entry never sees an answer, but callers acknowledge what they get: a packet
that acknowledges something new proves that its target answers. A packet that is
sent again says the opposite. One flow alone may have lost a packet; a target is
suspected when several flows have sent again in vain since its last sign of
life, or one has done so for long. The load pattern: a target that goes silent
under traffic while the platform still lists it, for three heartbeats or more.
"""

from __future__ import annotations

from .events import Event
from .flows import Flow
from .targets import LiveTarget

TYPE_CHECKING = False
if TYPE_CHECKING:
    from .events import Events

# Callers send again after 200 ms at the earliest. Copies that come closer
# together than this waited in our own queue and say nothing of the target.
MIN_REPEAT_GAP_S = 0.15

# Between two signs of life of a target under load there are tens of
# milliseconds; this is above the wait in a full queue of a slow target.
SILENCE_S = 0.25

# Repeats of several flows are no coincidence of lost packets.
SUSPECTING_FLOWS = 2

# A caller's second copy comes 600 ms after the first packet. Flows of a living
# target that lose two packets in a row are rare enough to be placed elsewhere.
SUSPECTING_REPEATS = 2

# An open flow is given up only after this much silence of its whole target: a
# reset at a target that lives would cut a request that may be running.
DEAD_AFTER_S = 0.6

# A suspected target gets one new flow as a probe in this time.
PROBE_EVERY_S = 1.0


class Suspicion:
    """Which targets have stopped to answer, as one entry sees it."""

    def __init__(self, events: Events):
        self._events = events

    def note_progress(self, flow: Flow, now: float) -> None:
        """Note that a flow's target has answered."""
        flow.repeats = 0
        flow.complained = False
        target = flow.target
        target.progress_at = now
        target.complaints = 0
        if target.suspected:
            target.suspected = False
            self._events.emit(
                Event.TARGET_TRUSTED,
                target=target.name,
                silent_s=round(now - target.silent_since, 3),
            )

    def note_repeat(self, flow: Flow, now: float) -> None:
        """Note that a caller has sent a packet again, since nothing answered."""
        if now - flow.sent_at < MIN_REPEAT_GAP_S:
            return
        if not flow.repeats:
            flow.stuck_since = flow.sent_at
        flow.repeats += 1
        target = flow.target
        if flow.stuck_since < target.progress_at - SILENCE_S:
            # The target has answered others since: this flow alone is stuck.
            return
        if not flow.complained:
            flow.complained = True
            if not target.complaints:
                target.silent_since = max(flow.stuck_since, target.progress_at)
            target.complaints += 1
        if not target.suspected and self._is_silent(target, flow, now):
            target.suspected = True
            target.next_probe = now + PROBE_EVERY_S
            self._events.emit(
                Event.TARGET_SUSPECTED,
                target=target.name,
                domain=target.domain,
                flows_stuck=target.complaints,
                repeats=flow.repeats,
                silent_s=round(now - target.progress_at, 3),
            )

    def is_dead(self, target: LiveTarget, now: float) -> bool:
        """Tell whether a target has been silent for so long that it is dead.

        Its open flows are lost; callers do better to open others at once.
        """
        if not target.suspected or now - target.progress_at <= DEAD_AFTER_S:
            return False
        return now - target.silent_since > DEAD_AFTER_S

    def _is_silent(self, target: LiveTarget, flow: Flow, now: float) -> bool:
        if now - target.progress_at < SILENCE_S:
            return False
        several = target.complaints >= SUSPECTING_FLOWS
        return several or flow.repeats >= SUSPECTING_REPEATS


def may_probe(target: LiveTarget, now: float) -> bool:
    """Tell whether a suspected target may get a new flow that tries it out."""
    return now >= target.next_probe
