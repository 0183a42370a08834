"""An HTTP/1.1 client that makes one call at a time on a keep-alive connection.

Every call ends with a response or with the reason why there is none. A
connection on which a response timed out is not used again, nor one on which the
server sent more than the response, nor one that has been idle: it may have died
without notice, and only a new one shows at once whether the path works. A response
that has begun in time may continue while bytes keep arriving, up to a limit.
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

# Several times the size of a list page with the largest objects of the store.
MAX_BODY_BYTES = 16 * 1024 * 1024

# A response that pauses for longer has stalled: the second retransmission of a
# TCP sender comes 0.6 s after the first packet.
STALL_TIMEOUT_S = 0.8

# A connection that carried nothing for this long is closed. Calls in a series, such
# as watches that are renewed, follow each other within less.
IDLE_TIMEOUT_S = 1.0

# The largest response, 1 MB, over the slowest link, 5 Mbit/s, while two others
# share the link.
MAX_RESPONSE_S = 5.0


class Response(NamedTuple):
    """A complete response; the names of its headers are in lower case."""

    status: int
    body: bytes
    headers: dict[bytes, bytes]


class CallFailure(NamedTuple):
    """Why there is no response; the server may have executed the call anyway."""

    failure: str
    detail: str


class HttpConnection(Descriptor):
    """Makes calls to one server, given as ``(host, port)``."""

    def __init__(self, reactor, address: tuple[str, int]):
        self._reactor = reactor
        self.address = address
        self._sock: socket.socket | None = None
        self._fd = -1
        self._parser = None
        self._send_buffer = b""
        self._body = bytearray()
        self._headers: dict[bytes, bytes] = {}
        self._response: Response | None = None
        self._may_reuse = False
        self._on_done: Callable[[Response | CallFailure], None] | None = None
        self._timeout = None
        self._last_received_at: float | None = None
        self._deadline = 0.0
        # When the connection last carried data; None before that.
        self._proven_at: float | None = None
        self._called_at = 0.0
        self._idle_timer = None

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        on_done: Callable[[Response | CallFailure], None],
    ) -> None:
        """Make a call; ``on_done`` gets a `Response` or a `CallFailure`."""
        self._cancel_idle_timer()
        self._on_done = on_done
        self._timeout = self._reactor.callLater(timeout_s, self._time_out)
        self._last_received_at = None
        self._called_at = self._reactor.seconds()
        self._deadline = self._called_at + timeout_s + MAX_RESPONSE_S
        host, port = self.address
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
        if body:
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(body)}\r\n"
        self._send_buffer = head.encode() + b"\r\n" + body
        self._parser = HttpResponseParser(self)
        self._body.clear()
        self._headers = {}
        self._response = None
        if self._sock is None:
            error = self._connect()
            if error:
                self._fail(Failure.BROKEN, error)
                return
        self._reactor.addWriter(self)

    def close(self) -> None:
        """Close the connection; ``on_done`` of a pending call is not called.

        The next call opens another connection.
        """
        self._on_done = None
        self._finish()
        self._disconnect()

    # The reactor's interface

    def fileno(self) -> int:
        """Return the descriptor of the connection."""
        return self._fd

    def doWrite(self) -> None:  # noqa: N802
        """Send the rest of the request."""
        try:
            sent = self._sock.send(self._send_buffer)
        except BlockingIOError:
            return
        except OSError as exc:
            self._fail(Failure.BROKEN, _error_name(exc))
            return
        self._send_buffer = self._send_buffer[sent:]
        if not self._send_buffer:
            self._reactor.removeWriter(self)

    def doRead(self) -> None:  # noqa: N802
        """Receive a part of the response."""
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            self._fail(Failure.BROKEN, _error_name(exc))
            return
        if not data:
            self._fail(Failure.BROKEN, "connection closed by the server")
            return
        if self._on_done is None:
            self._disconnect()  # Data without a pending call.
            return
        self._last_received_at = self._proven_at = self._reactor.seconds()
        try:
            self._parser.feed_data(data)
        except Exception as exc:  # The parser's errors have no common base class.
            self._fail(Failure.UNREADABLE, str(exc))
            return
        if self._response is not None:
            self._complete(self._response)

    # The parser's interface

    def on_message_begin(self) -> None:
        """Note that a message begins: the response, or one that nobody asked for."""
        if self._response is not None:
            self._may_reuse = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Receive one header."""
        self._headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """Receive a part of the body."""
        if self._response is not None:
            return
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            raise ValueError(f"response body exceeds {MAX_BODY_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Keep the response until all received bytes are parsed."""
        if self._response is not None:
            return
        self._may_reuse = self._parser.should_keep_alive()
        self._response = Response(
            self._parser.get_status_code(), bytes(self._body), dict(self._headers)
        )

    def _complete(self, response: Response) -> None:
        """Pass the response to ``on_done``."""
        on_done = self._on_done
        self._finish()
        if self._may_reuse:
            self._idle_timer = self._reactor.callLater(IDLE_TIMEOUT_S, self._disconnect)
        else:
            self._disconnect()
        if on_done is not None:
            on_done(response)

    def _connect(self) -> str:
        """Begin to connect; return the name of an error, or an empty text."""
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
        if self._last_received_at is not None:
            due = min(self._last_received_at + STALL_TIMEOUT_S, self._deadline)
            if due > now:
                self._timeout = self._reactor.callLater(due - now, self._time_out)
                return
        self._fail(Failure.TIMEOUT, self._describe_timeout())

    def _describe_timeout(self) -> str:
        """Return a text that tells a dead connection from a server without answers."""
        if self._proven_at is None:
            return "no response in time on a new connection"
        idle_s = self._called_at - self._proven_at
        return f"no response in time on a connection idle for {idle_s:.1f} s before"

    def _fail(self, failure: str, detail: str) -> None:
        on_done = self._on_done
        self._finish()
        self._disconnect()
        if on_done is not None:
            on_done(CallFailure(failure, detail))

    def _finish(self) -> None:
        self._on_done = None
        if self._timeout is not None and self._timeout.active():
            self._timeout.cancel()
        self._timeout = None

    def _cancel_idle_timer(self) -> None:
        if self._idle_timer is not None and self._idle_timer.active():
            self._idle_timer.cancel()
        self._idle_timer = None

    def _disconnect(self) -> None:
        self._cancel_idle_timer()
        if self._sock is None:
            return
        self._reactor.removeReader(self)
        self._reactor.removeWriter(self)
        self._sock.close()
        self._sock = None
        self._fd = -1
        self._proven_at = None


def _error_name(exc: OSError) -> str:
    return errno.errorcode.get(exc.errno, str(exc))
