"""Loopback proxy between one entry and the store that injects faults."""

from twisted.protocols import portforward


class _ToStore(portforward.ProxyClient):
    """The connection to the store."""

    def dataReceived(self, data):  # noqa: N802
        self.peer.factory.forward_reply(self.peer, data)


class _ToStoreFactory(portforward.ProxyClientFactory):
    noisy = False
    protocol = _ToStore


class _ToEntry(portforward.ProxyServer):
    """The connection from the entry."""

    def connectionMade(self):  # noqa: N802
        self.factory.open.add(self)
        # Data is read only once the connection to the store is open.
        self.transport.pauseProducing()
        client = _ToStoreFactory()
        client.setServer(self)
        # The store identifies entries by their addresses.
        self.factory.reactor.connectTCP(
            self.factory.host,
            self.factory.port,
            client,
            bindAddress=(self.factory.entry_host, 0),
        )

    def dataReceived(self, data):  # noqa: N802
        self.factory.forward(self, data)

    def connectionLost(self, reason):  # noqa: N802
        self.factory.open.discard(self)
        self.factory.silenced.discard(self)
        super().connectionLost(reason)


class StoreProxy(portforward.ProxyFactory):
    """Proxies the connections of one entry to the store and applies the faults.

    ``delay_s`` is added in each direction. While ``drop_replies`` is set, the store
    receives requests but its answers are dropped. ``silenced`` connections stay open
    and transfer nothing.
    """

    noisy = False
    protocol = _ToEntry

    def __init__(self, reactor, entry_host: str, store: tuple[str, int]):
        super().__init__(*store)
        self.reactor = reactor
        self.entry_host = entry_host
        self.delay_s = 0.0
        self.drop_replies = False
        self.open: set[_ToEntry] = set()
        self.silenced: set[_ToEntry] = set()

    def silence(self) -> None:
        """Stop transferring data on all open connections, permanently."""
        self.silenced.update(self.open)

    def reset(self) -> None:
        """Reset all open connections."""
        for conn in list(self.open):
            conn.transport.abortConnection()

    def forward(self, conn: _ToEntry, data: bytes) -> None:
        """Forward data from the entry to the store."""
        if conn not in self.silenced:
            self._write(conn.peer, data)

    def forward_reply(self, conn: _ToEntry, data: bytes) -> None:
        """Forward data from the store to the entry."""
        if conn not in self.silenced and not self.drop_replies:
            self._write(conn, data)

    def _write(self, end, data):
        if self.delay_s:
            self.reactor.callLater(self.delay_s, end.transport.write, data)
        else:
            end.transport.write(data)
