"""How a target's own stack carries callers' traffic to its server, and back."""

from collections import Counter
from dataclasses import dataclass

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import DatagramProtocol
from twisted.internet.task import LoopingCall

from .bridge import Bridge, StreamTable
from .packets import Datagram, Endpoint

IDLE_LIMIT_S = 120.0
SWEEP_PERIOD_S = 10.0
DATAGRAM_BYTES = 65536


@dataclass(frozen=True, slots=True)
class Flow:
    """A caller and the service address that it talks to."""

    caller: Endpoint
    service: Endpoint


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


class UdpRelay:
    """Carries datagrams to the server, on a local socket for each flow."""

    def __init__(self, server: Endpoint, answer, reactor):
        self.server = server
        self.answer = answer
        self.reactor = reactor
        self.flows = {}
        self.last_used_s = {}
        self.counters = Counter()
        self.sweeper = LoopingCall(self.sweep)
        self.sweeper.clock = reactor

    def start(self):
        """Begin to close idle sockets."""
        self.sweeper.start(SWEEP_PERIOD_S, now=False)

    def stop(self):
        """Close all sockets."""
        self.sweeper.stop()
        for flow in list(self.flows):
            self._close(flow)

    def receive(self, datagram):
        """Take one datagram of a caller."""
        flow = Flow(datagram.src, datagram.dst)
        self.last_used_s[flow] = self.reactor.seconds()
        if flow not in self.flows:
            self.counters["flows-opened"] += 1
            self.flows[flow] = self._open(flow)
        self.flows[flow].transport.write(datagram.payload)

    def _open(self, flow):
        def answer(data):
            self.last_used_s[flow] = self.reactor.seconds()
            self.answer(Datagram(flow.service, flow.caller, data))

        sock = FlowSocket(self.server, answer)
        self.reactor.listenUDP(0, sock, self.server.host, DATAGRAM_BYTES)
        return sock

    def sweep(self):
        """Close the sockets of flows that have been idle for too long."""
        oldest_s = self.reactor.seconds() - IDLE_LIMIT_S
        idle = [flow for flow, used_s in self.last_used_s.items() if used_s < oldest_s]
        for flow in idle:
            self._close(flow)
            self.counters["flows-closed"] += 1

    def _close(self, flow):
        del self.last_used_s[flow]
        self.flows.pop(flow).transport.stopListening()


class TcpRelay:
    """Joins the segments of callers to real connections to the server."""

    def __init__(self, server: Endpoint, answer, reactor):
        self.server = server
        self.reactor = reactor
        self.table = StreamTable(reactor, answer, self.accept)

    def receive(self, segment):
        """Take one segment of a caller."""
        self.table.receive(segment)

    def accept(self):
        """Connect to the server for a connection that a caller opens."""
        bridge = Bridge()
        endpoint = TCP4ClientEndpoint(self.reactor, self.server.host, self.server.port)
        connecting = connectProtocol(endpoint, bridge)
        connecting.addErrback(lambda _: bridge.fail())
        return bridge
