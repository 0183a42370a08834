"""Relays between callers' packets and the local server of a target."""

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
    """A caller and the service address that it sends to."""

    caller: Endpoint
    service: Endpoint


class FlowSocket(DatagramProtocol):
    """The local UDP socket of one flow, connected to the server."""

    def __init__(self, server: Endpoint, on_answer):
        self.server = server
        self.on_answer = on_answer

    def startProtocol(self):  # noqa: N802
        """Connect the socket to the server."""
        self.transport.connect(self.server.host, self.server.port)

    def datagramReceived(self, data, address):  # noqa: N802
        """Pass an answer to ``on_answer``."""
        self.on_answer(data)


class UdpRelay:
    """Relays datagrams to the server, over one local socket per flow."""

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
        """Start the periodic closing of idle sockets."""
        self.sweeper.start(SWEEP_PERIOD_S, now=False)

    def stop(self):
        """Close all sockets."""
        self.sweeper.stop()
        for flow in list(self.flows):
            self._close(flow)

    def receive(self, datagram):
        """Relay one datagram of a caller."""
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
        """Close the sockets of flows idle for longer than ``IDLE_LIMIT_S``."""
        oldest_s = self.reactor.seconds() - IDLE_LIMIT_S
        idle = [flow for flow, used_s in self.last_used_s.items() if used_s < oldest_s]
        for flow in idle:
            self._close(flow)
            self.counters["flows-closed"] += 1

    def _close(self, flow):
        del self.last_used_s[flow]
        self.flows.pop(flow).transport.stopListening()


class TcpRelay:
    """Bridges the simulated connections of callers to connections to the server."""

    def __init__(self, server: Endpoint, answer, reactor):
        self.server = server
        self.reactor = reactor
        self.table = StreamTable(reactor, answer, self.accept)

    def receive(self, segment):
        """Handle one segment of a caller."""
        self.table.receive(segment)

    def accept(self):
        """Connect to the server on behalf of a caller's new connection."""
        bridge = Bridge()
        endpoint = TCP4ClientEndpoint(self.reactor, self.server.host, self.server.port)
        connecting = connectProtocol(endpoint, bridge)
        connecting.addErrback(lambda _: bridge.fail())
        return bridge
