"""The entry's two UDP ports: packets of the fabric, and messages of peers."""

from collections.abc import Callable, Collection
from typing import Protocol

from twisted.internet.protocol import DatagramProtocol

from ..engine.actions import DropReason
from ..engine.messages import Message
from .envelope import MalformedEnvelopeError, decode


class Sealing(Protocol):
    """Seals datagrams with a keyed digest; `kumquatshift.keys.Sealer` fits."""

    def seal(self, data: bytes) -> bytes:
        """Return the data with its digest."""
        ...

    def open(self, data: bytes) -> bytes | None:
        """Return the data without its digest, or None if not authentic."""
        ...


class PacketPort(DatagramProtocol):
    """Takes encapsulated packets, from the fabric's addresses only.

    ``take`` gets the caller's or the target's IP packet; ``refuse`` is told why
    a datagram was dropped.
    """

    def __init__(
        self,
        sources: Collection[str],
        take: Callable[[bytes], None],
        refuse: Callable[[DropReason, str], None],
    ):
        self._sources = frozenset(sources)
        self._take = take
        self._refuse = refuse

    def datagramReceived(self, datagram, addr):  # noqa: N802
        """Take one packet, or drop that of a stranger."""
        if addr[0] not in self._sources:
            self._refuse(DropReason.STRANGER, addr[0])
            return
        self._take(datagram)


class PeerPort(DatagramProtocol):
    """Takes and sends sealed messages between entries."""

    def __init__(
        self,
        sealer: Sealing,
        take: Callable[[str, Message], None],
        refuse: Callable[[DropReason, str], None],
    ):
        self._sealer = sealer
        self._take = take
        self._refuse = refuse

    def send(self, encoded: bytes, host: str, port: int) -> int:
        """Send an encoded message; return the size of the datagram in bytes."""
        sealed = self._sealer.seal(encoded)
        self.transport.write(sealed, (host, port))
        return len(sealed)

    def datagramReceived(self, datagram, addr):  # noqa: N802
        """Take one message if it is authentic and can be read."""
        opened = self._sealer.open(datagram)
        if opened is None:
            self._refuse(DropReason.NOT_AUTHENTIC, addr[0])
            return
        try:
            sender, message = decode(opened)
        except MalformedEnvelopeError:
            self._refuse(DropReason.MALFORMED, addr[0])
            return
        self._take(sender, message)
