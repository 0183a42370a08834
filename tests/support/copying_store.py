"""A store on loopback that can send any answer a second time.

Reads and answers happen step by step, on the test's clock: `exchange` lets the reader
make its next call and answers it.
"""

import json
import select
import socket
from urllib.parse import parse_qs, urlsplit

from twisted.internet.task import Clock

from kumquatshift.standins.metadata_store import MetadataStore

SOCKET_TIMEOUT_S = 5.0
STEP_S = 0.05
MAX_STEPS = 100


class SteppedReactor(Clock):
    """A clock that also polls sockets when it is told to."""

    def __init__(self):
        super().__init__()
        self._readers = set()
        self._writers = set()

    def addReader(self, each):  # noqa: N802
        self._readers.add(each)

    def removeReader(self, each):  # noqa: N802
        self._readers.discard(each)

    def addWriter(self, each):  # noqa: N802
        self._writers.add(each)

    def removeWriter(self, each):  # noqa: N802
        self._writers.discard(each)

    def poll(self, timeout_s=0.0):
        """Let each socket that is ready be read and written once."""
        ready = select.select(list(self._readers), list(self._writers), [], timeout_s)
        for each in ready[1]:
            each.doWrite()
        for each in ready[0]:
            if each in self._readers:
                each.doRead()


class CopyingStore:
    """Answers calls from a `MetadataStore`, over one connection at a time."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.store = MetadataStore()
        self.connections = 0
        self.answers = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(SOCKET_TIMEOUT_S)
        self.address = self._listener.getsockname()
        self._conn = None
        self._silent = []

    def close(self):
        self._listener.close()
        for conn in (self._conn, *self._silent):
            if conn is not None:
                conn.close()

    def silence(self):
        """Let the open connection fall silent for good; another can be opened."""
        self._silent.append(self._conn)
        self._conn = None

    def await_call(self):
        """Advance time until the reader makes a call, and return its path."""
        data = b""
        for _ in range(MAX_STEPS):
            self.reactor.advance(STEP_S)
            self.reactor.poll()
            self._accept()
            data += self._receive()
            if data.endswith(b"\r\n\r\n"):
                return data.split()[1].decode()
        raise AssertionError(f"no call within {MAX_STEPS * STEP_S} s")

    def answer(self, path, copy=b""):
        """Answer a call, with ``copy`` right behind the answer."""
        url = urlsplit(path)
        query = parse_qs(url.query)
        kind = url.path.rpartition("/")[2]
        if "watch" in query:
            events = self.store.since(kind, int(query["watch"][0]))
            value = {"events": events, "currentRev": self.store.revision}
        else:
            value = self.store.page(kind, query.get("after", [""])[0])
        body = json.dumps(value).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        self.answers.append(head.encode() + body)
        self.send(self.answers[-1] + copy)

    def exchange(self):
        """Answer the reader's next call."""
        self.answer(self.await_call())

    def send(self, data):
        """Send bytes, and let the reader receive them."""
        self._conn.sendall(data)
        for _ in range(3):
            self.reactor.poll(0.05)

    def _accept(self):
        if select.select([self._listener], [], [], 0)[0]:
            if self._conn is not None:
                self._conn.close()
            self._conn, _ = self._listener.accept()
            self.connections += 1

    def _receive(self):
        if self._conn is None or not select.select([self._conn], [], [], 0.002)[0]:
            return b""
        return self._conn.recv(65_536)
