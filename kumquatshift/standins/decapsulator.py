"""A decapsulating UDP port, as Linux `fou` gives one to a target.

Each caller's flow gets a local UDP socket of its own, so that the server
behind sees one remote address for each flow. What the server answers goes back
as an IPv4 packet from the service's address.
"""

from collections import Counter, deque
from dataclasses import dataclass

from twisted.internet.protocol import DatagramProtocol
from twisted.internet.task import LoopingCall

from .packets import Datagram, Endpoint

IDLE_LIMIT_S = 120.0
SWEEP_PERIOD_S = 10.0
PACKETS_KEPT = 20_000
DATAGRAM_BYTES = 65536


@dataclass(frozen=True, slots=True)
class Flow:
    """A caller and the service address that it talks to."""

    caller: Endpoint
    service: Endpoint


@dataclass(frozen=True, slots=True)
class Arrival:
    """When a packet came in, from which host, and of which caller."""

    time_s: float
    source: str
    caller: str


class FlowSocket(DatagramProtocol):
    """The local UDP socket of one flow, connected to the server."""

    def __init__(self, server: Endpoint, on_answer):
        self.server = server
        self.on_answer = on_answer

    def startProtocol(self):  # noqa: N802
        """Talk to the server only."""
        self.transport.connect(self.server.host, self.server.port)

    def datagramReceived(self, data, address):  # noqa: N802
        """Hand an answer on."""
        self.on_answer(data)


class Decapsulator(DatagramProtocol):
    """Takes packets out of datagrams, and carries them to the server and back."""

    def __init__(self, server: Endpoint, fabric: Endpoint, reactor):
        self.server = server
        self.fabric = fabric
        self.reactor = reactor
        self.flows = {}
        self.last_used_s = {}
        self.arrivals = deque(maxlen=PACKETS_KEPT)
        self.counters = Counter()
        self.sweeper = LoopingCall(self.sweep)
        self.sweeper.clock = reactor

    def startProtocol(self):  # noqa: N802
        """Begin to close idle sockets."""
        self.sweeper.start(SWEEP_PERIOD_S, now=False)

    def stopProtocol(self):  # noqa: N802
        """Close all sockets."""
        self.sweeper.stop()
        for flow in list(self.flows):
            self._close(flow)

    def datagramReceived(self, data, address):  # noqa: N802
        """Take one encapsulated packet."""
        self.counters["received"] += 1
        datagram = Datagram.unpack(data)
        if datagram is None:
            self.counters["malformed"] += 1
            self.arrivals.append(Arrival(self.reactor.seconds(), address[0], ""))
            return
        arrival = Arrival(self.reactor.seconds(), address[0], str(datagram.src))
        self.arrivals.append(arrival)
        flow = Flow(datagram.src, datagram.dst)
        self._socket_of(flow).transport.write(datagram.payload)

    def _socket_of(self, flow):
        self.last_used_s[flow] = self.reactor.seconds()
        if flow not in self.flows:
            self.counters["flows-opened"] += 1
            self.flows[flow] = self._open(flow)
        return self.flows[flow]

    def _open(self, flow):
        def answer(data):
            self._answer(flow, data)

        sock = FlowSocket(self.server, answer)
        self.reactor.listenUDP(0, sock, self.server.host, DATAGRAM_BYTES)
        return sock

    def _answer(self, flow, data):
        self.last_used_s[flow] = self.reactor.seconds()
        self.counters["answered"] += 1
        packet = Datagram(flow.service, flow.caller, data).pack()
        self.transport.write(packet, (self.fabric.host, self.fabric.port))

    def sweep(self):
        """Close the sockets of flows that have been idle for too long."""
        oldest_s = self.reactor.seconds() - IDLE_LIMIT_S
        idle = [flow for flow, used_s in self.last_used_s.items() if used_s < oldest_s]
        for flow in idle:
            self._close(flow)
            self.counters["flows-closed"] += 1

    def _close(self, flow):
        del self.last_used_s[flow]
        transport = self.flows.pop(flow).transport
        if transport is not None:
            transport.stopListening()
