"""One endpoint of a simulated TCP connection, without I/O (RFC 9293).

A `Stream` converts bytes to segments and back. It uses cumulative acknowledgements,
retransmission on timeout and a bounded window, and closes at once on a reset. It
supports no options (no window scaling, no selective acknowledgement) and has no
congestion control, as it runs on loopback only::

    stream = Stream(caller, service, clock, send, owner)
    stream.open()
    stream.write(b"GET / HTTP/1.1\\r\\n\\r\\n")
    stream.receive(segment)
"""

import random
from collections.abc import Callable
from enum import Enum, auto
from typing import Protocol

from .packets import SEQUENCE_MASK, Endpoint, Segment

SEGMENT_BYTES = 1200
WINDOW_BYTES = 48 * 1024
INITIAL_RTO_S = 0.25
MAX_RTO_S = 2.0
USER_TIMEOUT_S = 30.0
TIME_WAIT_S = 4.0
DUPLICATE_ACK_THRESHOLD = 3
HALF_SEQUENCE = 1 << 31


class State(Enum):
    """States of a connection, a simplified set of those in RFC 9293."""

    NEW = auto()
    SYN_SENT = auto()
    SYN_RECEIVED = auto()
    OPEN = auto()
    TIME_WAIT = auto()
    CLOSED = auto()


class StreamOwner(Protocol):
    """User of a stream, whose methods are called on events of the stream."""

    def stream_opened(self) -> None:
        """The handshake is complete."""

    def stream_received(self, data: bytes) -> None:
        """The next bytes from the peer have arrived."""

    def stream_finished(self) -> None:
        """The peer has closed its sending half; this end may still send."""

    def stream_drained(self) -> None:
        """The peer has acknowledged everything that was written."""

    def stream_lost(self, reason: str) -> None:
        """The connection was lost before both ends had closed it."""


def unwrap(reference, number):
    """Return the unwrapped form of ``number`` that is nearest to ``reference``."""
    distance = (number - reference) & SEQUENCE_MASK
    if distance >= HALF_SEQUENCE:
        distance -= 1 << 32
    return reference + distance


class Sender:
    """Send buffer: bytes that are sent but unacknowledged, or still to be sent.

    Sequence numbers are unwrapped integers. The first one is that of the SYN, and
    the one after the last byte is that of the FIN.
    """

    def __init__(self, first):
        self.first = first
        self.acked = first
        self.next = first
        self.buffer = bytearray()
        self.fin_queued = False
        self.fin_acked = False
        self.window = 0

    @property
    def start(self):
        """Sequence number of the first byte in the buffer."""
        return max(self.acked, self.first + 1)

    @property
    def end(self):
        """Sequence number after the last byte, or after a FIN that is due."""
        return self.start + len(self.buffer) + self.is_fin_due

    @property
    def is_fin_due(self):
        """Whether a FIN is still to be sent or acknowledged."""
        return self.fin_queued and not self.fin_acked

    def chunk(self, seq, limit):
        """Return (syn, payload, fin) from ``seq`` on, at most ``limit`` bytes."""
        if seq == self.first:
            return True, b"", False
        offset = seq - self.start
        payload = bytes(self.buffer[offset : offset + limit])
        is_last = offset + len(payload) == len(self.buffer)
        return False, payload, is_last and self.is_fin_due

    def acknowledge(self, ack):
        """Drop acknowledged bytes; return whether ``ack`` acknowledges new data."""
        if not self.acked < ack <= self.next:
            return False
        count = ack - self.start
        self.fin_acked = count > len(self.buffer)
        del self.buffer[: max(0, count)]
        self.acked = ack
        return True


class Receiver:
    """Receive buffer: reassembles incoming bytes and holds them until delivery."""

    def __init__(self, first):
        self.next = first
        self.out_of_order = {}
        self.fin_seq = None
        self.fin_received = False
        self.undelivered = bytearray()

    @property
    def window(self):
        """Free space in the buffer, in bytes."""
        return max(0, WINDOW_BYTES - len(self.undelivered))

    def add(self, seq, payload, fin):
        """Add a payload, in any order or duplicated; keep what fits the window."""
        if fin:
            self.fin_seq = seq + len(payload)
        if seq < self.next:
            payload = payload[self.next - seq :]
            seq = self.next
        space = self.next + self.window - seq
        payload = payload[: max(0, space)]
        if len(payload) > len(self.out_of_order.get(seq, b"")):
            self.out_of_order[seq] = payload
        self._reassemble()

    def _reassemble(self):
        for seq in sorted(self.out_of_order):
            if seq > self.next:
                break
            payload = self.out_of_order.pop(seq)[self.next - seq :]
            self.undelivered += payload
            self.next += len(payload)
        if self.fin_seq == self.next and not self.fin_received:
            self.fin_received = True
            self.next += 1


class Stream:
    """One endpoint of a connection; see the module docstring.

    ``send`` is called with each outgoing segment. ``clock`` is the Twisted reactor,
    or a `Clock` in tests. ``on_closed`` is called when the connection is closed and
    can be removed from tables.
    """

    def __init__(
        self,
        local: Endpoint,
        remote: Endpoint,
        clock,
        send: Callable[[Segment], None],
        owner: StreamOwner,
        on_closed: Callable[["Stream"], None] = lambda stream: None,
    ):
        self.local = local
        self.remote = remote
        self.clock = clock
        self.send = send
        self.owner = owner
        self.state = State.NEW
        self.on_closed = on_closed
        self.sender = Sender(random.getrandbits(32))
        self.receiver: Receiver | None = None
        self.paused = False
        self.finish_reported = False
        self.timer = None
        self.rto_s = INITIAL_RTO_S
        self.last_received_s = clock.seconds()
        self.is_timer_needed = False
        self.recover = None
        self.duplicate_acks = 0
        self.last_window_update = (0, 0)

    # Methods called by the owner.

    def open(self):
        """Start the handshake from this end."""
        self.state = State.SYN_SENT
        self._send_next()

    def write(self, data):
        """Queue bytes; they are sent as the window of the peer allows."""
        if self.state is State.CLOSED or self.sender.fin_queued:
            return
        self.sender.buffer += data
        self._send_more()

    def close(self):
        """Queue a FIN after the bytes already written."""
        if self.state is State.CLOSED or self.sender.fin_queued:
            return
        self.sender.fin_queued = True
        self._send_more()

    def abort(self):
        """Close the connection at once with a reset."""
        if self.state not in (State.CLOSED, State.TIME_WAIT):
            self._transmit(self.sender.next, rst=True)
        self._end()

    def pause(self):
        """Stop delivery until `resume`; the receive window shrinks meanwhile."""
        self.paused = True

    def resume(self):
        """Deliver the buffered bytes, and resume delivery."""
        if not self.paused:
            return
        self.paused = False
        if self.state is not State.CLOSED and self.receiver is not None:
            was_shut = self.receiver.window < SEGMENT_BYTES
            self._deliver()
            if was_shut and self.state is not State.CLOSED:
                self._send_ack()

    @property
    def unsent(self):
        """Number of written bytes that the peer has not acknowledged."""
        return len(self.sender.buffer)

    # Incoming segments.

    def receive(self, segment):
        """Process one segment of this connection."""
        if self.state is State.CLOSED:
            return
        if segment.rst:
            self._handle_reset(segment)
        elif self.state is State.NEW:
            self._accept(segment)
        elif self.state is State.SYN_SENT:
            self._handle_syn_ack(segment)
        else:
            self._handle_segment(segment)

    def _accept(self, segment):
        if not segment.syn or segment.ack is not None:
            return
        self.state = State.SYN_RECEIVED
        self._start_receiving(segment)
        self._send_next()

    def _handle_syn_ack(self, segment):
        expected = unwrap(self.sender.next, segment.ack or 0)
        if not segment.syn or segment.ack is None or expected != self.sender.next:
            return
        self._start_receiving(segment)
        self._handle_ack(segment)
        self._send_ack()

    def _start_receiving(self, segment):
        self.last_received_s = self.clock.seconds()
        self.receiver = Receiver(segment.seq + 1)
        self.sender.window = segment.window
        self.last_window_update = (segment.seq + 1, self.sender.acked)

    def _handle_reset(self, segment):
        if self.receiver is None:
            is_acceptable = segment.ack is not None and (
                unwrap(self.sender.next, segment.ack) == self.sender.next
            )
        else:
            seq = unwrap(self.receiver.next, segment.seq)
            is_acceptable = 0 <= seq - self.receiver.next <= WINDOW_BYTES
        if is_acceptable:
            self._fail("reset by the other end")

    def _handle_segment(self, segment):
        self.last_received_s = self.clock.seconds()
        if segment.syn:
            if self.state is State.SYN_RECEIVED:
                self._transmit(self.sender.first)
            else:
                self._send_ack()
            return
        if segment.ack is None:
            return
        seq = unwrap(self.receiver.next, segment.seq)
        self._handle_ack(segment)
        if self.state is State.CLOSED:
            return
        if segment.length or seq < self.receiver.next:
            self.receiver.add(seq, segment.payload, segment.fin)
            self._deliver()
            if self.state is not State.CLOSED:
                self._send_ack()
        self._check_done()

    def _handle_ack(self, segment):
        ack = unwrap(self.sender.acked, segment.ack)
        self._update_window(segment, ack)
        if self.sender.acknowledge(ack):
            self._handle_new_ack(ack)
        elif self._is_duplicate(segment, ack):
            self.duplicate_acks += 1
            if self.duplicate_acks == DUPLICATE_ACK_THRESHOLD:
                self._start_recovery()
        self._send_more()

    def _handle_new_ack(self, ack):
        self.duplicate_acks = 0
        self.rto_s = INITIAL_RTO_S
        self._set_timer()
        if self.state in (State.SYN_SENT, State.SYN_RECEIVED):
            self.state = State.OPEN
            self.owner.stream_opened()
        if self.recover is not None:
            if ack < self.recover:
                self._retransmit_oldest()
            else:
                self.recover = None
        if not self.sender.buffer:
            self.owner.stream_drained()

    def _is_duplicate(self, segment, ack):
        waiting = self.sender.acked < self.sender.next
        return waiting and ack == self.sender.acked and not segment.length

    def _update_window(self, segment, ack):
        """Update the window of the peer, unless the segment is an older one."""
        update = (unwrap(self.receiver.next, segment.seq), ack)
        if ack >= self.sender.acked and update >= self.last_window_update:
            self.sender.window = segment.window
            self.last_window_update = update

    def _deliver(self):
        if self.paused:
            return
        if self.receiver.undelivered:
            data = bytes(self.receiver.undelivered)
            self.receiver.undelivered.clear()
            self.owner.stream_received(data)
        if self.receiver.fin_received and not self.finish_reported:
            self.finish_reported = True
            self.owner.stream_finished()
        self._check_done()

    def _check_done(self):
        if self.state is not State.OPEN:
            return
        if self.finish_reported and self.sender.fin_acked:
            self.state = State.TIME_WAIT
            self._cancel_timer()
            self.timer = self.clock.callLater(TIME_WAIT_S, self._end)

    # Outgoing segments.

    def _send_more(self):
        if self.state is not State.OPEN:
            return
        while self.sender.next < self.sender.end and self._usable_window() > 0:
            self._send_next()
        self._set_timer(restart=False)

    def _usable_window(self):
        window = min(self.sender.window, WINDOW_BYTES)
        return self.sender.acked + window - self.sender.next

    def _send_next(self):
        limit = max(1, min(SEGMENT_BYTES, self._usable_window()))
        self._transmit(self.sender.next, limit)
        self._set_timer(restart=False)

    def _start_recovery(self):
        """Retransmit the oldest segment, and later ones as acknowledgements arrive."""
        self.recover = self.sender.next
        self._retransmit_oldest()

    def _retransmit_oldest(self):
        self._transmit(
            self.sender.acked, min(SEGMENT_BYTES, self.sender.next - self.sender.acked)
        )

    def _transmit(self, seq, limit=0, rst=False):
        """Send the segment that starts at ``seq``, or a reset at ``seq``."""
        syn, payload, fin = (False, b"", False)
        if not rst:
            syn, payload, fin = self.sender.chunk(seq, limit)
        segment = Segment(
            self.local,
            self.remote,
            seq & SEQUENCE_MASK,
            None if self.receiver is None else self.receiver.next & SEQUENCE_MASK,
            payload,
            WINDOW_BYTES if self.receiver is None else self.receiver.window,
            syn=syn,
            fin=fin,
            rst=rst,
        )
        self.sender.next = max(self.sender.next, seq + segment.length)
        self.send(segment)

    def _send_ack(self):
        segment = Segment(
            self.local,
            self.remote,
            self.sender.next & SEQUENCE_MASK,
            self.receiver.next & SEQUENCE_MASK,
            window=self.receiver.window,
        )
        self.send(segment)

    # The retransmission timer, which also triggers zero-window probes.

    def _set_timer(self, restart=True):
        if self.state in (State.TIME_WAIT, State.CLOSED):
            return
        is_needed = (
            self.sender.acked < self.sender.next or self.sender.next < self.sender.end
        )
        if is_needed and not self.is_timer_needed:
            self.last_received_s = self.clock.seconds()
        self.is_timer_needed = is_needed
        if self.timer is not None and (restart or not is_needed):
            self._cancel_timer()
        if self.timer is None and is_needed:
            self.timer = self.clock.callLater(self.rto_s, self._timed_out)

    def _cancel_timer(self):
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def _timed_out(self):
        self.timer = None
        if self.clock.seconds() - self.last_received_s > USER_TIMEOUT_S:
            self._transmit(self.sender.next, rst=True)
            self._fail("no answer from the other end")
            return
        self.rto_s = min(2 * self.rto_s, MAX_RTO_S)
        self.duplicate_acks = 0
        if self.sender.acked < self.sender.next:
            self._start_recovery()
            self._set_timer()
        else:
            self._send_next()

    def _fail(self, reason):
        if self.state is not State.TIME_WAIT:
            self.owner.stream_lost(reason)
        self._end()

    def _end(self):
        if self.state is not State.CLOSED:
            self.state = State.CLOSED
            self._cancel_timer()
            self.on_closed(self)
