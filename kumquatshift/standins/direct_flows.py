"""Simulated caller and target of a flow with direct server return, without I/O.

A `FlowTarget` answers packets as a host of the users' platform does; a
`FlowCaller` opens flows and sends requests as a client does. A request and its
answer are one packet each, which is enough to show which target receives a
request, what is retransmitted and when, and what a reset costs.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from ..platform.packets import ACK, FIN, HEAD, HEAD_BYTES, RST, SYN

SYN_RETRANSMIT_TIMES_S = (0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
INITIAL_RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
SEQUENCE_MASK = 0xFFFFFFFF
ANSWER_BYTES = 600
REQUEST_BYTES = 100

# A refusal by a full target: a status line and headers, and then it closes the flow.
REFUSAL = b"refused".ljust(180, b".")

FourTuple = tuple[bytes, int, bytes, int]


@dataclass(frozen=True)
class PacketHeader:
    """Header of a packet; addresses are IPv4 in network byte order."""

    flags: int
    source: bytes
    source_port: int
    destination: bytes
    destination_port: int
    echo: int = 0
    seq: int = 0
    ack: int = 0

    @classmethod
    def unpack(cls, data: bytes) -> "PacketHeader":
        """Parse the header of a packet."""
        _, flags, _, dport, src, sport, dst, echo, _, seq, ack = HEAD.unpack_from(data)
        return cls(flags, src, sport, dst, dport, echo, seq, ack)

    def pack(self, data: bytes = b"") -> bytes:
        """Return the packet with this header and ``data``."""
        return (
            HEAD.pack(
                1,
                self.flags,
                0,
                self.destination_port,
                self.source,
                self.source_port,
                self.destination,
                self.echo,
                len(data),
                self.seq,
                self.ack,
            )
            + data
        )

    def reply(self, flags: int, seq: int, ack: int) -> "PacketHeader":
        """Return the header of a reply, with the same echo."""
        return PacketHeader(
            flags,
            self.destination,
            self.destination_port,
            self.source,
            self.source_port,
            self.echo,
            seq,
            ack,
        )


@dataclass
class _TargetFlow:
    """State that a target keeps for a flow."""

    seq: int
    expected: int
    is_open: bool = False
    answers: dict[int, bytes] = field(default_factory=dict)


class FlowTarget:
    """One incarnation of a target; ``send`` sends a packet to the caller.

    While ``is_unresponsive``, it drops all packets and sends none. If
    `unanswered_every` is set, every n-th request is processed but never answered.
    With `max_flows` flows it is full, and sends nothing to callers that open another.
    A request that finds the queue full is lost, or answered by a refusal if
    ``sends_refusals``.
    """

    def __init__(self, clock, key: bytes, send: Callable[[bytes], None], work_s=0.02):
        self.clock = clock
        self.key = key
        self.send = send
        self.work_s = work_s
        self.slots = 2
        self.queue = 8
        self.is_unresponsive = False
        self.unanswered_every = 0
        self.max_flows: int | None = None
        self.sends_refusals = False
        self.openings: list[float] = []
        self.runs: list[bytes] = []
        self.unknown_flow_packets = 0
        self.shed = 0
        self._flows: dict[FourTuple, _TargetFlow] = {}
        self._busy = 0
        self._waiting: list[Callable[[], None]] = []

    def receive(self, datagram: bytes) -> None:
        """Handle a datagram from an entry."""
        if self.is_unresponsive or datagram[:8] not in (self.key, bytes(8)):
            return
        packet = datagram[8:]
        header = PacketHeader.unpack(packet)
        endpoints = (
            header.source,
            header.source_port,
            header.destination,
            header.destination_port,
        )
        flow = self._flows.get(endpoints)
        if header.flags & SYN:
            self._accept(header, endpoints)
        elif flow is None:
            self.unknown_flow_packets += 1
            self.send(header.reply(RST, 0, 0).pack())
        elif header.flags & RST:
            del self._flows[endpoints]
        else:
            self._receive_data(header, flow, packet[HEAD_BYTES:])

    def _accept(self, header, endpoints):
        flow = self._flows.get(endpoints)
        if flow is None:
            if self.max_flows is not None and len(self._flows) >= self.max_flows:
                return
            self.openings.append(self.clock.seconds())
            seq = int.from_bytes(self.key, "big") * 7919 & SEQUENCE_MASK
            flow = self._flows[endpoints] = _TargetFlow(
                seq, (header.seq + 1) & SEQUENCE_MASK
            )
        self.send(header.reply(SYN | ACK, flow.seq, flow.expected).pack())

    def _receive_data(self, header, flow, data):
        flow.is_open = True
        if not data:
            return
        if header.seq in flow.answers:
            answer = flow.answers[header.seq]
            if answer:
                self.send(answer)
            return
        flow.answers[header.seq] = b""
        self._submit(
            lambda: self._answer(header, flow, data),
            lambda: self._refuse(header, flow),
        )

    def _answer(self, header, flow, data):
        self.runs.append(data[:16])
        if self.unanswered_every and len(self.runs) % self.unanswered_every == 0:
            return
        self._reply(header, flow, data[:16].ljust(ANSWER_BYTES, b"."))

    def _refuse(self, header, flow):
        self.shed += 1
        if self.sends_refusals:
            self._reply(header, flow, REFUSAL)

    def _reply(self, header, flow, body):
        ack = (header.seq + REQUEST_BYTES) & SEQUENCE_MASK
        seq = (flow.seq + 1 + ANSWER_BYTES * (len(flow.answers) - 1)) & SEQUENCE_MASK
        answer = header.reply(ACK, seq, ack).pack(body)
        flow.answers[header.seq] = answer
        if not self.is_unresponsive:
            self.send(answer)

    def _submit(self, job, refuse):
        if self._busy < self.slots:
            self._busy += 1
            self.clock.callLater(self.work_s, self._finish, job)
        elif len(self._waiting) < self.queue:
            self._waiting.append((job, refuse))
        else:
            refuse()

    def _finish(self, job):
        self._busy -= 1
        job()
        if self._waiting:
            self._submit(*self._waiting.pop(0))


class Outcome(Enum):
    """Outcome of a request."""

    ANSWERED = auto()
    RESET = auto()
    NOT_OPENED = auto()
    DEADLINE = auto()
    REFUSED = auto()


@dataclass
class Request:
    """One request of a caller, including all its attempts."""

    name: bytes
    sent_at: float
    deadline: float
    tries: int = 0
    ended_at: float | None = None
    outcome: Outcome | None = None

    @property
    def took_s(self) -> float:
        """Time from first sending the request to its outcome."""
        return self.ended_at - self.sent_at


class FlowCaller:
    """A caller that keeps one flow open and sends requests one at a time.

    It acknowledges an answer after ``ack_delay_s``, and tries a refused request again
    after ``backoff_s``.
    """

    def __init__(
        self,
        clock,
        endpoints: FourTuple,
        send,
        tries=3,
        deadline_s=2.0,
        ack_delay_s=0.0,
        backoff_s=0.0,
    ):
        self.clock = clock
        self.requests: list[Request] = []
        self.resets = 0
        self._source, self._port, self._destination, self._destination_port = endpoints
        self._send = send
        self._tries = tries
        self._deadline_s = deadline_s
        self._ack_delay_s = ack_delay_s
        self._backoff_s = backoff_s
        self._request: Request | None = None
        self._echo = 0
        self._is_open = False
        self._has_flow = False
        self._seq = 0
        self._ack = 0
        self._timers = []

    def ask(self, name: bytes) -> None:
        """Send a request over the open flow, or over a new one."""
        now = self.clock.seconds()
        request = Request(name.ljust(16)[:16], now, now + self._deadline_s)
        self.requests.append(request)
        self._request = request
        self._schedule(
            self._deadline_s, self._end, Outcome.DEADLINE, outlives_attempt=True
        )
        self._start_attempt()

    def close(self) -> None:
        """Close the flow, if there is one."""
        if self._is_open:
            self._send_packet(FIN | ACK)
        self._drop_flow()

    def receive(self, packet: bytes) -> None:
        """Handle a packet addressed to this caller."""
        header = PacketHeader.unpack(packet)
        if header.destination_port != self._port or not self._has_flow:
            return
        if header.flags & RST:
            self._handle_reset()
            return
        self._echo = header.echo
        if header.flags & SYN:
            self._handle_syn_ack(header)
        elif self._request and packet[HEAD_BYTES:][:16] == self._request.name:
            self._seq = header.ack
            self._ack = (header.seq + ANSWER_BYTES) & SEQUENCE_MASK
            self._acknowledge()
            self._end(Outcome.ANSWERED)
        elif self._request and packet[HEAD_BYTES:] == REFUSAL:
            self._ack = (header.seq + len(REFUSAL)) & SEQUENCE_MASK
            self.close()
            self._retry(Outcome.REFUSED)

    def _acknowledge(self):
        if not self._ack_delay_s:
            self._send_packet(ACK)
            return
        port, ack = self._port, self._ack

        def acknowledge():
            if self._is_open and (self._port, self._ack) == (port, ack):
                self._send_packet(ACK)

        self.clock.callLater(self._ack_delay_s, acknowledge)

    def _start_attempt(self):
        self._request.tries += 1
        if self._is_open:
            self._send_request(INITIAL_RETRANSMIT_S)
            return
        self._port += 1
        self._has_flow = True
        self._echo = 0
        self._seq = self._port * 104_729 & SEQUENCE_MASK
        self._send_packet(SYN)
        for copy, after_s in enumerate(SYN_RETRANSMIT_TIMES_S, 1):
            self._schedule(after_s, self._send_packet, SYN, copy)
        self._schedule(OPEN_TIMEOUT_S, self._handle_open_timeout)

    def _handle_syn_ack(self, header):
        if self._is_open:
            return
        self._is_open = True
        self._cancel(all_timers=False)
        self._seq = header.ack
        self._ack = (header.seq + 1) & SEQUENCE_MASK
        if self._request:
            self._send_request(INITIAL_RETRANSMIT_S)

    def _send_request(self, interval_s):
        data = self._request.name.ljust(REQUEST_BYTES, b".")
        self._send_packet(ACK, data=data)
        next_interval_s = min(MAX_RETRANSMIT_S, interval_s * 2)
        self._schedule(interval_s, self._send_request, next_interval_s)

    def _send_packet(self, flags, copy=0, data=b""):
        ack = copy if flags == SYN else self._ack
        header = PacketHeader(
            flags,
            self._source,
            self._port,
            self._destination,
            self._destination_port,
            self._echo,
            self._seq,
            ack,
        )
        self._send(header.pack(data))

    def _handle_reset(self):
        self.resets += 1
        was_open = self._is_open
        self._drop_flow()
        if self._request is None:
            return
        self._retry(Outcome.RESET if was_open else Outcome.NOT_OPENED)

    def _handle_open_timeout(self):
        self._drop_flow()
        self._retry(Outcome.NOT_OPENED)

    def _retry(self, outcome):
        if self._request.tries >= self._tries:
            self._end(outcome)
        elif self._backoff_s:
            self._schedule(self._backoff_s, self._start_attempt, outlives_attempt=True)
        else:
            self._start_attempt()

    def _end(self, outcome):
        if self._request is None:
            return
        self._request.outcome = outcome
        self._request.ended_at = self.clock.seconds()
        self._request = None
        self._cancel(all_timers=True)
        if outcome is Outcome.DEADLINE:
            self._drop_flow()

    def _drop_flow(self):
        self._is_open = self._has_flow = False
        self._cancel(all_timers=False)

    def _schedule(self, after_s, call, *args, outlives_attempt=False):
        self._timers.append(
            (self.clock.callLater(after_s, call, *args), outlives_attempt)
        )

    def _cancel(self, all_timers):
        remaining = []
        for timer, outlives_attempt in self._timers:
            if outlives_attempt and not all_timers:
                remaining.append((timer, outlives_attempt))
            elif timer.active():
                timer.cancel()
        self._timers = remaining
