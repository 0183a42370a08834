"""Callers that send requests, and check that each gets its own whole answer."""

import asyncio
import json
import random
from dataclasses import dataclass
from enum import StrEnum

import aiocoap
from aiocoap import GET, POST, Code, Message
from loguru import logger

from kumquatshift.standins.application import big_payload

from .tally import LostRequest

REFUSALS = (Code.SERVICE_UNAVAILABLE, Code.TOO_MANY_REQUESTS)
DEFAULT_MAX_AGE_S = 60


class Path(StrEnum):
    """The resources of a target that requests go to."""

    WORK = "work"
    BIG = "big"


@dataclass(frozen=True)
class Request:
    """One request with an id that no other request of the run has."""

    ident: str
    service: str
    code: Code
    path: Path

    def answered_by(self, payload, size):
        """Tell whether ``payload`` is the whole answer to just this request."""
        if self.path is Path.BIG:
            return payload == big_payload(self.service, self.ident, size)
        try:
            answer = json.loads(payload)
        except ValueError:
            return False
        if not isinstance(answer, dict):
            return False
        return (answer.get("id"), answer.get("service")) == (self.ident, self.service)


async def client_context():
    """Return an aiocoap client on a UDP socket of its own."""
    return await aiocoap.Context.create_client_context(transports=["udp6"])


class RequestCaller:
    """Sends one request after another until it is told to stop.

    A refused request is sent again, with the same id, once the time that the
    refusal named is over. So a refusal of work that did run shows as a
    duplicate run.
    """

    def __init__(self, name, service, endpoint, load, tally, clock):
        self.name = name
        self.service = service
        self.endpoint = endpoint
        self.load = load
        self.tally = tally
        self.clock = clock
        self.rng = random.Random(f"{load.seed}/{name}")
        self.stopping = asyncio.Event()
        self.sent = 0

    async def run(self):
        """Send requests until `stop`; the last one is still seen through."""
        context = await client_context()
        try:
            while not self.stopping.is_set():
                await self.pause(self.load.interval_s * 2 * self.rng.random())
                await self.see_through(context, self.next_request())
        finally:
            await context.shutdown()

    def stop(self):
        """Begin no further request."""
        self.stopping.set()

    async def pause(self, delay_s):
        """Wait, but no longer than until the stop."""
        try:
            await asyncio.wait_for(self.stopping.wait(), delay_s)
        except TimeoutError:
            return

    def next_request(self):
        """Choose the next request."""
        self.sent += 1
        ident = f"{self.load.seed}-{self.name}-{self.sent}"
        if self.rng.random() < self.load.big_share:
            return Request(ident, self.service, GET, Path.BIG)
        code = POST if self.rng.random() < self.load.post_share else GET
        return Request(ident, self.service, code, Path.WORK)

    async def see_through(self, context, req):
        """Send ``req`` until it has an answer that is not a refusal."""
        self.tally.count("sent", self.service)
        while True:
            retry_s = await self.attempt(context, req)
            if retry_s is None:
                return
            await self.pause(retry_s)
            if self.stopping.is_set():
                self.tally.count("given-up", self.service)
                return

    async def attempt(self, context, req):
        """Send ``req`` once; return when to come back if it was refused."""
        sent_s = self.clock.seconds()
        try:
            response = await asyncio.wait_for(
                context.request(self.message(req)).response,
                self.load.request_timeout_s,
            )
        except (aiocoap.error.Error, OSError, TimeoutError) as exc:
            self.lose(req, sent_s, type(exc).__name__)
            return None
        if response.code in REFUSALS:
            self.tally.count("refused", self.service)
            max_age_s = response.opt.max_age
            return DEFAULT_MAX_AGE_S if max_age_s is None else max_age_s
        self.judge(req, response, sent_s)
        return None

    def message(self, req):
        """Return the CoAP message of ``req``."""
        query = f"id={req.ident}&ms={self.load.work_ms}&size={self.load.big_bytes}"
        return Message(code=req.code, uri=f"coap://{self.endpoint}/{req.path}?{query}")

    def judge(self, req, response, sent_s):
        """Count an answer as right, wrong, or of unknown outcome."""
        if response.code is Code.GATEWAY_TIMEOUT:
            self.tally.count("unknown", self.service)
        elif not response.code.is_successful():
            self.tally.count(f"error {response.code}", self.service)
        elif req.answered_by(response.payload, self.load.big_bytes):
            self.tally.answered(self.service, self.clock.seconds() - sent_s)
        else:
            self.tally.count("wrong", self.service)
            self.tally.wrong.append(f"{req.ident}: {response.payload[:80]!r}")

    def lose(self, req, sent_s, cause):
        """Count a request that got no answer."""
        logger.info("bench: request {} got no answer, {}.", req.ident, cause)
        self.tally.lost.append(LostRequest(req.ident, self.service, sent_s, cause))
