"""A proxy on loopback between one entry and the store, and its faults."""

from twisted.protocols import portforward


class _ToStore(portforward.ProxyClient):
    """The connection to the store."""

    def dataReceived(self, data):  # noqa: N802
        self.peer.factory.carry_back(self.peer, data)


class _ToStoreFactory(portforward.ProxyClientFactory):
    noisy = False
    protocol = _ToStore


class _ToEntry(portforward.ProxyServer):
    """The connection from the entry."""

    def connectionMade(self):  # noqa: N802
        self.factory.open.add(self)
        # Nothing is read before the way to the store is there.
        self.transport.pauseProducing()
        client = _ToStoreFactory()
        client.setServer(self)
        # The store tells entries by their addresses.
        self.factory.reactor.connectTCP(
            self.factory.host,
            self.factory.port,
            client,
            bindAddress=(self.factory.entry_host, 0),
        )

    def dataReceived(self, data):  # noqa: N802
        self.factory.carry(self, data)

    def connectionLost(self, reason):  # noqa: N802
        self.factory.open.discard(self)
        self.factory.hushed.discard(self)
        super().connectionLost(reason)


class StoreProxy(portforward.ProxyFactory):
    """Connections of one entry to the store, passed on as the faults allow.

    ``delay_s`` is added each way. While ``cut_back`` is set, the store hears the
    entry and is not heard. ``hushed`` connections stay open and carry nothing.
    """

    noisy = False
    protocol = _ToEntry

    def __init__(self, reactor, entry_host: str, store: tuple[str, int]):
        super().__init__(*store)
        self.reactor = reactor
        self.entry_host = entry_host
        self.delay_s = 0.0
        self.cut_back = False
        self.open: set[_ToEntry] = set()
        self.hushed: set[_ToEntry] = set()

    def hush(self) -> None:
        """Let all open connections go silent for good."""
        self.hushed.update(self.open)

    def reset(self) -> None:
        """Reset all open connections."""
        for conn in list(self.open):
            conn.transport.abortConnection()

    def carry(self, conn: _ToEntry, data: bytes) -> None:
        """Pass on what an entry sends."""
        if conn not in self.hushed:
            self._write(conn.peer, data)

    def carry_back(self, conn: _ToEntry, data: bytes) -> None:
        """Pass on what the store sends."""
        if conn not in self.hushed and not self.cut_back:
            self._write(conn, data)

    def _write(self, end, data):
        if self.delay_s:
            self.reactor.callLater(self.delay_s, end.transport.write, data)
        else:
            end.transport.write(data)
