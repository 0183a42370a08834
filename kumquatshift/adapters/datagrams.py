"""The UDP ports of an entry: packets from the fabric, messages from peers."""

from collections.abc import Callable, Collection
from typing import Protocol

from twisted.internet.protocol import DatagramProtocol

from ..engine.actions import DropReason
from ..engine.messages import Message
from .envelope import MalformedEnvelopeError, decode


class DatagramSealer(Protocol):
    """Seals datagrams with a keyed digest; see `kumquatshift.keys.Sealer`."""

    def seal(self, data: bytes) -> bytes:
        """Return the data with its digest."""
        ...

    def open(self, data: bytes) -> bytes | None:
        """Return the data without its digest, or None if not authentic."""
        ...


class PacketPort(DatagramProtocol):
    """Receives encapsulated packets, from the fabric's addresses only.

    ``deliver`` gets the IP packet of the caller or the target; ``on_drop`` gets
    the reason why a datagram was dropped, and its source address.
    """

    def __init__(
        self,
        sources: Collection[str],
        deliver: Callable[[bytes], None],
        on_drop: Callable[[DropReason, str], None],
    ):
        self._allowed_sources = frozenset(sources)
        self._deliver = deliver
        self._on_drop = on_drop

    def datagramReceived(self, datagram, addr):  # noqa: N802
        """Deliver one packet, or drop it if its source is not allowed."""
        if addr[0] not in self._allowed_sources:
            self._on_drop(DropReason.STRANGER, addr[0])
            return
        self._deliver(datagram)


class PeerPort(DatagramProtocol):
    """Sends and receives sealed messages between entries."""

    def __init__(
        self,
        sealer: DatagramSealer,
        deliver: Callable[[str, Message], None],
        on_drop: Callable[[DropReason, str], None],
    ):
        self._sealer = sealer
        self._deliver = deliver
        self._on_drop = on_drop

    def send(self, encoded: bytes, host: str, port: int) -> int:
        """Send an encoded message; return the size of the datagram in bytes."""
        sealed = self._sealer.seal(encoded)
        self.transport.write(sealed, (host, port))
        return len(sealed)

    def datagramReceived(self, datagram, addr):  # noqa: N802
        """Deliver one message, or drop it if it is not authentic or malformed."""
        opened = self._sealer.open(datagram)
        if opened is None:
            self._on_drop(DropReason.NOT_AUTHENTIC, addr[0])
            return
        try:
            sender, message = decode(opened)
        except MalformedEnvelopeError:
            self._on_drop(DropReason.MALFORMED, addr[0])
            return
        self._deliver(sender, message)
