"""Callers that keep a watch open and record how it breaks."""

import asyncio
import json

import aiocoap
from aiocoap import GET, Message

from ..logs import Part, logger_for
from .exchange import client_context
from .tally import BrokenWatch

REOPEN_DELAY_S = 1.0

log = logger_for(Part.BENCH)


class WatchCaller:
    """Keeps one watch (RFC 7641) open, and opens a new one when it breaks."""

    def __init__(self, name, service, endpoint, load, tally, clock):
        self.name = name
        self.service = service
        self.endpoint = endpoint
        self.load = load
        self.tally = tally
        self.clock = clock
        self.target = ""
        self.stopped = False
        self.is_open = False
        self.last_heard_s = 0.0

    def is_settled(self, since_s):
        """Return whether the watch was notified since ``since_s``, or is not open."""
        return not self.is_open or self.last_heard_s >= since_s

    def stop(self):
        """Stop watching; later events of the watch are not counted."""
        self.stopped = True

    async def run(self):
        """Keep a watch open until stopped or cancelled."""
        while not self.stopped:
            context = await client_context()
            try:
                await self.watch_once(context)
            finally:
                await context.shutdown()
            if not self.stopped:
                await asyncio.sleep(REOPEN_DELAY_S)

    async def watch_once(self, context):
        """Open one watch, and read it until it breaks."""
        uri = f"coap://{self.endpoint}/feed"
        req = context.request(Message(code=GET, uri=uri, observe=0))
        try:
            first = await asyncio.wait_for(req.response, self.load.request_timeout_s)
        except (aiocoap.error.Error, OSError, TimeoutError) as exc:
            self.record_open_failure(type(exc).__name__)
            return
        if not first.code.is_successful() or first.opt.observe is None:
            self.record_open_failure(str(first.code))
            return
        self.target = ""
        self.tally.count("watches-opened", self.service)
        await self.follow(first, aiter(req.observation))

    def record_open_failure(self, cause):
        """Count a watch that could not be opened."""
        if not self.stopped:
            log.info("Watch {} could not be opened: {}.", self.name, cause)
            self.tally.count(f"watch-not-opened {cause}", self.service)

    async def follow(self, first, notifications):
        """Read notifications until one is overdue or wrong, or the watch ends."""
        opened_s = self.last_heard_s = self.clock.seconds()
        self.is_open = True
        notification = first
        while True:
            if not notification.code.is_successful():
                cause = f"ended with {notification.code}"
                break
            if not self.accept(notification):
                cause = "wrong"
                break
            self.last_heard_s = self.clock.seconds()
            try:
                notification = await asyncio.wait_for(
                    anext(notifications), self.load.silence_s
                )
            except TimeoutError:
                cause = "silent"
                break
            except StopAsyncIteration:
                cause = "ended"
                break
            except (aiocoap.error.Error, OSError) as exc:
                cause = type(exc).__name__
                break
        self.is_open = False
        self.record_broken(opened_s, cause)

    def accept(self, notification):
        """Return whether a notification comes from the target of this watch."""
        try:
            body = json.loads(notification.payload)
        except ValueError:
            return False
        if not isinstance(body, dict) or body.get("service") != self.service:
            return False
        self.target = self.target or body.get("target", "")
        self.tally.count("notifications", self.service)
        return self.target == body.get("target")

    def record_broken(self, opened_s, cause):
        """Record a broken watch, unless it was stopped."""
        if self.stopped:
            return
        now_s = self.clock.seconds()
        log.info("Watch {} on {} broke: {}.", self.name, self.target, cause)
        self.tally.broken.append(
            BrokenWatch(
                self.service, self.target, opened_s, self.last_heard_s, now_s, cause
            )
        )
