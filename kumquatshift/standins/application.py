"""CoAP server of a target: a plain aiocoap site, unaware of the balancer."""

import asyncio
import json
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from aiocoap import CHANGED, CONTENT, SERVICE_UNAVAILABLE, Message
from aiocoap.resource import ObservableResource, Resource, Site
from twisted.internet import defer
from twisted.internet.task import LoopingCall

from ..settings.standins import TargetStandinSection
from .capacity import Capacity, CapacitySettings, OverloadError

FEED_PERIOD_S = 1.0
MAX_IDS = 50_000
MAX_RUN_TIMES = 20_000
BIG_BYTES = 4096
MS_PER_S = 1000


@dataclass(frozen=True)
class ApplicationSettings:
    """Name, service and capacity of an application."""

    name: str
    service: str
    capacity: CapacitySettings = field(default_factory=CapacitySettings)

    @classmethod
    def from_config(cls, cfg: TargetStandinSection):
        """Return the application settings of a target."""
        return cls(cfg.name, cfg.service, CapacitySettings.from_config(cfg))


class RunLog:
    """Number of runs per request id, for the ``max_ids`` most recent ids.

    ``times_s`` holds the times of the most recent runs, in seconds since the epoch.
    """

    def __init__(self, clock, max_ids=MAX_IDS):
        self.clock = clock
        self.max_ids = max_ids
        self.runs = OrderedDict()
        self.times_s = deque(maxlen=MAX_RUN_TIMES)

    def add(self, ident):
        """Count one run of ``ident``."""
        self.times_s.append(self.clock.seconds())
        self.runs[ident] = self.runs.get(ident, 0) + 1
        self.runs.move_to_end(ident)
        if len(self.runs) > self.max_ids:
            self.runs.popitem(last=False)


class Application:
    """State shared by the resources, and the site that serves them."""

    def __init__(self, settings: ApplicationSettings, clock):
        self.settings = settings
        self.capacity = Capacity(settings.capacity, clock)
        self.posts = RunLog(clock)
        self.gets = RunLog(clock)
        self.feed = Feed(self)
        self.ticker = LoopingCall(self.feed.advance)
        self.ticker.clock = clock

    def site(self):
        """Return the aiocoap site with all resources."""
        site = Site()
        site.add_resource(["echo"], Echo(self))
        site.add_resource(["work"], Work(self))
        site.add_resource(["feed"], self.feed)
        site.add_resource(["big"], Big(self))
        return site

    def start(self):
        """Start to send notifications to watches."""
        self.ticker.start(FEED_PERIOD_S, now=False)

    def stop(self):
        """Stop sending notifications to watches."""
        if self.ticker.running:
            self.ticker.stop()

    def answer(self, **fields):
        """Return the payload of an answer: target, service and ``fields``."""
        names = {"target": self.settings.name, "service": self.settings.service}
        return json.dumps({**names, **fields}).encode()

    def refusal(self):
        """Return the response to a request that was refused before it ran."""
        return Message(
            code=SERVICE_UNAVAILABLE,
            payload=b"not run",
            max_age=self.settings.capacity.retry_s,
        )


def query_of(req):
    """Return the ``a=b`` query options of a request as a mapping."""
    return dict(part.partition("=")[::2] for part in req.opt.uri_query)


def as_future(deferred):
    """Return an asyncio future for a Deferred or a coroutine that awaits one."""
    return defer.ensureDeferred(deferred).asFuture(asyncio.get_running_loop())


class Echo(Resource):
    """Responds with the id of the request at once, regardless of load."""

    def __init__(self, app):
        super().__init__()
        self.app = app

    async def render_get(self, req):
        """Respond; the request is idempotent."""
        ident = query_of(req).get("id", "")
        self.app.gets.add(ident)
        return Message(code=CONTENT, payload=self.app.answer(id=ident))

    async def render_post(self, req):
        """Count one run of the id, and respond."""
        ident = query_of(req).get("id", "")
        self.app.posts.add(ident)
        return Message(code=CHANGED, payload=self.app.answer(id=ident))


class Work(Echo):
    """Responds after ``ms`` milliseconds in a slot, or refuses at once."""

    async def render_get(self, req):
        """Work, then respond."""
        return await self._work(req, super().render_get)

    async def render_post(self, req):
        """Work, count one run of the id, and respond."""
        return await self._work(req, super().render_post)

    async def _work(self, req, render):
        work_s = float(query_of(req).get("ms", 0)) / MS_PER_S
        try:
            await as_future(self.app.capacity.run(work_s))
        except OverloadError:
            return self.app.refusal()
        return await render(req)


class Feed(ObservableResource):
    """Observable resource that notifies its watches once a second."""

    def __init__(self, app):
        super().__init__()
        self.app = app
        self.number = 0

    @property
    def watches(self):
        """Number of open watches."""
        return len(self._observations)

    def advance(self):
        """Increment the value and notify the watches."""
        self.number += 1
        self.updated_state()

    async def render_get(self, req):
        """Respond with the current value."""
        return Message(payload=self.app.answer(number=self.number))


class Big(Resource):
    """Responds with a payload large enough for block-wise transfer."""

    def __init__(self, app):
        super().__init__()
        self.app = app

    async def render_get(self, req):
        """Respond with ``size`` bytes derived from the id."""
        query = query_of(req)
        size = int(query.get("size", BIG_BYTES))
        ident = query.get("id", "")
        return Message(payload=big_payload(self.app.settings.service, ident, size))


def big_payload(service, ident, size):
    """Return the ``size`` bytes with which ``service`` responds to ``ident``."""
    line = f"{service}/{ident};".encode()
    return (line * (size // len(line) + 1))[:size]
