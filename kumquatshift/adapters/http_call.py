"""HTTP/1.1 calls, one at a time on one connection that is kept open.

Every call ends: with an answer, or with the reason why there is none. A
connection on which an answer did not come in time is not used again; an answer
that has begun in time may go on for as long as bytes come.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import NamedTuple

from httptools.parser.parser import HttpResponseParser

from ..direct.calls import Failure
from .epoll import Descriptor

RECEIVE_BYTES = 65_536

# A list of the largest objects that the store keeps, several pages over.
MAX_BODY_BYTES = 16 * 1024 * 1024

# An answer that has begun and brings nothing for this long has gone silent: a
# sender's second retransmission comes 0.6 s after the first packet.
STALL_S = 0.8

# The largest answer over the slowest link, 1 MB at 5 Mbit/s, with two others
# beside it.
LONGEST_ANSWER_S = 5.0


class Response(NamedTuple):
    """A whole answer."""

    status: int
    body: bytes


class CallFailure(NamedTuple):
    """Why there is no answer; the call may have been carried out all the same."""

    failure: str
    detail: str


class HttpCaller(Descriptor):
    """Makes calls to one server, given as ``(host, port)``."""

    def __init__(self, reactor, address: tuple[str, int]):
        self._reactor = reactor
        self.address = address
        self._sock: socket.socket | None = None
        self._fd = -1
        self._parser = None
        self._outgoing = b""
        self._body = bytearray()
        self._on_done: Callable[[Response | CallFailure], None] | None = None
        self._timeout = None
        self._heard_at: float | None = None
        self._latest_end = 0.0

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        on_done: Callable[[Response | CallFailure], None],
    ) -> None:
        """Make a call; ``on_done`` gets a `Response` or a `CallFailure`."""
        self._on_done = on_done
        self._timeout = self._reactor.callLater(timeout_s, self._time_out)
        self._heard_at = None
        self._latest_end = self._reactor.seconds() + timeout_s + LONGEST_ANSWER_S
        host, port = self.address
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
        if body:
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(body)}\r\n"
        self._outgoing = head.encode() + b"\r\n" + body
        self._parser = HttpResponseParser(self)
        self._body.clear()
        if self._sock is None:
            error = self._connect()
            if error:
                self._fail(Failure.BROKEN, error)
                return
        self._reactor.addWriter(self)

    def close(self) -> None:
        """Close the connection; a call that is under way is not told of."""
        self._on_done = None
        self._finish()
        self._drop()

    # The reactor's interface

    def fileno(self) -> int:
        """Return the descriptor of the connection."""
        return self._fd

    def doWrite(self) -> None:  # noqa: N802
        """Send what is left of the request."""
        try:
            sent = self._sock.send(self._outgoing)
        except BlockingIOError:
            return
        except OSError as exc:
            self._fail(Failure.BROKEN, _name(exc))
            return
        self._outgoing = self._outgoing[sent:]
        if not self._outgoing:
            self._reactor.removeWriter(self)

    def doRead(self) -> None:  # noqa: N802
        """Take in a part of the answer."""
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            self._fail(Failure.BROKEN, _name(exc))
            return
        if not data:
            self._fail(Failure.BROKEN, "closed by the server")
            return
        if self._on_done is None:
            self._drop()  # Bytes that nobody asked for.
            return
        self._heard_at = self._reactor.seconds()
        try:
            self._parser.feed_data(data)
        except Exception as exc:  # The parser's errors have no base of their own.
            self._fail(Failure.UNREADABLE, str(exc))

    # The parser's interface

    def on_body(self, data: bytes) -> None:
        """Take in a part of the body."""
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            raise ValueError("the answer is too long")

    def on_message_complete(self) -> None:
        """Hand the answer over."""
        response = Response(self._parser.get_status_code(), bytes(self._body))
        keeps = self._parser.should_keep_alive()
        on_done = self._on_done
        self._finish()
        if not keeps:
            self._drop()
        if on_done is not None:
            on_done(response)

    def _connect(self) -> str:
        """Begin to connect; return what went wrong, or nothing."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error = sock.connect_ex(self.address)
        if error not in (0, errno.EINPROGRESS):
            sock.close()
            return errno.errorcode.get(error, str(error))
        self._sock = sock
        self._fd = sock.fileno()
        self._reactor.addReader(self)
        return ""

    def _time_out(self) -> None:
        now = self._reactor.seconds()
        if self._heard_at is not None:
            due = min(self._heard_at + STALL_S, self._latest_end)
            if due > now:
                self._timeout = self._reactor.callLater(due - now, self._time_out)
                return
        self._fail(Failure.TIMEOUT, "no answer in time")

    def _fail(self, failure: str, detail: str) -> None:
        on_done = self._on_done
        self._finish()
        self._drop()
        if on_done is not None:
            on_done(CallFailure(failure, detail))

    def _finish(self) -> None:
        self._on_done = None
        if self._timeout is not None and self._timeout.active():
            self._timeout.cancel()
        self._timeout = None

    def _drop(self) -> None:
        if self._sock is None:
            return
        self._reactor.removeReader(self)
        self._reactor.removeWriter(self)
        self._sock.close()
        self._sock = None
        self._fd = -1


def _name(exc: OSError) -> str:
    return errno.errorcode.get(exc.errno, str(exc))
