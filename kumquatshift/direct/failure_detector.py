"""Passive failure detection: find unresponsive targets from callers' packets.

An entry never sees a target's answers, but it sees callers acknowledge them: a
packet that acknowledges new data proves that its target answers, and a
retransmission suggests that it does not. A single flow may just have lost a
packet, so a target is suspected only when several flows have retransmitted
without progress since its last known answer, or one flow has done so repeatedly.
This covers targets that stop responding under traffic while the platform still
lists them, which lasts three heartbeats or more.

A live target answers on its open flows, but a full one is silent to callers that open
another. So unanswered opening packets only keep new flows away from a target; its open
flows are lost once open flows go unanswered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from .events import Event
from .flows import Flow
from .targets import GONE_TARGET_TTL_S, LiveTarget, TargetTable

if TYPE_CHECKING:
    from .events import EventSink

# Callers retransmit after 200 ms at the earliest. Copies closer together than
# this were delayed in this entry's own queue and say nothing about the target.
MIN_REPEAT_GAP_S = 0.15

# A responsive target under load shows progress every few tens of milliseconds.
# This threshold exceeds the queueing delay of a slow target with a full queue.
SILENCE_THRESHOLD_S = 0.25

# Random packet loss is unlikely to stall several flows of one target at once.
MIN_STALLED_FLOWS = 2

# A single peer may itself have a faulty link.
MIN_REPORTING_PEERS = 2

# A caller's second copy comes 600 ms after the first packet. Losing two packets
# in a row is rare enough that moving such flows of a healthy target costs little.
MIN_FLOW_REPEATS = 2

# Open flows are reset only after their target has been silent for this long:
# resetting flows of a live target could abort requests that it is processing.
DEAD_AFTER_S = 0.6

# A suspected target gets one new flow per interval as a probe. The platform
# removes a dead target from the list before the first probe, so that no caller
# has to wait for a retransmission.
PROBE_INTERVAL_S = 2.5

# If no target at all answers for this long while several have complaints, the
# fault lies with this entry.
OWN_OUTAGE_S = 0.4

# When this many other targets fall silent at the same time, a common cause such
# as this entry's own link is likely.
MIN_CONCURRENT_SILENCES = 2

# Callers give up on a request earlier than this.
COMPLAINT_TTL_S = 10.0

# Peers that still get answers refute a suspicion within this time.
REFUTATION_WINDOW_S = 0.15

# Heartbeats repeat a refutation for this long, in case the first one was lost.
REFUTATION_REPEAT_S = 1.2


class Suspect(NamedTuple):
    """A target incarnation that has stopped answering, as reported by an entry.

    ``complaints`` counts open flows that the target leaves unanswered. With any,
    ``silent_s`` is for how long these have been so, and otherwise the time since the
    target's last answer.
    """

    name: str
    incarnation: int
    complaints: int
    silent_s: float


class Refutation(NamedTuple):
    """A target incarnation that answers, although another entry suspects it."""

    name: str
    incarnation: int
    answered_s_ago: float


class FailureDetector:
    """Tracks which targets one entry considers unresponsive."""

    def __init__(self, targets: TargetTable, events: EventSink):
        self._targets = targets
        self._events = events
        self._last_answer_at = float("-inf")
        self._last_delivery_at = float("-inf")
        self._refutations: dict[LiveTarget, float] = {}
        # These hold only affected targets, so they stay small on large sites.
        self._suspected: set[LiveTarget] = set()
        self._complaint_times: dict[LiveTarget, float] = {}

    def forget(self, now: float) -> None:
        """Drop targets that were unlisted longer than `GONE_TARGET_TTL_S` ago."""
        for target in list(self._suspected):
            if not target.listed and now - target.unlisted_at > GONE_TARGET_TTL_S:
                self._suspected.discard(target)

    def note_answer(self, flow: Flow, now: float) -> None:
        """Record that a flow's target has answered."""
        flow.repeats = 0
        flow.is_stalled = False
        if now - self._last_answer_at > OWN_OUTAGE_S:
            self._clear_own_outage()
        self._last_answer_at = now
        self._trust(flow.target, now)

    def note_delivery(self, sent_at: float) -> None:
        """Record that a packet sent to some target at ``sent_at`` was answered.

        This proves that packets sent by then have left this entry's own link,
        where they queue while a large transfer saturates it.
        """
        self._last_delivery_at = max(self._last_delivery_at, sent_at)

    def note_repeat(self, flow: Flow, now: float) -> None:
        """Record that a caller has retransmitted an unanswered packet."""
        if now - flow.sent_at < MIN_REPEAT_GAP_S:
            return
        if not flow.repeats:
            flow.stalled_since = flow.sent_at
        flow.repeats += 1
        target = flow.target
        if flow.stalled_since < target.last_answer_at - SILENCE_THRESHOLD_S:
            # The target has answered other flows since; only this one is stalled.
            return
        if not flow.is_stalled:
            flow.is_stalled = True
            self._add_complaint(target, flow, now)
        if self._is_silent(target, flow, now):
            self._suspect(target, now, flows_stuck=target.complaints)

    def note_probe(self, target: LiveTarget, now: float) -> None:
        """Record that a packet which requires an answer is sent to a target."""
        if target.suspected and target.probe_sent_at <= self._concurrent_silence_at(
            target
        ):
            target.probe_sent_at = now

    def is_dead(self, target: LiveTarget, now: float) -> bool:
        """Return whether a target has been silent long enough to be dead.

        Its open flows are lost, and callers should open new ones at once.
        """
        if not target.suspected or now - target.suspected_at < REFUTATION_WINDOW_S:
            return False
        unanswered_since = self._open_flows_unanswered_since(target)
        if unanswered_since is None or not self._link_works_since(unanswered_since):
            # Without an answer from elsewhere, this entry's own link may be at fault.
            return False
        return now - unanswered_since > DEAD_AFTER_S and self._is_probed(target, now)

    def _open_flows_unanswered_since(self, target: LiveTarget) -> float | None:
        """Return since when a target has left several open flows unanswered.

        None means that it has not, as far as this entry and its peers know.
        """
        reports = target.peer_reports.values()
        reported = sum(report.complaints for report in reports)
        if target.open_complaints + reported < MIN_STALLED_FLOWS:
            return None
        if target.open_complaints:
            return target.unanswered_since
        long_silent = [r for r in reports if r.complaints and r.silent_s > DEAD_AFTER_S]
        if len(long_silent) < MIN_REPORTING_PEERS:
            return None
        return max(target.last_answer_at, target.silent_since)

    def suspected(self) -> set[LiveTarget]:
        """Return the currently suspected targets."""
        return self._suspected

    def suspects(self, now: float) -> tuple[Suspect, ...]:
        """Return the suspicions based on this entry's own observations."""
        return tuple(
            Suspect(
                t.name, t.incarnation, t.open_complaints, round(_silence(t, now), 3)
            )
            for t in self._suspected
            if t.listed and t.complaints and self._link_works_since(t.silent_since)
        )

    def refutations(self, now: float) -> tuple[Refutation, ...]:
        """Return the targets that peers suspect but that answer this entry."""
        for target, since in list(self._refutations.items()):
            if now - since > REFUTATION_REPEAT_S or target.suspected:
                del self._refutations[target]
        return tuple(
            Refutation(t.name, t.incarnation, round(now - t.last_answer_at, 3))
            for t in self._refutations
        )

    def receive_suspects(
        self, suspects: tuple[Suspect, ...], source: str, now: float
    ) -> None:
        """Process all suspicions that a peer has; reports of others are withdrawn."""
        reported = {(suspect.name, suspect.incarnation) for suspect in suspects}
        for target in self._suspected:
            if (target.name, target.incarnation) not in reported:
                target.peer_reports.pop(source, None)
        for suspect in suspects:
            self._receive_suspect(suspect, source, now)

    def receive_refutation(self, refutation: Refutation, now: float) -> None:
        """Process a peer's report that a target answers it."""
        target = self._find(refutation.name, refutation.incarnation)
        if target is None:
            return
        answered_at = now - refutation.answered_s_ago
        if answered_at > target.silent_since:
            self._trust(target, max(answered_at, target.last_answer_at))

    def _receive_suspect(self, suspect: Suspect, source: str, now: float) -> None:
        """Adopt a peer's suspicion, or refute it if the target answers here."""
        target = self._find(suspect.name, suspect.incarnation)
        if target is None:
            return
        answered_s_ago = now - target.last_answer_at
        if not target.complaints and answered_s_ago < min(
            suspect.silent_s, REFUTATION_REPEAT_S
        ):
            self._refutations.setdefault(target, now)
            return
        target.peer_reports[source] = suspect
        if not target.suspected:
            target.silent_since = max(now - suspect.silent_s, target.last_answer_at)
            self._suspect(target, now, source=source)

    def _link_works_since(self, silent_since: float) -> bool:
        """Return whether any target has answered packets sent since then."""
        return self._last_delivery_at >= silent_since + SILENCE_THRESHOLD_S

    def _is_probed(self, target: LiveTarget, now: float) -> bool:
        """Return whether a probe that is unlikely to be lost went unanswered.

        A saturated link drops some packets to every target. After several targets
        were silent together, a silence counts only once a packet sent since then
        has gone unanswered.
        """
        since = self._concurrent_silence_at(target)
        if since < target.silent_since:
            return True
        return (
            target.probe_sent_at > since
            and now - target.probe_sent_at >= SILENCE_THRESHOLD_S
        )

    def _concurrent_silence_at(self, target: LiveTarget) -> float:
        """Return when other targets last had concurrent complaints.

        This takes `MIN_CONCURRENT_SILENCES` other targets, or the only other one if
        there are just two targets; without them it is minus infinity.
        """
        count = min(MIN_CONCURRENT_SILENCES, len(self._targets) - 1)
        times = [at for each, at in self._complaint_times.items() if each is not target]
        if count < 1 or len(times) < count:
            return float("-inf")
        return times[-count]

    def _add_complaint(self, target: LiveTarget, flow: Flow, now: float) -> None:
        """Count a flow that has stalled against its target."""
        since = max(flow.stalled_since, target.last_answer_at)
        if not target.complaints:
            target.silent_since = since
        target.complaints += 1
        if flow.is_open:
            if not target.open_complaints:
                target.unanswered_since = since
            target.open_complaints += 1
        self._note_complaint(target, now)

    def _note_complaint(self, target: LiveTarget, now: float) -> None:
        """Record when targets got complaints, ordered from oldest to latest."""
        self._complaint_times.pop(target, None)
        self._complaint_times[target] = now
        for each, at in list(self._complaint_times.items()):
            if now - at < COMPLAINT_TTL_S:
                break
            del self._complaint_times[each]

    def _clear_own_outage(self) -> None:
        """Clear complaints that were counted while no target answered.

        Several targets rarely fail at once; the path to them probably did.
        """
        affected = [target for target in self._complaint_times if target.complaints]
        if len(affected) < 2:
            return
        for target in affected:
            self._trust(target, target.last_answer_at)

    def _find(self, name: str, incarnation: int) -> LiveTarget | None:
        target = self._targets.get(name)
        if target is None or target.incarnation != incarnation:
            return None
        return target

    def _is_silent(self, target: LiveTarget, flow: Flow, now: float) -> bool:
        if target.suspected or now - target.last_answer_at < SILENCE_THRESHOLD_S:
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
            silent_s=round(now - target.last_answer_at, 3),
            **reason,
        )

    def _trust(self, target: LiveTarget, answered_at: float) -> None:
        target.last_answer_at = answered_at
        target.complaints = target.open_complaints = 0
        if target.peer_reports:
            target.peer_reports.clear()
        if target.suspected:
            target.suspected = False
            self._suspected.discard(target)
            self._events.emit(
                Event.TARGET_TRUSTED,
                target=target.name,
                silent_s=round(answered_at - target.silent_since, 3),
            )


def _silence(target: LiveTarget, now: float) -> float:
    """Return for how long a target has been silent, on open flows if there are any."""
    if target.open_complaints:
        return now - target.unanswered_since
    return now - target.last_answer_at


def may_probe(target: LiveTarget, now: float) -> bool:
    """Return whether a suspected target may get a new flow as a probe."""
    return now >= target.next_probe_at
