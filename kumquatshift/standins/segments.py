"""One end of a TCP connection, without any I/O of its own (RFC 9293).

A `Stream` turns bytes into segments and back. It acknowledges cumulatively,
sends again what is not acknowledged in time, keeps to a bounded window, and
ends at once on a reset. It knows no options: no window scale, no selective
acknowledgement, no congestion control, as it runs on loopback only::

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
FIRST_TIMEOUT_S = 0.25
LONGEST_TIMEOUT_S = 2.0
GIVE_UP_S = 30.0
TIME_WAIT_S = 4.0
DUPLICATE_ACKS = 3
HALF_SEQUENCE = 1 << 31


class State(Enum):
    """Where a connection stands, as far as both ends need to know."""

    NEW = auto()
    OPENING = auto()
    ACCEPTING = auto()
    OPEN = auto()
    TIME_WAIT = auto()
    OVER = auto()


class StreamOwner(Protocol):
    """Who uses a stream, and is told what happens to it."""

    def stream_opened(self) -> None:
        """Both ends have agreed on the connection."""

    def stream_received(self, data: bytes) -> None:
        """The next bytes from the other end have come."""

    def stream_finished(self) -> None:
        """The other end will send no more; ours still may."""

    def stream_drained(self) -> None:
        """Everything that was written is acknowledged."""

    def stream_lost(self, reason: str) -> None:
        """The connection ended before both ends had finished."""


def unwrap(near, number):
    """Return the sequence number nearest to ``near`` that is sent as ``number``."""
    distance = (number - near) & SEQUENCE_MASK
    if distance >= HALF_SEQUENCE:
        distance -= 1 << 32
    return near + distance


class Sender:
    """The bytes on their way out: what is acknowledged, sent, and still to send.

    Sequence numbers are whole numbers that never wrap here. The first one is
    that of the SYN, and the one after the last byte that of the FIN.
    """

    def __init__(self, first):
        self.first = first
        self.acked = first
        self.next = first
        self.buffer = bytearray()
        self.finishing = False
        self.finish_acked = False
        self.window = 0

    @property
    def start(self):
        """The sequence number of the first byte in the buffer."""
        return max(self.acked, self.first + 1)

    @property
    def end(self):
        """The sequence number after the last thing there is to send."""
        return self.start + len(self.buffer) + self.is_finish_due

    @property
    def is_finish_due(self):
        """Whether a FIN is still to be sent or acknowledged."""
        return self.finishing and not self.finish_acked

    def piece(self, seq, limit):
        """Return (syn, payload, fin) from ``seq`` on, at most ``limit`` bytes."""
        if seq == self.first:
            return True, b"", False
        offset = seq - self.start
        payload = bytes(self.buffer[offset : offset + limit])
        is_last = offset + len(payload) == len(self.buffer)
        return False, payload, is_last and self.is_finish_due

    def take_ack(self, ack):
        """Drop what is acknowledged; return whether that was anything."""
        if not self.acked < ack <= self.next:
            return False
        count = ack - self.start
        self.finish_acked = count > len(self.buffer)
        del self.buffer[: max(0, count)]
        self.acked = ack
        return True


class Receiver:
    """The bytes that have come in, put in order, until they are delivered."""

    def __init__(self, first):
        self.next = first
        self.early = {}
        self.finish_at = None
        self.finished = False
        self.held = bytearray()

    @property
    def window(self):
        """How many more bytes may come."""
        return max(0, WINDOW_BYTES - len(self.held))

    def take(self, seq, payload, fin):
        """Take one piece, early, late or doubled; keep what fits the window."""
        if fin:
            self.finish_at = seq + len(payload)
        if seq < self.next:
            payload = payload[self.next - seq :]
            seq = self.next
        room = self.next + self.window - seq
        payload = payload[: max(0, room)]
        if len(payload) > len(self.early.get(seq, b"")):
            self.early[seq] = payload
        self._join()

    def _join(self):
        for seq in sorted(self.early):
            if seq > self.next:
                break
            payload = self.early.pop(seq)[self.next - seq :]
            self.held += payload
            self.next += len(payload)
        if self.finish_at == self.next and not self.finished:
            self.finished = True
            self.next += 1


class Stream:
    """One end of one connection; see the module's own words.

    ``send`` is called with each segment to go out. ``clock`` is Twisted's
    reactor or a test's `Clock`. ``on_over`` is told when the connection is to be
    forgotten.
    """

    def __init__(
        self,
        local: Endpoint,
        remote: Endpoint,
        clock,
        send: Callable[[Segment], None],
        owner: StreamOwner,
        on_over: Callable[["Stream"], None] = lambda stream: None,
    ):
        self.local = local
        self.remote = remote
        self.clock = clock
        self.send = send
        self.owner = owner
        self.state = State.NEW
        self.on_over = on_over
        self.out = Sender(random.getrandbits(32))
        self.into: Receiver | None = None
        self.paused = False
        self.told_finished = False
        self.timer = None
        self.timeout_s = FIRST_TIMEOUT_S
        self.heard_s = clock.seconds()
        self.is_waiting = False
        self.recover = None
        self.duplicate_acks = 0
        self.window_seen = (0, 0)

    # What the owner asks for.

    def open(self):
        """Begin the connection from this end."""
        self.state = State.OPENING
        self._send_next()

    def write(self, data):
        """Send bytes, now or as soon as the other end has room."""
        if self.state is State.OVER or self.out.finishing:
            return
        self.out.buffer += data
        self._send_more()

    def close(self):
        """Send no more after what was written."""
        if self.state is State.OVER or self.out.finishing:
            return
        self.out.finishing = True
        self._send_more()

    def abort(self):
        """End the connection at once, with a reset."""
        if self.state not in (State.OVER, State.TIME_WAIT):
            self._transmit(self.out.next, rst=True)
        self._end()

    def pause(self):
        """Deliver nothing until `resume`; the window then closes."""
        self.paused = True

    def resume(self):
        """Deliver what was held back, and what comes."""
        if not self.paused:
            return
        self.paused = False
        if self.state is not State.OVER and self.into is not None:
            was_shut = self.into.window < SEGMENT_BYTES
            self._deliver()
            if was_shut and self.state is not State.OVER:
                self._send_ack()

    @property
    def unsent(self):
        """How many written bytes the other end has not acknowledged."""
        return len(self.out.buffer)

    # What comes in.

    def receive(self, segment):
        """Take one segment of this connection."""
        if self.state is State.OVER:
            return
        if segment.rst:
            self._take_reset(segment)
        elif self.state is State.NEW:
            self._accept(segment)
        elif self.state is State.OPENING:
            self._take_first_answer(segment)
        else:
            self._take(segment)

    def _accept(self, segment):
        if not segment.syn or segment.ack is not None:
            return
        self.state = State.ACCEPTING
        self._note_start(segment)
        self._send_next()

    def _take_first_answer(self, segment):
        expected = unwrap(self.out.next, segment.ack or 0)
        if not segment.syn or segment.ack is None or expected != self.out.next:
            return
        self._note_start(segment)
        self._take_ack(segment)
        self._send_ack()

    def _note_start(self, segment):
        self.heard_s = self.clock.seconds()
        self.into = Receiver(segment.seq + 1)
        self.out.window = segment.window
        self.window_seen = (segment.seq + 1, self.out.acked)

    def _take_reset(self, segment):
        if self.into is None:
            is_ours = segment.ack is not None and (
                unwrap(self.out.next, segment.ack) == self.out.next
            )
        else:
            seq = unwrap(self.into.next, segment.seq)
            is_ours = 0 <= seq - self.into.next <= WINDOW_BYTES
        if is_ours:
            self._lose("reset by the other end")

    def _take(self, segment):
        self.heard_s = self.clock.seconds()
        if segment.syn:
            if self.state is State.ACCEPTING:
                self._transmit(self.out.first)
            else:
                self._send_ack()
            return
        if segment.ack is None:
            return
        seq = unwrap(self.into.next, segment.seq)
        self._take_ack(segment)
        if self.state is State.OVER:
            return
        if segment.length or seq < self.into.next:
            self.into.take(seq, segment.payload, segment.fin)
            self._deliver()
            if self.state is not State.OVER:
                self._send_ack()
        self._check_done()

    def _take_ack(self, segment):
        ack = unwrap(self.out.acked, segment.ack)
        self._take_window(segment, ack)
        if self.out.take_ack(ack):
            self._advance(ack)
        elif self._is_duplicate(segment, ack):
            self.duplicate_acks += 1
            if self.duplicate_acks == DUPLICATE_ACKS:
                self._resend()
        self._send_more()

    def _advance(self, ack):
        self.duplicate_acks = 0
        self.timeout_s = FIRST_TIMEOUT_S
        self._set_timer()
        if self.state in (State.OPENING, State.ACCEPTING):
            self.state = State.OPEN
            self.owner.stream_opened()
        if self.recover is not None:
            if ack < self.recover:
                self._transmit_first()
            else:
                self.recover = None
        if not self.out.buffer:
            self.owner.stream_drained()

    def _is_duplicate(self, segment, ack):
        waiting = self.out.acked < self.out.next
        return waiting and ack == self.out.acked and not segment.length

    def _take_window(self, segment, ack):
        """Take the other end's window, unless a newer segment has told it."""
        seen = (unwrap(self.into.next, segment.seq), ack)
        if ack >= self.out.acked and seen >= self.window_seen:
            self.out.window = segment.window
            self.window_seen = seen

    def _deliver(self):
        if self.paused:
            return
        if self.into.held:
            data = bytes(self.into.held)
            self.into.held.clear()
            self.owner.stream_received(data)
        if self.into.finished and not self.told_finished:
            self.told_finished = True
            self.owner.stream_finished()
        self._check_done()

    def _check_done(self):
        if self.state is not State.OPEN:
            return
        if self.told_finished and self.out.finish_acked:
            self.state = State.TIME_WAIT
            self._cancel_timer()
            self.timer = self.clock.callLater(TIME_WAIT_S, self._end)

    # What goes out.

    def _send_more(self):
        if self.state is not State.OPEN:
            return
        while self.out.next < self.out.end and self._room() > 0:
            self._send_next()
        self._set_timer(restart=False)

    def _room(self):
        window = min(self.out.window, WINDOW_BYTES)
        return self.out.acked + window - self.out.next

    def _send_next(self):
        limit = max(1, min(SEGMENT_BYTES, self._room()))
        self._transmit(self.out.next, limit)
        self._set_timer(restart=False)

    def _resend(self):
        """Send the first piece again, and the next ones as answers come."""
        self.recover = self.out.next
        self._transmit_first()

    def _transmit_first(self):
        self._transmit(
            self.out.acked, min(SEGMENT_BYTES, self.out.next - self.out.acked)
        )

    def _transmit(self, seq, limit=0, rst=False):
        """Send the piece from ``seq`` on, or a reset at ``seq``."""
        syn, payload, fin = (False, b"", False)
        if not rst:
            syn, payload, fin = self.out.piece(seq, limit)
        segment = Segment(
            self.local,
            self.remote,
            seq & SEQUENCE_MASK,
            None if self.into is None else self.into.next & SEQUENCE_MASK,
            payload,
            WINDOW_BYTES if self.into is None else self.into.window,
            syn=syn,
            fin=fin,
            rst=rst,
        )
        self.out.next = max(self.out.next, seq + segment.length)
        self.send(segment)

    def _send_ack(self):
        segment = Segment(
            self.local,
            self.remote,
            self.out.next & SEQUENCE_MASK,
            self.into.next & SEQUENCE_MASK,
            window=self.into.window,
        )
        self.send(segment)

    # The retransmission timer, which also probes a window that is shut.

    def _set_timer(self, restart=True):
        if self.state in (State.TIME_WAIT, State.OVER):
            return
        is_needed = self.out.acked < self.out.next or self.out.next < self.out.end
        if is_needed and not self.is_waiting:
            self.heard_s = self.clock.seconds()
        self.is_waiting = is_needed
        if self.timer is not None and (restart or not is_needed):
            self._cancel_timer()
        if self.timer is None and is_needed:
            self.timer = self.clock.callLater(self.timeout_s, self._timed_out)

    def _cancel_timer(self):
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def _timed_out(self):
        self.timer = None
        if self.clock.seconds() - self.heard_s > GIVE_UP_S:
            self._transmit(self.out.next, rst=True)
            self._lose("no answer from the other end")
            return
        self.timeout_s = min(2 * self.timeout_s, LONGEST_TIMEOUT_S)
        self.duplicate_acks = 0
        if self.out.acked < self.out.next:
            self._resend()
            self._set_timer()
        else:
            self._send_next()

    def _lose(self, reason):
        if self.state is not State.TIME_WAIT:
            self.owner.stream_lost(reason)
        self._end()

    def _end(self):
        if self.state is not State.OVER:
            self.state = State.OVER
            self._cancel_timer()
            self.on_over(self)
