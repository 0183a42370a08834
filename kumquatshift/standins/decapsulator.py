"""A decapsulating UDP port, as Linux `fou` gives one to a target.

It takes each packet out of its datagram and hands it to the relay of its
protocol, which plays the target's own stack. Answers go back to the fabric as
IPv4 packets from the service's address.
"""

from collections import Counter, deque
from dataclasses import dataclass

from twisted.internet.protocol import DatagramProtocol

from .packets import Endpoint, unpack

PACKETS_KEPT = 20_000


@dataclass(frozen=True, slots=True)
class Arrival:
    """When a packet came in, from which host, and of which caller."""

    time_s: float
    source: str
    caller: str


class Decapsulator(DatagramProtocol):
    """Takes packets out of datagrams, and sends answers to the fabric.

    ``relays`` maps the type of a packet, `Datagram` or `Segment`, to what is
    called with it. A protocol without a relay is counted and dropped.
    """

    def __init__(self, fabric: Endpoint, clock):
        self.fabric = fabric
        self.clock = clock
        self.relays = {}
        self.arrivals = deque(maxlen=PACKETS_KEPT)
        self.counters = Counter()

    def datagramReceived(self, data, address):  # noqa: N802
        """Take one encapsulated packet."""
        self.counters["received"] += 1
        packet = unpack(data)
        caller = "" if packet is None else str(packet.src)
        self.arrivals.append(Arrival(self.clock.seconds(), address[0], caller))
        if packet is None:
            self.counters["malformed"] += 1
            return
        relay = self.relays.get(type(packet))
        if relay is None:
            self.counters["no-such-protocol"] += 1
            return
        relay(packet)

    def answer(self, packet):
        """Send a packet on its way to the caller, unless the port is closed."""
        if self.transport is None:
            return
        self.counters["answered"] += 1
        self.transport.write(packet.pack(), (self.fabric.host, self.fabric.port))
