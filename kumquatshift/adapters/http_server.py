"""A small HTTP/1.1 server for status and other pages of an entry."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import NamedTuple

from httptools.parser.parser import HttpRequestParser

from .epoll import Descriptor

RECEIVE_BYTES = 4096
BACKLOG = 64

# Far more than the few probers and other entries that call an entry.
MAX_CONNECTIONS = 100

# A prober calls twice a second; a connection that is idle for this long has been
# abandoned by the client. Under many connections, that of the client that has been
# silent for longest is closed earlier: it may have died, and a new one has not.
IDLE_TIMEOUT_S = 30.0

# Too Many Requests (RFC 6585): the client may soon repeat the request.
BUSY_STATUS = 429

REASON_PHRASES = {
    200: "OK",
    404: "Not Found",
    BUSY_STATUS: "Too Many Requests",
    503: "Service Unavailable",
}


class PageResponse(NamedTuple):
    """The response of one page."""

    status: int
    body: bytes = b""


Pages = dict[bytes, Callable[[bytes], PageResponse]]


class PageServer(Descriptor):
    """Serves ``pages``, a function for each path, at one address."""

    def __init__(self, reactor, address: tuple[str, int], pages: Pages):
        self._reactor = reactor
        self._pages = pages
        # The connections, that of the latest request last.
        self._connections: dict[_Connection, None] = {}
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(address)
        self._sock.listen(BACKLOG)
        reactor.addReader(self)

    def fileno(self) -> int:
        """Return the descriptor of the listening socket."""
        return self._sock.fileno()

    def doRead(self) -> None:  # noqa: N802
        """Accept a connection."""
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return  # The client closed the connection before it was accepted.
        if len(self._connections) >= MAX_CONNECTIONS:
            next(iter(self._connections)).close()
        sock.setblocking(False)
        self._connections[_Connection(self._reactor, sock, self)] = None

    def answer(self, path: bytes) -> PageResponse:
        """Return the response of the page at ``path``; the page gets the query."""
        path, _, query = path.partition(b"?")
        page = self._pages.get(path)
        return page(query) if page is not None else PageResponse(404)

    def remove_connection(self, conn: _Connection) -> None:
        """Remove a connection that was closed."""
        self._connections.pop(conn, None)

    def note_request(self, conn: _Connection) -> None:
        """Record that a connection is in use."""
        if conn in self._connections:
            self._connections[conn] = self._connections.pop(conn)


class _Connection(Descriptor):
    """One connection of a client."""

    def __init__(self, reactor, sock: socket.socket, server: PageServer):
        self._reactor = reactor
        self._sock = sock
        self._server = server
        self._parser = HttpRequestParser(self)
        self._path = b""
        self._send_buffer = b""
        self._idle_timer = reactor.callLater(IDLE_TIMEOUT_S, self.close)
        reactor.addReader(self)

    def fileno(self) -> int:
        return self._sock.fileno()

    def doRead(self) -> None:  # noqa: N802
        try:
            data = self._sock.recv(RECEIVE_BYTES)
            if not data:
                self.close()
                return
            self._parser.feed_data(data)
        except BlockingIOError:
            return
        except Exception:  # A broken connection or invalid HTTP: close it.
            self.close()

    def doWrite(self) -> None:  # noqa: N802
        try:
            sent = self._sock.send(self._send_buffer)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        self._send_buffer = self._send_buffer[sent:]
        if not self._send_buffer:
            self._reactor.removeWriter(self)

    def on_url(self, url: bytes) -> None:
        self._path = url

    def on_message_complete(self) -> None:
        self._server.note_request(self)
        answer = self._server.answer(self._path)
        text = REASON_PHRASES.get(answer.status, "Unknown")
        head = f"HTTP/1.1 {answer.status} {text}\r\n"
        head += f"Content-Length: {len(answer.body)}\r\n\r\n"
        self._send_buffer += head.encode() + answer.body
        self._idle_timer.cancel()
        self._idle_timer = self._reactor.callLater(IDLE_TIMEOUT_S, self.close)
        self._reactor.addWriter(self)

    def close(self) -> None:
        if self._idle_timer.active():
            self._idle_timer.cancel()
        if self._sock.fileno() < 0:
            return
        self._reactor.removeReader(self)
        self._reactor.removeWriter(self)
        self._sock.close()
        self._server.remove_connection(self)
