"""Tell from callers' packets which targets have stopped to answer.

An entry never sees an answer, but callers acknowledge what they get: a packet
that acknowledges something new proves that its target answers. A packet that is
sent again says the opposite. One flow alone may have lost a packet; a target is
suspected when several flows have sent again in vain since its last sign of
life, or one has done so for long. The load pattern: a target that goes silent
under traffic while the platform still lists it, for three heartbeats or more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from .events import Event
from .flows import Flow
from .targets import GONE_TARGET_TTL_S, LiveTarget, TargetTable

if TYPE_CHECKING:
    from .events import EventSink

# Callers send again after 200 ms at the earliest. Copies that come closer
# together than this waited in our own queue and say nothing of the target.
MIN_REPEAT_GAP_S = 0.15

# Between two signs of life of a target under load there are tens of
# milliseconds; this is above the wait in a full queue of a slow target.
SILENCE_THRESHOLD_S = 0.25

# Repeats of several flows are no coincidence of lost packets.
MIN_STALLED_FLOWS = 2

# A caller's second copy comes 600 ms after the first packet. Flows of a living
# target that lose two packets in a row are rare enough to be placed elsewhere.
MIN_FLOW_REPEATS = 2

# An open flow is given up only after this much silence of its whole target: a
# reset at a target that lives would cut a request that may be running.
DEAD_AFTER_S = 0.6

# A suspected target gets one new flow as a probe in this time. A dead one is off
# the platform's list before the first, so that no caller waits for a copy.
PROBE_INTERVAL_S = 2.5


# Without an answer of any target for this long, while several are complained
# of, the trouble is an entry's own.
OWN_OUTAGE_S = 0.4

# Silences of so many other targets at the same time are no coincidence.
MIN_CONCURRENT_SILENCES = 2

# Callers give up earlier.
COMPLAINT_TTL_S = 10.0

# Other entries that hear of a suspicion and know better say so within this time.
REFUTATION_WINDOW_S = 0.15

# Heartbeats repeat an objection this long, in case the first one was lost.
REFUTATION_REPEAT_S = 1.2


class Suspect(NamedTuple):
    """A start of a target that has stopped to answer, as an entry tells it."""

    name: str
    incarnation: int
    complaints: int
    silent_s: float


class Answering(NamedTuple):
    """A start of a target that answers, though another entry suspects it."""

    name: str
    incarnation: int
    answered_s_ago: float


class Suspicion:
    """Which targets have stopped to answer, as one entry sees it."""

    def __init__(self, targets: TargetTable, events: EventSink):
        self._targets = targets
        self._events = events
        self._last_answer_at = float("-inf")
        self._last_delivery_at = float("-inf")
        self._objections: dict[LiveTarget, float] = {}
        # Both are small, however many targets there are.
        self._suspected: set[LiveTarget] = set()
        self._complaint_times: dict[LiveTarget, float] = {}

    def forget(self, now: float) -> None:
        """Drop targets that left the list long ago."""
        for target in list(self._suspected):
            if not target.listed and now - target.unlisted_at > GONE_TARGET_TTL_S:
                self._suspected.discard(target)

    def note_answer(self, flow: Flow, now: float) -> None:
        """Note that a flow's target has answered."""
        flow.repeats = 0
        flow.is_stalled = False
        if now - self._last_answer_at > OWN_OUTAGE_S:
            self._clear_own_outage()
        self._last_answer_at = now
        self._trust(flow.target, now)

    def note_delivery(self, sent_at: float) -> None:
        """Note that what was sent to some target at ``sent_at`` was answered.

        It proves that packets of that time have left this entry's own link, on
        which they wait their turn while a large transfer fills it.
        """
        self._last_delivery_at = max(self._last_delivery_at, sent_at)

    def note_repeat(self, flow: Flow, now: float) -> None:
        """Note that a caller has sent a packet again, since nothing answered."""
        if now - flow.sent_at < MIN_REPEAT_GAP_S:
            return
        if not flow.repeats:
            flow.stalled_since = flow.sent_at
        flow.repeats += 1
        target = flow.target
        if flow.stalled_since < target.progress_at - SILENCE_THRESHOLD_S:
            # The target has answered others since: this flow alone is stuck.
            return
        if not flow.is_stalled:
            flow.is_stalled = True
            if not target.complaints:
                target.silent_since = max(flow.stalled_since, target.progress_at)
            target.complaints += 1
            self._note_complaint(target, now)
        if self._is_silent(target, flow, now):
            self._suspect(target, now, flows_stuck=target.complaints)

    def note_probe(self, target: LiveTarget, now: float) -> None:
        """Note that a packet which asks for an answer is sent to a target."""
        if target.suspected and target.probe_sent_at <= self._concurrent_silence_at(
            target
        ):
            target.probe_sent_at = now

    def is_dead(self, target: LiveTarget, now: float) -> bool:
        """Tell whether a target has been silent for so long that it is dead.

        Its open flows are lost; callers do better to open others at once.
        """
        if not target.suspected or now - target.suspected_at < REFUTATION_WINDOW_S:
            return False
        if not self._link_works_since(target.silent_since):
            # The trouble may be our own.
            return False
        if not target.complaints and len(target.peer_complaints) < 2:
            # One other entry alone may be in trouble of its own.
            return False
        complaints = target.complaints + sum(target.peer_complaints.values())
        if complaints < MIN_STALLED_FLOWS:
            return False
        silent_s = now - max(target.progress_at, target.silent_since)
        return silent_s > DEAD_AFTER_S and self._is_probed(target, now)

    def suspected(self) -> set[LiveTarget]:
        """Return the targets that are suspected at present."""
        return self._suspected

    def suspects(self, now: float) -> tuple[Suspect, ...]:
        """Return the suspicions that rest on what this entry has seen."""
        return tuple(
            Suspect(t.name, t.incarnation, t.complaints, round(now - t.progress_at, 3))
            for t in self._suspected
            if t.listed and t.complaints and self._link_works_since(t.silent_since)
        )

    def objections(self, now: float) -> tuple[Answering, ...]:
        """Return the targets that others suspect, and that answer here."""
        for target, since in list(self._objections.items()):
            if now - since > REFUTATION_REPEAT_S or target.suspected:
                del self._objections[target]
        return tuple(
            Answering(t.name, t.incarnation, round(now - t.progress_at, 3))
            for t in self._objections
        )

    def hear_suspect(self, suspect: Suspect, source: str, now: float) -> None:
        """Take over another entry's suspicion, or object to it."""
        target = self._find(suspect.name, suspect.incarnation)
        if target is None:
            return
        answered_s_ago = now - target.progress_at
        if not target.complaints and answered_s_ago < min(
            suspect.silent_s, REFUTATION_REPEAT_S
        ):
            self._objections.setdefault(target, now)
            return
        target.peer_complaints[source] = suspect.complaints
        if not target.suspected:
            target.silent_since = max(now - suspect.silent_s, target.progress_at)
            self._suspect(target, now, source=source)

    def hear_answering(self, answering: Answering, now: float) -> None:
        """Take in that a target answers another entry."""
        target = self._find(answering.name, answering.incarnation)
        if target is None:
            return
        answered_at = now - answering.answered_s_ago
        if answered_at > target.silent_since:
            self._trust(target, max(answered_at, target.progress_at))

    def _link_works_since(self, silent_since: float) -> bool:
        """Tell whether other targets got and answered what was sent later."""
        return self._last_delivery_at >= silent_since + SILENCE_THRESHOLD_S

    def _is_probed(self, target: LiveTarget, now: float) -> bool:
        """Tell whether a target has left a packet unanswered that did not get lost.

        A link that a transfer fills loses a part of what is sent, to any target.
        A silence counts again once something was sent since others had one.
        """
        since = self._concurrent_silence_at(target)
        if since < target.silent_since:
            return True
        return (
            target.probe_sent_at > since
            and now - target.probe_sent_at >= SILENCE_THRESHOLD_S
        )

    def _concurrent_silence_at(self, target: LiveTarget) -> float:
        """Return when several others last were complained of, or the only other."""
        count = min(MIN_CONCURRENT_SILENCES, len(self._targets) - 1)
        times = [at for each, at in self._complaint_times.items() if each is not target]
        if count < 1 or len(times) < count:
            return float("-inf")
        return times[-count]

    def _note_complaint(self, target: LiveTarget, now: float) -> None:
        """Keep when targets were complained of, the latest last."""
        self._complaint_times.pop(target, None)
        self._complaint_times[target] = now
        for each, at in list(self._complaint_times.items()):
            if now - at < COMPLAINT_TTL_S:
                break
            del self._complaint_times[each]

    def _clear_own_outage(self) -> None:
        """Drop what was held against targets while none of them answered.

        Several at once do not fail by chance; the way to them did.
        """
        affected = [target for target in self._complaint_times if target.complaints]
        if len(affected) < 2:
            return
        for target in affected:
            self._trust(target, target.progress_at)

    def _find(self, name: str, incarnation: int) -> LiveTarget | None:
        target = self._targets.get(name)
        if target is None or target.incarnation != incarnation:
            return None
        return target

    def _is_silent(self, target: LiveTarget, flow: Flow, now: float) -> bool:
        if target.suspected or now - target.progress_at < SILENCE_THRESHOLD_S:
            return False
        several = target.complaints >= MIN_STALLED_FLOWS
        return several or flow.repeats >= MIN_FLOW_REPEATS

    def _suspect(self, target: LiveTarget, now: float, **reason: object) -> None:
        target.suspected = True
        self._suspected.add(target)
        target.suspected_at = now
        target.probe_sent_at = now
        target.next_probe_at = now + PROBE_INTERVAL_S
        self._events.emit(
            Event.TARGET_SUSPECTED,
            target=target.name,
            domain=target.domain,
            silent_s=round(now - target.progress_at, 3),
            **reason,
        )

    def _trust(self, target: LiveTarget, answered_at: float) -> None:
        target.progress_at = answered_at
        target.complaints = 0
        if target.peer_complaints:
            target.peer_complaints.clear()
        if target.suspected:
            target.suspected = False
            self._suspected.discard(target)
            self._events.emit(
                Event.TARGET_TRUSTED,
                target=target.name,
                silent_s=round(answered_at - target.silent_since, 3),
            )


def may_probe(target: LiveTarget, now: float) -> bool:
    """Tell whether a suspected target may get a new flow that tries it out."""
    return now >= target.next_probe_at
