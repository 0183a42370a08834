"""Callers that keep a watch open and note how it breaks."""

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
    """Keeps one watch (RFC 7641) open; when it breaks, opens the next one."""

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
        self.heard_s = 0.0

    def is_settled(self, since_s):
        """Tell whether the watch was heard since then, or is not open."""
        return not self.is_open or self.heard_s >= since_s

    def stop(self):
        """Let the watch go; what happens to it later is not counted."""
        self.stopped = True

    async def run(self):
        """Watch until cancelled."""
        while not self.stopped:
            context = await client_context()
            try:
                await self.watch_once(context)
            finally:
                await context.shutdown()
            if not self.stopped:
                await asyncio.sleep(REOPEN_DELAY_S)

    async def watch_once(self, context):
        """Open one watch, and follow it until it breaks."""
        uri = f"coap://{self.endpoint}/feed"
        req = context.request(Message(code=GET, uri=uri, observe=0))
        try:
            first = await asyncio.wait_for(req.response, self.load.request_timeout_s)
        except (aiocoap.error.Error, OSError, TimeoutError) as exc:
            self.fail_to_open(type(exc).__name__)
            return
        if not first.code.is_successful() or first.opt.observe is None:
            self.fail_to_open(str(first.code))
            return
        self.target = ""
        self.tally.count("watches-opened", self.service)
        await self.follow(first, aiter(req.observation))

    def fail_to_open(self, cause):
        """Count a watch that did not come about."""
        if not self.stopped:
            log.info("Watch {} was not opened: {}.", self.name, cause)
            self.tally.count(f"watch-not-opened {cause}", self.service)

    async def follow(self, first, notifications):
        """Read notifications until one is missing or wrong."""
        opened_s = self.heard_s = self.clock.seconds()
        self.is_open = True
        note = first
        while True:
            if not note.code.is_successful():
                cause = f"ended with {note.code}"
                break
            if not self.accept(note):
                cause = "wrong"
                break
            self.heard_s = self.clock.seconds()
            try:
                note = await asyncio.wait_for(anext(notifications), self.load.silence_s)
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
        self.break_off(opened_s, cause)

    def accept(self, note):
        """Tell whether a notification comes from the watch's own target."""
        try:
            body = json.loads(note.payload)
        except ValueError:
            return False
        if not isinstance(body, dict) or body.get("service") != self.service:
            return False
        self.target = self.target or body.get("target", "")
        self.tally.count("notifications", self.service)
        return self.target == body.get("target")

    def break_off(self, opened_s, cause):
        """Count a broken watch, unless it was let go."""
        if self.stopped:
            return
        now_s = self.clock.seconds()
        log.info("Watch {} on {} broke: {}.", self.name, self.target, cause)
        self.tally.broken.append(
            BrokenWatch(self.service, self.target, opened_s, self.heard_s, now_s, cause)
        )
