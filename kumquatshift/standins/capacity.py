"""How much work a target bears: few slots, a short queue, a cold start."""

from collections import Counter, deque
from dataclasses import dataclass

from twisted.internet import defer

from ..settings.standins import TargetStandinSection

COLD_LIMIT = 1


@dataclass(frozen=True)
class CapacitySettings:
    """``slots`` run at once, ``backlog`` wait; times are in seconds.

    ``warm_s`` is the time of work after which a cold target bears its full
    share; ``retry_s`` is when a refused caller is asked to come back.
    """

    slots: int = 2
    backlog: int = 6
    warm_s: float = 10.0
    retry_s: int = 1

    @classmethod
    def from_config(cls, cfg: TargetStandinSection):
        """Return what a target's settings say of its capacity."""
        return cls(cfg.slots, cfg.backlog, cfg.warm_s, cfg.retry_s)


class OverloadError(Exception):
    """The work was refused before any of it was run."""


class Capacity:
    """Runs work in slots, and refuses what goes beyond the limit.

    The limit counts running and waiting work. A cold target bears one piece of
    work; the limit then grows in step with the time for which it has worked.
    """

    def __init__(self, settings: CapacitySettings, clock):
        self.settings = settings
        self.clock = clock
        self.running = 0
        self.waiting = deque()
        self.worked_s = 0.0
        self.counters = Counter()

    @property
    def limit(self):
        """How many pieces of work are borne now, running and waiting."""
        full = self.settings.slots + self.settings.backlog
        if not self.settings.warm_s:
            return full
        warmth = min(1.0, self.worked_s / self.settings.warm_s)
        return COLD_LIMIT + int(warmth * (full - COLD_LIMIT))

    @property
    def held(self):
        """How many pieces of work are running or waiting."""
        return self.running + len(self.waiting)

    def chill(self):
        """Turn cold, as after a restart."""
        self.worked_s = 0.0
        self.counters["chilled"] += 1

    def admit(self):
        """Take one piece of work in; raise OverloadError when that is too much.

        Returns a Deferred that fires when a slot is free for it; the caller
        then runs it and calls `release`.
        """
        if self.held >= self.limit:
            self.counters["overload"] += 1
            raise OverloadError
        self.counters["admitted"] += 1
        if self.running < self.settings.slots:
            self.running += 1
            return defer.succeed(None)
        turn = defer.Deferred()
        self.waiting.append(turn)
        return turn

    def release(self, worked_s):
        """End one piece of work that took ``worked_s``; the next one starts."""
        self.worked_s += worked_s
        if self.waiting:
            self.waiting.popleft().callback(None)
        else:
            self.running -= 1

    async def run(self, work_s):
        """Work for ``work_s`` in a slot; raise OverloadError when refused."""
        await self.admit()
        try:
            await sleep(self.clock, work_s)
        finally:
            self.release(work_s)


def sleep(clock, delay_s):
    """Return a Deferred that fires after ``delay_s`` seconds of ``clock``."""
    done = defer.Deferred()
    clock.callLater(delay_s, done.callback, None)
    return done
