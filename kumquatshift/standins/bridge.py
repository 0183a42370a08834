"""Joins TCP connections made of segments to real ones."""

from collections import Counter
from collections.abc import Callable

from twisted.internet.interfaces import IHalfCloseableProtocol, IPushProducer
from twisted.internet.protocol import Protocol
from zope.interface import implementer

from .packets import SEQUENCE_MASK, Segment
from .segments import State, Stream, StreamOwner

UNSENT_LIMIT_BYTES = 128 * 1024


class StreamTable:
    """The connections of one host, by their two ends.

    ``send`` takes each segment that goes out. ``accept`` returns the owner of
    a connection that another host opens; without it none can be opened.
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
        """Hand a segment to its stream; reset a connection that is unknown."""
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
        stream = Stream(local, remote, self.clock, self.send, owner, self._forget)
        self.streams[local, remote] = stream
        self.counters["streams-opened"] += 1
        return stream

    def _forget(self, stream):
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
    """A real connection and the stream that it is joined to.

    Each side is held back while the other one has much to send still, and the
    end of either direction is passed on by itself.
    """

    def __init__(self):
        self.stream = None
        self.is_read_over = False
        self.is_write_over = False
        self.is_lost = False

    def attach(self, stream):
        """Join to ``stream``, which waits until the real connection stands."""
        self.stream = stream
        if not self.connected:
            stream.pause()

    def fail(self):
        """Give the stream up, as there is no real connection."""
        self.stream.abort()

    # From the real connection.

    def connectionMade(self):  # noqa: N802
        """Let bytes flow."""
        if self.is_lost:
            self.transport.abortConnection()
            return
        self.transport.registerProducer(self, True)
        if self.stream is not None:
            self.stream.resume()

    def dataReceived(self, data):  # noqa: N802
        """Send bytes over the stream."""
        self.stream.write(data)
        if self.stream.unsent > UNSENT_LIMIT_BYTES:
            self.transport.pauseProducing()

    def readConnectionLost(self):  # noqa: N802
        """Close our half of the stream."""
        self.is_read_over = True
        self.stream.close()
        self._close_if_over()

    def writeConnectionLost(self):  # noqa: N802
        """Do nothing: it was the stream that ended this half."""

    def connectionLost(self, reason):  # noqa: N802
        """Reset the stream, unless both halves had ended."""
        if not (self.is_read_over and self.is_write_over) and not self.is_lost:
            self.stream.abort()

    def pauseProducing(self):  # noqa: N802
        """Hold the stream back."""
        self.stream.pause()

    def resumeProducing(self):  # noqa: N802
        """Let the stream go on."""
        self.stream.resume()

    def stopProducing(self):  # noqa: N802
        """Do nothing: `connectionLost` follows."""

    # From the stream.

    def stream_opened(self):
        """Do nothing: bytes flow as soon as there are any."""

    def stream_received(self, data):
        """Write bytes to the real connection."""
        self.transport.write(data)

    def stream_finished(self):
        """Close our half of the real connection."""
        self.is_write_over = True
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self._close_if_over()

    def stream_drained(self):
        """Let the real connection go on."""
        if self.connected and not self.is_read_over:
            self.transport.resumeProducing()

    def stream_lost(self, reason):
        """Cut the real connection."""
        self.is_lost = True
        if self.connected:
            self.transport.abortConnection()

    def _close_if_over(self):
        if self.is_read_over and self.is_write_over:
            self.transport.loseConnection()
