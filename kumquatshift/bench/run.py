"""A run of the load tool, from the first request to the report."""

import asyncio

from twisted.internet import defer
from twisted.internet.task import LoopingCall

from ..engine.objects import Protocol
from ..logs import Part, logger_for
from ..settings import BenchSettings
from ..standins.packets import Endpoint
from .exchange import EXCHANGES
from .report import make_report
from .requests import RequestCaller
from .site import SiteView, fetch_dump, fetch_objects
from .tally import Tally
from .watches import WatchCaller

POLL_PERIOD_S = 0.2
SETTLE_MARGIN_S = 1.0

log = logger_for(Part.BENCH)


class Bench:
    """Generates load on a running system, and reports what callers observed.

    Services over UDP receive CoAP requests and watches; services over TCP receive
    HTTP requests over persistent connections.
    """

    def __init__(self, settings: BenchSettings, reactor):
        self.load = settings.bench
        self.platform = settings.platform.url
        self.services = settings.services.members
        self.reactor = reactor
        self.tally = Tally()
        self.view = SiteView({service.name for service in self.services})
        self.poller = LoopingCall(self.poll)
        self.poller.clock = reactor
        self.request_callers = []
        self.watch_callers = []
        for service in self.services:
            self.add_callers(service)

    def add_callers(self, service):
        """Create the callers of one service."""
        endpoint = Endpoint(service.address, service.port)
        common = (self.load, self.tally, self.reactor)
        make_exchange = EXCHANGES[service.protocol]
        for number in range(self.load.callers):
            exchange = make_exchange(
                endpoint, self.load.request_timeout_s, self.reactor
            )
            name = f"r-{service.name}-{number}"
            caller = RequestCaller(name, service.name, exchange, *common)
            self.request_callers.append(caller)
        if service.protocol is not Protocol.UDP:
            return
        for number in range(self.load.watches):
            name = f"w-{service.name}-{number}"
            self.watch_callers.append(
                WatchCaller(name, service.name, endpoint, *common)
            )

    async def run(self):
        """Run for the configured duration; return the report."""
        polling = self.poller.start(POLL_PERIOD_S)
        polling.addErrback(
            lambda failure: log.error("Polling the platform failed: {}.", failure)
        )
        await asyncio.gather(self.run_requests(), self.run_watches())
        await self.poll().asFuture(asyncio.get_running_loop())
        self.poller.stop()
        dumps = await self.fetch_dumps()
        streams = {it.name for it in self.services if it.protocol is Protocol.TCP}
        return make_report(self.tally, self.view, dumps, self.load, streams)

    async def run_requests(self):
        """Run the request callers; each completes its last request."""
        tasks = [asyncio.ensure_future(caller.run()) for caller in self.request_callers]
        await asyncio.sleep(self.load.duration_s)
        for caller in self.request_callers:
            caller.stop()
        await asyncio.gather(*tasks)

    async def run_watches(self):
        """Run the watches, wait for a last notification of each, and cancel them."""
        tasks = [asyncio.ensure_future(caller.run()) for caller in self.watch_callers]
        await asyncio.sleep(self.load.duration_s)
        await self.settle_watches()
        for caller in self.watch_callers:
            caller.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def settle_watches(self):
        """Wait until each open watch has been notified once more, or has broken."""
        now_s = self.reactor.seconds()
        limit_s = now_s + self.load.silence_s + SETTLE_MARGIN_S
        while self.reactor.seconds() < limit_s:
            if all(caller.is_settled(now_s) for caller in self.watch_callers):
                return
            await asyncio.sleep(POLL_PERIOD_S)

    def poll(self):
        """Poll the platform once; a failure is counted, not raised."""
        return defer.ensureDeferred(self._poll())

    async def _poll(self):
        asked_s = self.reactor.seconds()
        try:
            items = await fetch_objects(self.platform, self.reactor)
        except Exception as exc:
            self.tally.count("platform-misses", "platform")
            log.debug("Platform unavailable: {}.", exc)
            return
        self.view.merge_objects(items, asked_s, self.reactor.seconds())

    async def fetch_dumps(self):
        """Return the dumps of all targets that respond, by target name."""
        dumps = {}
        for name, target in self.view.targets.items():
            try:
                fetching = defer.ensureDeferred(fetch_dump(target.host, self.reactor))
                dumps[name] = await fetching.asFuture(asyncio.get_running_loop())
            except Exception as exc:
                log.warning("Cannot fetch the dump of target {}: {}.", name, exc)
        return dumps
