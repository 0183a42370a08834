"""UDP port on which the platform's routers deliver callers' packets."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from ..adapters.epoll import Descriptor
from ..direct.events import Event
from ..direct.packets import Drop, Forward, Reason, Reset
from ..direct.steering import Steering
from .packets import MAX_DATA_BYTES, caller_host, decode, forwarded, reset

if TYPE_CHECKING:
    from ..direct.events import EventSink

RECEIVE_BYTES = MAX_DATA_BYTES + 256

# Packets processed before the event loop handles other work, which takes a few
# milliseconds.
BATCH_PACKETS = 64


class PacketPort(Descriptor):
    """Receives packets and carries out the decision of `Steering` for each."""

    def __init__(
        self, reactor, sock: socket.socket, steering: Steering, events: EventSink
    ):
        self.last_packet_at = reactor.seconds()
        self.packets = 0
        self.resets = 0
        self.drops = dict.fromkeys(Reason, 0)
        self.refusals = dict.fromkeys(Reason, 0)
        self._reactor = reactor
        self._steering = steering
        self._events = events
        self._sock = sock
        self._callers_port = sock.getsockname()[1]

    def open(self) -> None:
        """Start receiving packets, beginning with those queued in the socket."""
        self._reactor.addReader(self)

    def fileno(self) -> int:
        """Return the descriptor of the socket."""
        return self._sock.fileno()

    def doRead(self) -> None:  # noqa: N802
        """Process the queued packets, up to one batch."""
        now = self.now()
        for _ in range(BATCH_PACKETS):
            try:
                data = self._sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                return
            self.handle(data, now)

    def now(self) -> float:
        """Return the current time on the clock used for decisions."""
        return self._reactor.seconds()

    def handle(self, data: bytes, now: float) -> None:
        """Decide about one packet and carry out the decision."""
        self.packets += 1
        self.last_packet_at = now
        packet = decode(data)
        if packet is None:
            self.drops[Reason.MALFORMED] += 1
            return
        decision = self._steering.decide(packet, now)
        if isinstance(decision, Forward):
            target = decision.target
            cookie = target.cookie(packet.destination)
            self._send(forwarded(data, target.key, cookie), target.address)
        elif isinstance(decision, Reset):
            if packet.is_syn:
                self.refusals[decision.reason] += 1
                self._events.emit(
                    Event.FLOW_REFUSED,
                    flow=packet.flow,
                    reason=decision.reason.value,
                )
            self._reset(packet.flow, packet.ack)
        elif isinstance(decision, Drop):
            self.drops[decision.reason] += 1
            self._events.emit(
                Event.PACKET_DROPPED,
                flow=packet.flow,
                reason=decision.reason.value,
                cookie=packet.cookie,
                is_syn=packet.is_syn,
                size=packet.size,
            )

    def end_lost_flows(self) -> None:
        """Reset flows whose targets have ended; to be called frequently."""
        for lost in self._steering.lost_flows(self.now()):
            self._reset(lost.flow, lost.ack)

    def _reset(self, flow: bytes, ack: int) -> None:
        self.resets += 1
        destination = (caller_host(flow), self._callers_port)
        self._send(reset(flow, ack), destination)

    def _send(self, data: bytes, destination: tuple[str, int]) -> None:
        try:
            self._sock.sendto(data, destination)
        except OSError:
            # The link is saturated or down. As with any lost packet, the sender
            # will retransmit.
            self.drops[Reason.SEND_FAILED] += 1
