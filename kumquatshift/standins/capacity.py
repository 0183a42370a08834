"""Capacity of a target: concurrent slots, a bounded queue and a warm-up."""

from collections import Counter, deque
from dataclasses import dataclass

from twisted.internet import defer

from ..settings.standins import TargetStandinSection

COLD_LIMIT = 1


@dataclass(frozen=True)
class CapacitySettings:
    """At most ``slots`` requests run and ``backlog`` wait; times are in seconds.

    ``warm_s`` is the accumulated working time after which a cold target reaches
    its full limit; ``retry_s`` is the retry delay sent with a refusal.
    """

    slots: int = 2
    backlog: int = 6
    warm_s: float = 10.0
    retry_s: int = 1

    @classmethod
    def from_config(cls, cfg: TargetStandinSection):
        """Return the capacity settings of a target."""
        return cls(cfg.slots, cfg.backlog, cfg.warm_s, cfg.retry_s)


class OverloadError(Exception):
    """A request was refused before any of its work ran."""


class Capacity:
    """Runs requests in slots, and refuses those beyond the limit.

    The limit covers running and waiting requests. It is one for a cold target, and
    grows linearly with the time for which the target has worked.
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
        """Current maximum of running and waiting requests."""
        full = self.settings.slots + self.settings.backlog
        if not self.settings.warm_s:
            return full
        warm_fraction = min(1.0, self.worked_s / self.settings.warm_s)
        return COLD_LIMIT + int(warm_fraction * (full - COLD_LIMIT))

    @property
    def held(self):
        """Number of running and waiting requests."""
        return self.running + len(self.waiting)

    def reset_warmup(self):
        """Reset the warm-up, as after a restart."""
        self.worked_s = 0.0
        self.counters["chilled"] += 1

    def admit(self):
        """Admit one request; raise OverloadError when the limit is reached.

        Returns a Deferred that fires when a slot is free; the calling code then does
        the work and calls `release`.
        """
        if self.held >= self.limit:
            self.counters["overload"] += 1
            raise OverloadError
        self.counters["admitted"] += 1
        if self.running < self.settings.slots:
            self.running += 1
            return defer.succeed(None)
        slot_free = defer.Deferred()
        self.waiting.append(slot_free)
        return slot_free

    def release(self, worked_s):
        """End a request that took ``worked_s``, and start the next one waiting."""
        self.worked_s += worked_s
        if self.waiting:
            self.waiting.popleft().callback(None)
        else:
            self.running -= 1

    async def run(self, work_s):
        """Occupy a slot for ``work_s``; raise OverloadError when refused."""
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
