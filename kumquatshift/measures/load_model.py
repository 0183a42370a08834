"""A small model of targets under load, and of entries that share them.

Targets have slots; a cold one bears one request at a time, is slower, and
falls over when it gets much more. Entries decide by pools of slots. Time is
simulated, chance is seeded, so a run gives the same figures every time.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from ..engine.objects import Priority, Profile, Target
from ..engine.priority import Claim
from ..engine.slots import Granted, Outcome, Rejected

SERVICE_S = 0.1
SERVICE_SHAPE = 4.0
COLD_SLOWDOWN = 4.0
COLD_S = 5.0
COLD_BEARS = 1
FALL_OVER_EXCESS = 3
FALL_OVER_WINDOW_S = 1.0
DOWN_S = 2.0
TARGET_BACKLOG = 2
HOP_S = 0.0005
TICK_S = 0.05
DEADLINE_S = 5.0
SHED_MAX_AGE_S = 1.0
FAILING_S = 0.005


class Timeline:
    """Simulated time: calls what was asked for, in order."""

    def __init__(self):
        self.now = 0.0
        self._calls: list[tuple[float, int, Callable, tuple]] = []
        self._order = count()

    def later(self, delay_s: float, call: Callable, *args):
        """Call ``call`` after a delay in seconds."""
        when = self.now + delay_s
        heapq.heappush(self._calls, (when, next(self._order), call, args))

    def run(self, until_s: float):
        """Make all calls up to a time."""
        while self._calls and self._calls[0][0] <= until_s:
            self.now, _, call, args = heapq.heappop(self._calls)
            call(*args)
        self.now = until_s


@dataclass
class Request:
    """One request on its way through the model."""

    number: int
    service: str
    arrived: float
    owner: int = 0
    target: str = ""


class ModelTarget:
    """A host with slots; it may be cold, fail, or fall over."""

    def __init__(self, timeline: Timeline, host: str, slots: int, chance):
        self.timeline, self.host, self.slots, self.chance = (
            timeline,
            host,
            slots,
            chance,
        )
        self.running = 0
        self.waiting: list = []
        self.cold_until = 0.0
        self.down_until = 0.0
        self.is_failing = False
        self.generation = 0
        self.excess: list[float] = []
        self.busy_s = 0.0
        self.overloads = self.cold_overloads = self.sheds = self.falls = 0

    def is_cold(self) -> bool:
        """Whether the host bears little now."""
        return self.timeline.now < self.cold_until

    def turn_cold(self):
        """Restart, or lose the caches, without telling anyone."""
        self.cold_until = self.timeline.now + COLD_S

    def arrive(self, answer: Callable[[Outcome], None]):
        """Take a request; ``answer`` is called at its end, or never."""
        if self.timeline.now < self.down_until:
            return
        if self.is_failing:
            self.timeline.later(FAILING_S, answer, Outcome.FAILED)
            return
        bears = COLD_BEARS if self.is_cold() else self.slots
        if self.running < bears:
            self._run(answer)
            return
        self._note_excess()
        if self.timeline.now < self.down_until:
            return
        if not self.is_cold() and len(self.waiting) < TARGET_BACKLOG:
            self.waiting.append(answer)
            return
        self.sheds += 1
        self.timeline.later(0.0, answer, Outcome.SHED)

    def _note_excess(self):
        now = self.timeline.now
        self.overloads += 1
        if not self.is_cold():
            return
        self.cold_overloads += 1
        self.excess = [at for at in self.excess if now - at < FALL_OVER_WINDOW_S]
        self.excess.append(now)
        if len(self.excess) >= FALL_OVER_EXCESS:
            self._fall_over()

    def _fall_over(self):
        self.falls += 1
        self.generation += 1
        self.running = 0
        self.waiting.clear()
        self.excess.clear()
        self.down_until = self.timeline.now + DOWN_S
        self.cold_until = self.down_until + COLD_S

    def _run(self, answer):
        self.running += 1
        took_s = self.chance.gammavariate(SERVICE_SHAPE, SERVICE_S / SERVICE_SHAPE)
        if self.is_cold():
            took_s *= COLD_SLOWDOWN
        self.busy_s += took_s
        self.timeline.later(took_s, self._end, answer, self.generation)

    def _end(self, answer, generation):
        if generation != self.generation:
            return
        self.running -= 1
        answer(Outcome.GOOD)
        if self.waiting:
            self._run(self.waiting.pop(0))


@dataclass
class Tally:
    """What became of the requests of one service; latencies in seconds."""

    offered: int = 0
    refused: int = 0
    shed: int = 0
    lost: int = 0
    latencies_s: list[float] = field(default_factory=list)
    ends: list[tuple[float, bool]] = field(default_factory=list)

    @property
    def answered_share(self) -> float:
        """Share of the offered requests that got a good answer."""
        return len(self.latencies_s) / max(1, self.offered)

    def p99_s(self) -> float:
        """Return the 99th percentile of the latencies."""
        ordered = sorted(self.latencies_s) or [0.0]
        return ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]


@dataclass(frozen=True)
class Load:
    """Requests of one service: a rate per second between two times."""

    service: str
    rate: float
    start_s: float
    end_s: float


class Model:
    """Targets, pools and arrivals put together.

    Between the two times of ``gap_s`` all packets to targets are lost, as when
    a standby is dead and not yet noticed. ``pools`` are what decides; ``route``
    names, for the decider that a request came to, the pools to ask in turn;
    ``hops`` counts the messages that a request takes until its target has it.
    """

    def __init__(self, targets: list[Target], profiles: dict[str, Profile], seed: int):
        self.timeline = Timeline()
        self.chance = random.Random(seed)
        self.profiles = profiles
        self.config = {target.name: target for target in targets}
        self.targets = {}
        for target in targets:
            self.targets.setdefault(
                target.host,
                ModelTarget(self.timeline, target.host, target.slots, self.chance),
            )
        self.tallies = {service: Tally() for service in profiles}
        self.pools: list = []
        self.route: Callable[[int], list[int]] = lambda decider: [decider]
        self.hops = 3
        self.weights = [1.0]
        self.warm_at: float | None = None
        self.gap_s = (0.0, 0.0)
        self._waiting: dict[bytes, Request] = {}
        self._numbers = count()

    def offer(self, load: Load):
        """Let requests of a service come, at random, at a mean rate."""
        self.timeline.later(load.start_s - self.timeline.now, self._next, load)

    def run(self, until_s: float):
        """Run the model up to a time."""
        self._tick(until_s)
        self.timeline.run(until_s)

    def _tick(self, until_s):
        now = self.timeline.now
        for pool in self.pools:
            self._settle(pool.tick(now))
        if now + TICK_S < until_s:
            self.timeline.later(TICK_S, self._tick, until_s)

    def _next(self, load):
        if self.timeline.now >= load.end_s:
            return
        self.timeline.later(self.chance.expovariate(load.rate), self._next, load)
        self.tallies[load.service].offered += 1
        decider = self.chance.choices(range(len(self.weights)), self.weights)[0]
        req = Request(next(self._numbers), load.service, self.timeline.now)
        self._ask(req, self.route(decider))

    def _ask(self, req, pools):
        """Ask the pools for a free slot, and then, one by one, to wait."""
        claim = Claim(
            b"%d" % req.number,
            req.service,
            self.profiles[req.service].priority,
            req.arrived + DEADLINE_S,
        )
        tries = [(pool, False) for pool in pools if len(pools) > 1]
        for pool, wait in tries + [(pool, True) for pool in pools]:
            req.owner = pool
            verdict = self.pools[pool].claim(claim, self.timeline.now, wait=wait)
            if not isinstance(verdict, Rejected):
                break
        self._waiting[claim.claim_id] = req
        self._settle([verdict])

    def _settle(self, verdicts):
        for verdict in verdicts:
            if isinstance(verdict, Granted):
                req = self._waiting.pop(verdict.claim_id)
                req.target = verdict.target
                self.timeline.later(self.hops * HOP_S, self._send, req)
            elif isinstance(verdict, Rejected):
                req = self._waiting.pop(verdict.claim_id)
                self._count(req, "refused")

    def _send(self, req):
        host = self.config[req.target].host
        ended = []

        def answer(outcome):
            if not ended:
                ended.append(outcome)
                self._end(req, outcome)

        left_s = req.arrived + DEADLINE_S - self.timeline.now
        self.timeline.later(max(0.0, left_s), answer, Outcome.LOST)
        start_s, end_s = self.gap_s
        if not start_s <= self.timeline.now < end_s:
            self.targets[host].arrive(answer)

    def _end(self, req, outcome):
        now = self.timeline.now
        if outcome is Outcome.GOOD:
            self.tallies[req.service].latencies_s.append(now - req.arrived)
            self.tallies[req.service].ends.append((now, True))
        else:
            self._count(req, "lost" if outcome is Outcome.LOST else "shed")
        max_age_s = SHED_MAX_AGE_S if outcome is Outcome.SHED else 0.0
        claim_id = b"%d" % req.number
        pool = self.pools[req.owner]
        self._settle(pool.release(claim_id, outcome, now, max_age_s))

    def _count(self, req, what):
        tally = self.tallies[req.service]
        setattr(tally, what, getattr(tally, what) + 1)
        tally.ends.append((self.timeline.now, False))


def site_targets(
    number: int, services: tuple[str, ...], domains: int = 4, slots: int = 2
) -> list[Target]:
    """Make hosts, spread over domains, that all serve the given services."""
    return [
        Target(f"{service}-{i}", service, f"d{i % domains}", f"h{i}", 6080, slots)
        for i in range(number)
        for service in services
    ]


def warm_up(model: Model):
    """Let every pool know every target as warm."""
    for pool in model.pools:
        for allowance in getattr(pool, "hosts", {}).values():
            allowance.limit = allowance.ceiling


PLAIN = Profile("plain", priority=Priority.NORMAL)
