"""UDP port of a target that decapsulates packets, as Linux `fou` does.

Each packet is taken out of its datagram and passed to the relay of its protocol,
which stands in for the network stack of the target. Answers are sent to the fabric
as IPv4 packets whose source is the service address.
"""

from collections import Counter, deque
from dataclasses import dataclass

from twisted.internet.protocol import DatagramProtocol

from .packets import Endpoint, unpack

MAX_ARRIVALS = 20_000


@dataclass(frozen=True, slots=True)
class Arrival:
    """Arrival time of a packet, the host that sent it, and its caller."""

    time_s: float
    source: str
    caller: str


class Decapsulator(DatagramProtocol):
    """Decapsulates packets, and sends answers to the fabric.

    ``relays`` maps the type of a packet, `Datagram` or `Segment`, to the function
    that handles it. Packets of a protocol without a relay are counted and dropped.
    """

    def __init__(self, fabric: Endpoint, clock):
        self.fabric = fabric
        self.clock = clock
        self.relays = {}
        self.arrivals = deque(maxlen=MAX_ARRIVALS)
        self.counters = Counter()

    def datagramReceived(self, data, address):  # noqa: N802
        """Handle one encapsulated packet."""
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
        """Send a packet for the caller to the fabric, unless the port is closed."""
        if self.transport is None:
            return
        self.counters["answered"] += 1
        self.transport.write(packet.pack(), (self.fabric.host, self.fabric.port))
