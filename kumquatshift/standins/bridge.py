"""Bridges simulated TCP connections (segments) to real TCP connections."""

from collections import Counter
from collections.abc import Callable

from twisted.internet.interfaces import IHalfCloseableProtocol, IPushProducer
from twisted.internet.protocol import Protocol
from zope.interface import implementer

from .packets import SEQUENCE_MASK, Segment
from .segments import State, Stream, StreamOwner

UNSENT_LIMIT_BYTES = 128 * 1024


class StreamTable:
    """The simulated connections of one host, by local and remote endpoint.

    ``send`` is called with each outgoing segment. ``accept`` returns the owner of
    a connection that another host opens; without it, such connections are reset.
    """

    def __init__(
        self,
        clock,
        send: Callable[[Segment], None],
        accept: Callable[[], StreamOwner] | None = None,
    ):
        self.clock = clock
        self.send = send
        self.accept = accept
        self.streams = {}
        self.counters = Counter()

    def connect(self, local, remote, owner):
        """Open a connection and return its stream."""
        if (local, remote) in self.streams:
            self.streams[local, remote].abort()
        stream = self._add(local, remote, owner)
        stream.open()
        return stream

    def receive(self, segment):
        """Pass a segment to its stream, or reset the connection if there is none."""
        self.counters["segments-received"] += 1
        stream = self.streams.get((segment.dst, segment.src))
        is_opening = segment.syn and segment.ack is None
        if is_opening and stream is not None and stream.state is State.TIME_WAIT:
            stream.abort()
            stream = None
        if stream is None and is_opening and self.accept is not None:
            owner = self.accept()
            stream = self._add(segment.dst, segment.src, owner)
            owner.attach(stream)
        if stream is None:
            self._reset(segment)
        else:
            stream.receive(segment)

    def abort_all(self):
        """Reset every connection."""
        for stream in list(self.streams.values()):
            stream.abort()

    def _add(self, local, remote, owner):
        stream = Stream(local, remote, self.clock, self.send, owner, self._remove)
        self.streams[local, remote] = stream
        self.counters["streams-opened"] += 1
        return stream

    def _remove(self, stream):
        self.streams.pop((stream.local, stream.remote), None)

    def _reset(self, segment):
        self.counters["segments-of-no-stream"] += 1
        if segment.rst:
            return
        if segment.ack is None:
            ack = (segment.seq + segment.length) & SEQUENCE_MASK
            reset = Segment(segment.dst, segment.src, 0, ack, rst=True)
        else:
            reset = Segment(segment.dst, segment.src, segment.ack, rst=True)
        self.send(reset)


@implementer(IHalfCloseableProtocol, IPushProducer)
class Bridge(Protocol):
    """A real connection and the simulated stream that it is bridged to.

    Applies backpressure: each side is paused while the other one has much unsent
    data. Each direction is closed independently of the other (half-close).
    """

    def __init__(self):
        self.stream = None
        self.is_read_closed = False
        self.is_write_closed = False
        self.is_stream_lost = False

    def attach(self, stream):
        """Attach ``stream``, paused until the real connection is established."""
        self.stream = stream
        if not self.connected:
            stream.pause()

    def fail(self):
        """Abort the stream, as the real connection could not be established."""
        self.stream.abort()

    # Events of the real connection.

    def connectionMade(self):  # noqa: N802
        """Start to transfer data."""
        if self.is_stream_lost:
            self.transport.abortConnection()
            return
        self.transport.registerProducer(self, True)
        if self.stream is not None:
            self.stream.resume()

    def dataReceived(self, data):  # noqa: N802
        """Write received data to the stream."""
        self.stream.write(data)
        if self.stream.unsent > UNSENT_LIMIT_BYTES:
            self.transport.pauseProducing()

    def readConnectionLost(self):  # noqa: N802
        """Close the outgoing half of the stream."""
        self.is_read_closed = True
        self.stream.close()
        self._close_if_finished()

    def writeConnectionLost(self):  # noqa: N802
        """Do nothing: this half was closed by the stream."""

    def connectionLost(self, reason):  # noqa: N802
        """Reset the stream, unless both halves were closed."""
        if (
            not (self.is_read_closed and self.is_write_closed)
            and not self.is_stream_lost
        ):
            self.stream.abort()

    def pauseProducing(self):  # noqa: N802
        """Pause delivery from the stream."""
        self.stream.pause()

    def resumeProducing(self):  # noqa: N802
        """Resume delivery from the stream."""
        self.stream.resume()

    def stopProducing(self):  # noqa: N802
        """Do nothing: `connectionLost` follows."""

    # Events of the stream.

    def stream_opened(self):
        """Do nothing: data is transferred as soon as there is any."""

    def stream_received(self, data):
        """Write received data to the real connection."""
        self.transport.write(data)

    def stream_finished(self):
        """Close the outgoing half of the real connection."""
        self.is_write_closed = True
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self._close_if_finished()

    def stream_drained(self):
        """Resume reading from the real connection."""
        if self.connected and not self.is_read_closed:
            self.transport.resumeProducing()

    def stream_lost(self, reason):
        """Abort the real connection."""
        self.is_stream_lost = True
        if self.connected:
            self.transport.abortConnection()

    def _close_if_finished(self):
        if self.is_read_closed and self.is_write_closed:
            self.transport.loseConnection()
