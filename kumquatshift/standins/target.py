"""Stand-in for a target: a decapsulating port before an ordinary CoAP server."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

import aiocoap
from loguru import logger
from twisted.internet import defer

from .admin import Button, Page, admin_site, as_json
from .application import Application, ApplicationSettings
from .decapsulator import Decapsulator
from .load import LoadReport, LoadSettings
from .packets import Endpoint

PACKET_PORT = 6080
COAP_PORT = 5683
ADMIN_PORT = 7300
DATAGRAM_BYTES = 65536


@dataclass(frozen=True)
class TargetSettings:
    """What a target is started with; ``fabric`` takes its answers."""

    address: str
    fabric: Endpoint
    application: ApplicationSettings
    load: LoadSettings = field(default_factory=LoadSettings)

    @classmethod
    def from_config(cls, cfg: Mapping[str, Mapping[str, str]]):
        """Read the section ``target``."""
        section = cfg["target"]
        return cls(
            address=section["address"],
            fabric=Endpoint(section["fabric_address"], int(section["fabric_port"])),
            application=ApplicationSettings.from_config(section),
            load=LoadSettings.from_config(section),
        )


class Target:
    """A target; ``start`` opens its ports on ``reactor``."""

    def __init__(self, settings: TargetSettings, reactor):
        self.settings = settings
        self.reactor = reactor
        self.started_s = reactor.seconds()
        self.app = Application(settings.application, reactor)
        self.load = LoadReport(settings.load, self.app.capacity, reactor)
        server = Endpoint(settings.address, COAP_PORT)
        self.decapsulator = Decapsulator(server, settings.fabric, reactor)
        self.coap = None

    async def start(self):
        """Open all ports; the CoAP server first."""
        host = self.settings.address
        serving = aiocoap.Context.create_server_context(
            self.app.site(), bind=(f"::ffff:{host}", COAP_PORT), transports=["udp6"]
        )
        self.coap = await defer.Deferred.fromFuture(asyncio.ensure_future(serving))
        self.app.start()
        self.load.start()
        self.reactor.listenUDP(PACKET_PORT, self.decapsulator, host, DATAGRAM_BYTES)
        pages = [
            (b"load", Page(lambda: as_json(self.load.read()))),
            (b"chill", Button(self.app.capacity.chill)),
        ]
        self.reactor.listenTCP(ADMIN_PORT, admin_site(self.dump, pages), interface=host)
        logger.info("target: {} started at {}.", self.settings.application.name, host)

    def dump(self):
        """Return the whole state."""
        capacity = self.app.capacity
        return {
            "name": self.settings.application.name,
            "service": self.settings.application.service,
            "started_s": self.started_s,
            "limit": capacity.limit,
            "held": capacity.held,
            "worked_s": capacity.worked_s,
            "watches": self.app.feed.watches,
            "flows": len(self.decapsulator.flows),
            "posts": self.app.posts.runs,
            "gets": self.app.gets.runs,
            "arrivals": [
                [arrival.time_s, arrival.source, arrival.caller]
                for arrival in self.decapsulator.arrivals
            ],
            "counters": {**self.decapsulator.counters, **capacity.counters},
        }


def serve(settings: TargetSettings, reactor):
    """Start a target on ``reactor``; return it."""
    target = Target(settings, reactor)
    starting = defer.ensureDeferred(target.start())
    starting.addErrback(lambda failure: stop_with(failure, reactor))
    return target


def stop_with(failure, reactor):
    """Log why the target cannot start, and end the program."""
    logger.error("target: cannot start: {}.", failure.getErrorMessage())
    reactor.stop()
