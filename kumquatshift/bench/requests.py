"""Callers that send requests and verify that each gets its complete answer."""

import asyncio
import json
import random
from dataclasses import dataclass
from enum import StrEnum

from ..logs import Part, logger_for
from ..standins.application import big_payload
from .exchange import Exchange, NoReplyError, ReplyKind
from .tally import LostRequest, Unserved

log = logger_for(Part.BENCH)


class Path(StrEnum):
    """Resources of a target that are requested."""

    WORK = "work"
    BIG = "big"


@dataclass(frozen=True)
class Request:
    """One request, with an id that is unique within the run."""

    ident: str
    service: str
    idempotent: bool
    path: Path

    def answered_by(self, payload, size):
        """Return whether ``payload`` is the complete answer to this request."""
        if self.path is Path.BIG:
            return payload == big_payload(self.service, self.ident, size)
        answer = read_answer(payload)
        return (answer.get("id"), answer.get("service")) == (self.ident, self.service)


def read_answer(payload):
    """Return the fields of an answer, or an empty mapping if it is invalid."""
    try:
        answer = json.loads(payload)
    except ValueError:
        return {}
    return answer if isinstance(answer, dict) else {}


class RequestCaller:
    """Sends requests sequentially until stopped.

    A refused request is retried with the same id after the delay given in the
    refusal. A refused request that did run is thus detected as a duplicate run.
    """

    def __init__(self, name, service, exchange: Exchange, load, tally, clock):
        self.name = name
        self.service = service
        self.exchange = exchange
        self.load = load
        self.tally = tally
        self.clock = clock
        self.rng = random.Random(f"{load.seed}/{name}")
        self.stopping = asyncio.Event()
        self.sent = 0
        self.target = ""

    async def run(self):
        """Send requests until `stop`; the last one is still completed."""
        await self.exchange.open()
        try:
            while not self.stopping.is_set():
                await self.pause(self.load.interval_s * 2 * self.rng.random())
                await self.send_until_done(self.next_request())
        finally:
            await self.exchange.close()

    def stop(self):
        """Start no further requests."""
        self.stopping.set()

    async def pause(self, delay_s):
        """Wait for ``delay_s``, or until `stop` is called."""
        try:
            await asyncio.wait_for(self.stopping.wait(), delay_s)
        except TimeoutError:
            return

    def next_request(self):
        """Generate the next request."""
        self.sent += 1
        ident = f"{self.load.seed}-{self.name}-{self.sent}"
        if self.rng.random() < self.load.big_share:
            return Request(ident, self.service, True, Path.BIG)
        idempotent = self.rng.random() >= self.load.post_share
        return Request(ident, self.service, idempotent, Path.WORK)

    async def send_until_done(self, req):
        """Send ``req``, and retry while it is refused."""
        self.tally.count("sent", self.service)
        while True:
            reply = await self.attempt(req)
            if reply is None or reply.kind is not ReplyKind.REFUSAL:
                return
            await self.pause(reply.retry_s)
            if self.stopping.is_set():
                self.tally.count("given-up", self.service)
                return

    async def attempt(self, req):
        """Send ``req`` once, count the outcome, and return the reply or None."""
        sent_s = self.clock.seconds()
        query = f"id={req.ident}&ms={self.load.work_ms}&size={self.load.big_bytes}"
        try:
            reply = await self.exchange.send(req.path, query, req.idempotent)
        except NoReplyError as exc:
            self.record_lost(req, sent_s, str(exc))
            return None
        if reply.kind is ReplyKind.REFUSAL:
            self.tally.count("refused", self.service)
        elif reply.kind is ReplyKind.ANSWER:
            self.check_answer(req, reply.payload, sent_s)
        else:
            is_unknown = reply.kind is ReplyKind.UNKNOWN
            name = "unknown" if is_unknown else f"error {reply.code}"
            self.tally.count(name, self.service)
            unserved = Unserved(req.ident, sent_s, reply.code, is_unknown)
            self.tally.unserved.append(unserved)
        return reply

    def check_answer(self, req, payload, sent_s):
        """Check an answer and count it as right or wrong."""
        if not req.answered_by(payload, self.load.big_bytes):
            self.tally.count("wrong", self.service)
            self.tally.wrong.append(f"{req.ident}: {payload[:80]!r}")
            return
        if req.path is Path.WORK:
            self.target = read_answer(payload).get("target", "")
        took_s = self.clock.seconds() - sent_s
        self.tally.answered(self.service, sent_s, took_s)

    def record_lost(self, req, sent_s, cause):
        """Record a request that got no answer."""
        log.info("Request {} got no answer: {}.", req.ident, cause)
        self.tally.lost.append(
            LostRequest(
                req.ident,
                self.service,
                sent_s,
                self.clock.seconds(),
                self.target,
                cause,
            )
        )
