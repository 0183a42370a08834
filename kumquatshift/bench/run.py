"""One run of the load tool, from the first request to the report."""

import asyncio

from loguru import logger
from twisted.internet import defer
from twisted.internet.task import LoopingCall

from .report import make_report
from .requests import RequestCaller
from .settings import BenchSettings
from .site import SiteView, fetch_dump, fetch_objects
from .tally import Tally
from .watches import WatchCaller

POLL_PERIOD_S = 0.2


class Bench:
    """Puts load on a running system, and reports what callers saw."""

    def __init__(self, settings: BenchSettings, reactor):
        self.settings = settings
        self.reactor = reactor
        self.tally = Tally()
        self.view = SiteView(settings.services.keys())
        self.poller = LoopingCall(self.poll)
        self.poller.clock = reactor
        self.request_callers = self.make_callers(RequestCaller, "r", "callers")
        self.watch_callers = self.make_callers(WatchCaller, "w", "watches")

    def make_callers(self, kind, prefix, setting):
        """Return the callers of one kind for all services."""
        load = self.settings.load
        return [
            kind(
                f"{prefix}-{service}-{number}",
                service,
                endpoint,
                load,
                self.tally,
                self.reactor,
            )
            for service, endpoint in self.settings.services.items()
            for number in range(getattr(load, setting))
        ]

    async def run(self):
        """Run for as long as the settings say; return the report."""
        polling = self.poller.start(POLL_PERIOD_S)
        polling.addErrback(lambda failure: logger.error("bench: {}.", failure))
        await asyncio.gather(self.run_requests(), self.run_watches())
        await self.poll().asFuture(asyncio.get_running_loop())
        self.poller.stop()
        dumps = await self.fetch_dumps()
        return make_report(self.tally, self.view, dumps, self.settings.load)

    async def run_requests(self):
        """Run the request callers; each sees its last request through."""
        tasks = [asyncio.ensure_future(caller.run()) for caller in self.request_callers]
        await asyncio.sleep(self.settings.load.duration_s)
        for caller in self.request_callers:
            caller.stop()
        await asyncio.gather(*tasks)

    async def run_watches(self):
        """Run the watches, then let them go."""
        tasks = [asyncio.ensure_future(caller.run()) for caller in self.watch_callers]
        await asyncio.sleep(self.settings.load.duration_s)
        for caller in self.watch_callers:
            caller.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def poll(self):
        """Ask the platform once; it may be down."""
        return defer.ensureDeferred(self._poll())

    async def _poll(self):
        asked_s = self.reactor.seconds()
        try:
            items = await fetch_objects(self.settings.platform, self.reactor)
        except Exception as exc:
            self.tally.count("platform-misses", "platform")
            logger.debug("bench: platform does not answer, {}.", exc)
            return
        self.view.take_in(items, asked_s, self.reactor.seconds())

    async def fetch_dumps(self):
        """Return the dumps of all targets that answer, by name."""
        dumps = {}
        for name, target in self.view.targets.items():
            try:
                fetching = defer.ensureDeferred(fetch_dump(target.host, self.reactor))
                dumps[name] = await fetching.asFuture(asyncio.get_running_loop())
            except Exception as exc:
                logger.warning("bench: no dump of target {}, {}.", name, exc)
        return dumps
