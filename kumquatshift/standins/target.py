"""Stand-in for a target: a decapsulating port in front of ordinary servers.

The server is `aiocoap` for a service over UDP, and `twisted.web` for one over TCP.
Both are unaware of the balancer.
"""

import asyncio

import aiocoap
from twisted.internet import defer

from ..logs import Part, logger_for
from ..settings import TargetStandinSettings
from .admin import ActionPage, JsonPage, admin_site, stop_ports
from .application import Application, ApplicationSettings
from .decapsulator import Decapsulator
from .load import LoadReport, LoadSettings
from .packets import Datagram, Endpoint, Segment
from .relays import TcpRelay, UdpRelay
from .website import make_website

PACKET_PORT = 6080
COAP_PORT = 5683
HTTP_PORT = 8080
ADMIN_PORT = 7300
DATAGRAM_BYTES = 65536

log = logger_for(Part.STANDIN)


class Target:
    """A target stand-in; ``start`` opens its ports on ``reactor``."""

    def __init__(self, settings: TargetStandinSettings, reactor):
        self.settings = cfg = settings.target
        self.reactor = reactor
        self.started_s = reactor.seconds()
        self.app = Application(ApplicationSettings.from_config(cfg), reactor)
        self.load = LoadReport(
            LoadSettings.from_config(cfg), self.app.capacity, reactor
        )
        fabric = Endpoint(cfg.fabric_address, cfg.fabric_port)
        self.decapsulator = Decapsulator(fabric, reactor)
        answer = self.decapsulator.answer
        host = cfg.address
        self.udp = UdpRelay(Endpoint(host, COAP_PORT), answer, reactor)
        self.tcp = TcpRelay(Endpoint(host, HTTP_PORT), answer, reactor)
        self.decapsulator.relays = {
            Datagram: self.udp.receive,
            Segment: self.tcp.receive,
        }
        self.coap = None
        self.ports = []

    async def start(self):
        """Open all ports, those of the servers first."""
        host = self.settings.address
        serving = aiocoap.Context.create_server_context(
            self.app.site(), bind=(f"::ffff:{host}", COAP_PORT), transports=["udp6"]
        )
        self.coap = await defer.Deferred.fromFuture(asyncio.ensure_future(serving))
        self._listen_tcp(HTTP_PORT, make_website(self.app))
        self.app.start()
        self.load.start()
        self.udp.start()
        port = self.reactor.listenUDP(
            PACKET_PORT, self.decapsulator, host, DATAGRAM_BYTES
        )
        self.ports.append(port)
        pages = {
            b"load": JsonPage(self.load.read),
            b"chill": ActionPage(self.app.capacity.reset_warmup),
        }
        self._listen_tcp(ADMIN_PORT, admin_site(self.dump, pages))
        log.info("Target stand-in {} started at {}.", self.settings.name, host)

    async def stop(self):
        """Close all ports and shut the servers down."""
        self.app.stop()
        self.load.stop()
        self.udp.stop()
        self.tcp.table.abort_all()
        await stop_ports(self.ports)
        ending = asyncio.ensure_future(self.coap.shutdown())
        await defer.Deferred.fromFuture(ending)

    def _listen_tcp(self, number, factory):
        host = self.settings.address
        self.ports.append(self.reactor.listenTCP(number, factory, interface=host))

    def dump(self):
        """Return the state as shown on the admin port."""
        capacity = self.app.capacity
        return {
            "name": self.settings.name,
            "service": self.settings.service,
            "started_s": self.started_s,
            "limit": capacity.limit,
            "held": capacity.held,
            "worked_s": capacity.worked_s,
            "watches": self.app.feed.watches,
            "flows": len(self.udp.flows),
            "streams": len(self.tcp.table.streams),
            "posts": self.app.posts.runs,
            "gets": self.app.gets.runs,
            "run_times_s": [*self.app.posts.times_s, *self.app.gets.times_s],
            "arrivals": [
                [arrival.time_s, arrival.source, arrival.caller]
                for arrival in self.decapsulator.arrivals
            ],
            "counters": {
                **self.decapsulator.counters,
                **self.udp.counters,
                **self.tcp.table.counters,
                **capacity.counters,
            },
        }


def serve(settings: TargetStandinSettings, reactor) -> defer.Deferred:
    """Start a target on ``reactor``; the Deferred fires when its ports are open."""
    return defer.ensureDeferred(Target(settings, reactor).start())
