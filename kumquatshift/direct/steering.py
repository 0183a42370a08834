"""Forwarding decisions for packets from callers.

An opening packet is assigned a target by its route; every other packet carries
the cookie of its flow's target. Entries need not share flow state::

    decision = steering.decide(packet, reactor.seconds())
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from .admission import ADMITTED, Demand, flow_point, limit_share
from .events import Event
from .failure_detector import MIN_REPEAT_GAP_S, FailureDetector
from .flows import Flow, FlowTable
from .latency import latency_ratio
from .packets import Decision, Drop, Forward, LostFlow, Packet, Reason, Reset
from .placement import Placement
from .routes import Route, RouteTable, service_for_flow
from .targets import LiveTarget, TargetTable

if TYPE_CHECKING:
    from .events import EventSink

# Samples kept until metrics are next collected: about a minute's worth under load.
MAX_LATENCY_SAMPLES = 10_000

SEQUENCE_MASK = 0xFFFFFFFF
HALF_SEQUENCE = 1 << 31

# From the second retransmission on (after 600 ms), an opening packet is assigned
# another target: one lost packet is common, two in a row are not.
MIN_REPLACING_COPY = 2

# A flow seen within this time stays at its target even if its packets carry
# another cookie: after a delayed second answer to an opening packet, the caller
# uses the cookie of the wrong target.
STICKY_FLOW_S = 2.0

# Flows with a cookie of no known target are remembered until their callers give
# up. The limit covers all flows that the callers of one domain may have open when
# all of its targets are replaced.
MAX_UNKNOWN_FLOWS = 4096
UNKNOWN_FLOW_TTL_S = 10.0


class Steering:
    """Decides how one entry handles packets from callers."""

    def __init__(
        self,
        routes: RouteTable,
        targets: TargetTable,
        placement: Placement,
        events: EventSink,
    ):
        self.flows = FlowTable()
        self.knows_all_routes = _always_false
        self.targets_known_until = _minus_infinity
        self.answer_latencies: deque[float] = deque(maxlen=MAX_LATENCY_SAMPLES)
        self._unknown_flows: dict[bytes, float] = {}
        self._routes = routes
        self._targets = targets
        self._placement = placement
        self.failure_detector = FailureDetector(targets, events)
        self._events = events

    def decide(self, packet: Packet, now: float) -> Decision:
        """Return how to handle a packet."""
        route = self._routes.get(packet.destination)
        if route is None:
            return self._without_route(packet, now)
        if packet.is_syn:
            if packet.has_ack:
                return Drop(Reason.FORGED)
            return self._handle_opening(packet, route, now)
        return self._handle_established(packet, route, now)

    def lost_flows(self, now: float) -> list[LostFlow]:
        """Remove and return the open flows of targets that have ended.

        A caller that learns of this before its next request can open a new flow
        without losing anything. If the request is sent first, the caller cannot
        retry it unless it is idempotent.
        """
        candidates = self.failure_detector.suspected() | self._targets.gone()
        ended = {t for t in candidates if t.flows and self._ended(t, now)}
        if not ended:
            return []
        lost = []
        for key, flow in self.flows.of_targets(ended):
            self.flows.remove(key)
            if flow.is_open and not flow.is_closing and flow.last_ack >= 0:
                lost.append(LostFlow(key, flow.last_ack))
                self._log_reset(key, flow, self._end_reason(flow.target), now)
        return lost

    def expire(self, now: float) -> None:
        """Drop expired state; to be called about once a second."""
        self.flows.expire(now, self._routes.idle_timeout_s)
        self.flows.expire_busy(now)
        for key, first in list(self._unknown_flows.items()):
            if now - first > UNKNOWN_FLOW_TTL_S:
                del self._unknown_flows[key]
        self._targets.forget(now)
        self.failure_detector.forget(now)

    def _without_route(self, packet: Packet, now: float) -> Decision:
        if not self.knows_all_routes(now):
            return Drop(Reason.ROUTE_UNKNOWN_YET)
        self.flows.remove(packet.flow)
        return Reset(Reason.NO_ROUTE)

    # Opening packets

    def _handle_opening(self, packet: Packet, route: Route, now: float) -> Decision:
        flow = self.flows.get(packet.flow)
        if flow is None:
            # Another entry may have forwarded an earlier copy, so that the flow may
            # open at its target while this entry refuses it.
            demand = ADMITTED if packet.copy else self._demand(packet, route)
            return self._open(packet, route, demand, now)
        if packet.copy == 0 and flow.is_open:
            # The caller has reused a source port.
            self.flows.remove(packet.flow)
            return self._open(packet, route, ADMITTED, now)
        if packet.copy and not flow.is_open:
            return self._reopen(packet, route, flow, now)
        flow.sent_at = flow.seen_at = now
        return Forward(flow.target)

    def _open(
        self, packet: Packet, route: Route, demand: Demand, now: float
    ) -> Decision:
        target = self._pick(packet, route, demand, now)
        if isinstance(target, Reason):
            return Reset(target)
        flow = self.flows.add(packet.flow, target, now, route.objective_s)
        self.flows.begin_request(flow, now)
        self._events.emit(
            Event.FLOW_OPENED,
            flow=packet.flow,
            route=route.name,
            target=target.name,
            domain=target.domain,
            flows=target.flows,
            busy=target.busy,
            copy=packet.copy,
        )
        return Forward(target)

    def _reopen(self, packet: Packet, route: Route, flow: Flow, now: float) -> Decision:
        self.failure_detector.note_repeat(flow, now)
        flow.sent_at = flow.seen_at = now
        self.failure_detector.note_probe(flow.target, now)
        if packet.copy < MIN_REPLACING_COPY and not flow.target.suspected:
            return Forward(flow.target)
        target = self._pick(packet, route, ADMITTED, now)
        if isinstance(target, Reason):
            self.flows.remove(packet.flow)
            return Reset(target)
        if target is not flow.target:
            self._events.emit(
                Event.FLOW_REPLACED,
                flow=packet.flow,
                silent=flow.target.name,
                target=target.name,
                copy=packet.copy,
            )
            self.flows.move(flow, target)
            flow.repeats = 0
            flow.is_stalled = False
        return Forward(target)

    def _demand(self, packet: Packet, route: Route) -> Demand:
        return Demand(
            limit_share(route.priority, *self._routes.priority_range),
            flow_point(packet.flow),
        )

    def _pick(
        self, packet: Packet, route: Route, demand: Demand, now: float
    ) -> LiveTarget | Reason:
        service = service_for_flow(route, packet.flow)
        limits = self._routes.limits(service)
        self.flows.expire_busy(now)
        return self._placement.pick(self._targets, service, limits, demand, now)

    # Packets of open flows

    def _handle_established(self, packet: Packet, route: Route, now: float) -> Decision:
        flow = self.flows.get(packet.flow)
        if flow is None or not self._is_sticky(flow, packet, now):
            target = self._targets.by_cookie(packet.destination, packet.cookie)
            if target is None:
                return self._unknown_cookie(packet, now)
            if flow is None:
                flow = self.flows.add(packet.flow, target, now, route.objective_s)
                flow.is_open = True
            elif flow.target is not target:
                self.flows.move(flow, target)
        flow.is_closing = flow.is_closing or packet.is_last
        self._note_packet(flow, packet, now)
        if packet.size and self._ended(flow.target, now):
            reason = self._end_reason(flow.target)
            self._log_reset(packet.flow, flow, reason, now)
            self.flows.remove(packet.flow)
            return Reset(reason)
        if packet.size:
            self.failure_detector.note_probe(flow.target, now)
        flow.sent_at = flow.seen_at = now
        return Forward(flow.target)

    def _is_sticky(self, flow: Flow, packet: Packet, now: float) -> bool:
        if packet.cookie == flow.target.cookie(packet.destination):
            return True
        return flow.is_open and now - flow.seen_at < STICKY_FLOW_S

    def _unknown_cookie(self, packet: Packet, now: float) -> Decision:
        """Reset a flow whose cookie matches no known target.

        The target has either ended, or started too recently to be known here. It
        has ended if the caller retransmits and the target list is by then known
        up to a time after the flow was first seen.
        """
        if not packet.size:
            return Drop(Reason.UNKNOWN_COOKIE)
        first = self._unknown_flows.get(packet.flow)
        if first is None:
            if len(self._unknown_flows) < MAX_UNKNOWN_FLOWS:
                self._unknown_flows[packet.flow] = now
            return Drop(Reason.UNKNOWN_COOKIE)
        is_repeat = now - first >= MIN_REPEAT_GAP_S
        is_settled = first < self.targets_known_until(now)
        if not is_repeat or not is_settled or self._placement.is_relisting(now):
            return Drop(Reason.UNKNOWN_COOKIE)
        del self._unknown_flows[packet.flow]
        self._events.emit(
            Event.FLOW_RESET,
            flow=packet.flow,
            reason=Reason.UNKNOWN_COOKIE.value,
            cookie=packet.cookie,
            waited_s=round(now - first, 3),
        )
        return Reset(Reason.UNKNOWN_COOKIE)

    def _note_packet(self, flow: Flow, packet: Packet, now: float) -> None:
        """Update a flow's state and detect whether its target answers."""
        # A closing packet proves nothing about the target, even if it is the first
        # one seen here after the opening.
        first = not flow.is_open and not packet.is_last
        flow.is_open = True
        known = flow.last_ack >= 0
        moved = known and _is_after(packet.ack, flow.last_ack)
        if first or moved or (known and not packet.size and not packet.is_last):
            self.failure_detector.note_answer(flow, now)
            if first or (moved and flow.waiting):
                self.failure_detector.note_delivery(flow.request_sent_at)
            if flow.waiting and not first:
                ratio = self._note_latency(flow, packet, now)
                self.flows.end_request(flow, ratio, now)
        if moved or not known:
            flow.last_ack = packet.ack
        if not packet.size:
            return
        end = (packet.seq + packet.size) & SEQUENCE_MASK
        if flow.highest_sent < 0 or _is_after(end, flow.highest_sent):
            flow.highest_sent = end
            if first or not flow.waiting:
                self.flows.begin_request(flow, now)
        elif not moved:
            self.failure_detector.note_repeat(flow, now)

    def _note_latency(self, flow: Flow, packet: Packet, now: float) -> float:
        """Record the latency of an answer; return it relative to the objective."""
        waited_s = now - flow.request_sent_at
        self.answer_latencies.append(waited_s)
        answered = (packet.ack - flow.last_ack) & SEQUENCE_MASK
        ratio = latency_ratio(waited_s, flow.objective_s, answered, packet.is_last)
        self._placement.note_answer(flow.target, ratio, now)
        return ratio

    def _ended(self, target: LiveTarget, now: float) -> bool:
        if self._placement.is_gone(target, now):
            return True
        return self.failure_detector.is_dead(target, now)

    def _end_reason(self, target: LiveTarget) -> Reason:
        return Reason.TARGET_SILENT if target.listed else Reason.TARGET_GONE

    def _log_reset(self, key: bytes, flow: Flow, reason: Reason, now: float) -> None:
        target = flow.target
        self._events.emit(
            Event.FLOW_RESET,
            flow=key,
            reason=reason.value,
            target=target.name,
            repeats=flow.repeats,
            waiting=flow.waiting,
            silent_s=round(now - target.last_answer_at, 3),
        )


def _always_false(now: float) -> bool:
    """Serve as the default until the feeds are attached."""
    return False


def _minus_infinity(now: float) -> float:
    """Serve as the default until the feeds are attached."""
    return float("-inf")


def _is_after(number: int, other: int) -> bool:
    """Compare sequence numbers, which wrap around at 32 bits (RFC 9293, 3.4)."""
    return 0 < (number - other) & SEQUENCE_MASK < HALF_SEQUENCE
