"""Discrete-event simulation of targets under load, and of entries that share them.

A target has slots; a cold one can run one request at a time, is slower, and crashes
if it gets many more. Entries grant the slots from pools. Time is simulated and
the random generator is seeded, so every run gives the same results.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from ..engine.objects import Priority, Profile, Target
from ..engine.priority import Claim
from ..engine.slots import Granted, Outcome, Rejected

MEAN_SERVICE_S = 0.1
SERVICE_SHAPE = 4.0
COLD_SLOWDOWN = 4.0
COLD_DURATION_S = 5.0
COLD_SLOTS = 1
CRASH_EXCESS_REQUESTS = 3
CRASH_WINDOW_S = 1.0
CRASH_DOWNTIME_S = 2.0
TARGET_BACKLOG = 2
HOP_LATENCY_S = 0.0005
TICK_S = 0.05
DEADLINE_S = 5.0
SHED_MAX_AGE_S = 1.0
FAILURE_LATENCY_S = 0.005


class Timeline:
    """Simulated clock; makes scheduled calls in the order of their times."""

    def __init__(self):
        self.now = 0.0
        self._calls: list[tuple[float, int, Callable, tuple]] = []
        self._order = count()

    def call_later(self, delay_s: float, call: Callable, *args):
        """Schedule ``call`` after a delay in seconds."""
        when = self.now + delay_s
        heapq.heappush(self._calls, (when, next(self._order), call, args))

    def run(self, until_s: float):
        """Make all calls that are due up to a time."""
        while self._calls and self._calls[0][0] <= until_s:
            self.now, _, call, args = heapq.heappop(self._calls)
            call(*args)
        self.now = until_s


@dataclass
class Request:
    """A request in the model; ``owner`` is the index of the pool that decides on it."""

    number: int
    service: str
    arrived: float
    owner: int = 0
    target: str = ""


class ModelTarget:
    """A host with slots; it may be cold, fail requests, or crash."""

    def __init__(self, timeline: Timeline, host: str, slots: int, rng):
        self.timeline, self.host, self.slots, self.rng = (
            timeline,
            host,
            slots,
            rng,
        )
        self.running = 0
        self.waiting: list = []
        self.cold_until = 0.0
        self.down_until = 0.0
        self.is_failing = False
        self.generation = 0
        self.excess_at: list[float] = []
        self.busy_s = 0.0
        self.overloads = self.cold_overloads = self.sheds = self.crashes = 0

    def is_cold(self) -> bool:
        """Return whether the host has reduced capacity now."""
        return self.timeline.now < self.cold_until

    def make_cold(self):
        """Turn cold, as after a restart or a loss of caches, without any report."""
        self.cold_until = self.timeline.now + COLD_DURATION_S

    def arrive(self, answer: Callable[[Outcome], None]):
        """Receive a request; ``answer`` gets its outcome, or is never called."""
        if self.timeline.now < self.down_until:
            return
        if self.is_failing:
            self.timeline.call_later(FAILURE_LATENCY_S, answer, Outcome.FAILED)
            return
        usable_slots = COLD_SLOTS if self.is_cold() else self.slots
        if self.running < usable_slots:
            self._run(answer)
            return
        self._count_excess()
        if self.timeline.now < self.down_until:
            return
        if not self.is_cold() and len(self.waiting) < TARGET_BACKLOG:
            self.waiting.append(answer)
            return
        self.sheds += 1
        self.timeline.call_later(0.0, answer, Outcome.SHED)

    def _count_excess(self):
        now = self.timeline.now
        self.overloads += 1
        if not self.is_cold():
            return
        self.cold_overloads += 1
        self.excess_at = [at for at in self.excess_at if now - at < CRASH_WINDOW_S]
        self.excess_at.append(now)
        if len(self.excess_at) >= CRASH_EXCESS_REQUESTS:
            self._crash()

    def _crash(self):
        self.crashes += 1
        self.generation += 1
        self.running = 0
        self.waiting.clear()
        self.excess_at.clear()
        self.down_until = self.timeline.now + CRASH_DOWNTIME_S
        self.cold_until = self.down_until + COLD_DURATION_S

    def _run(self, answer):
        self.running += 1
        service_s = self.rng.gammavariate(SERVICE_SHAPE, MEAN_SERVICE_S / SERVICE_SHAPE)
        if self.is_cold():
            service_s *= COLD_SLOWDOWN
        self.busy_s += service_s
        self.timeline.call_later(service_s, self._end, answer, self.generation)

    def _end(self, answer, generation):
        if generation != self.generation:
            return
        self.running -= 1
        answer(Outcome.GOOD)
        if self.waiting:
            self._run(self.waiting.pop(0))


@dataclass
class Tally:
    """Outcomes of the requests of one service.

    ``completions`` has the time of each outcome, and whether it was a success.
    """

    offered: int = 0
    refused: int = 0
    shed: int = 0
    lost: int = 0
    latencies_s: list[float] = field(default_factory=list)
    completions: list[tuple[float, bool]] = field(default_factory=list)

    @property
    def answered_share(self) -> float:
        """Share of the offered requests that were answered successfully."""
        return len(self.latencies_s) / max(1, self.offered)

    def p99_s(self) -> float:
        """Return the 99th percentile of the latencies in seconds."""
        ordered = sorted(self.latencies_s) or [0.0]
        return ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]


@dataclass(frozen=True)
class Load:
    """Requests of one service at a mean rate per second between two times."""

    service: str
    rate: float
    start_s: float
    end_s: float


class Model:
    """Simulation of arrivals, the pools that grant slots, and the targets.

    Between the two times of ``loss_window_s`` all packets to targets are lost, as
    when a standby has died and this is not yet detected. ``weights`` are the relative
    shares of the requests that arrive at each entry; ``route`` maps the index of that
    entry to the indexes of the ``pools`` to ask one after another. ``hops`` is the
    number of messages until a request reaches its target.
    """

    def __init__(self, targets: list[Target], profiles: dict[str, Profile], seed: int):
        self.timeline = Timeline()
        self.rng = random.Random(seed)
        self.profiles = profiles
        self.config = {target.name: target for target in targets}
        self.targets = {}
        for target in targets:
            self.targets.setdefault(
                target.host,
                ModelTarget(self.timeline, target.host, target.slots, self.rng),
            )
        self.tallies = {service: Tally() for service in profiles}
        self.pools: list = []
        self.route: Callable[[int], list[int]] = lambda decider: [decider]
        self.hops = 3
        self.weights = [1.0]
        self.warm_at: float | None = None
        self.loss_window_s = (0.0, 0.0)
        self._waiting: dict[bytes, Request] = {}
        self._numbers = count()

    def offer(self, load: Load):
        """Schedule requests of a service as a Poisson process."""
        self.timeline.call_later(
            load.start_s - self.timeline.now, self._next_arrival, load
        )

    def run(self, until_s: float):
        """Run the simulation up to a time."""
        self._tick(until_s)
        self.timeline.run(until_s)

    def _tick(self, until_s):
        now = self.timeline.now
        for pool in self.pools:
            self._handle_verdicts(pool.tick(now))
        if now + TICK_S < until_s:
            self.timeline.call_later(TICK_S, self._tick, until_s)

    def _next_arrival(self, load):
        if self.timeline.now >= load.end_s:
            return
        self.timeline.call_later(
            self.rng.expovariate(load.rate), self._next_arrival, load
        )
        self.tallies[load.service].offered += 1
        decider = self.rng.choices(range(len(self.weights)), self.weights)[0]
        req = Request(next(self._numbers), load.service, self.timeline.now)
        self._request_slot(req, self.route(decider))

    def _request_slot(self, req, pools):
        """Ask each pool for a free slot, and then each to queue the request.

        The first round is left out if there is only one pool.
        """
        claim = Claim(
            b"%d" % req.number,
            req.service,
            self.profiles[req.service].priority,
            req.arrived + DEADLINE_S,
        )
        attempts = [(pool, False) for pool in pools if len(pools) > 1]
        for pool, wait in attempts + [(pool, True) for pool in pools]:
            req.owner = pool
            verdict = self.pools[pool].claim(claim, self.timeline.now, wait=wait)
            if not isinstance(verdict, Rejected):
                break
        self._waiting[claim.claim_id] = req
        self._handle_verdicts([verdict])

    def _handle_verdicts(self, verdicts):
        for verdict in verdicts:
            if isinstance(verdict, Granted):
                req = self._waiting.pop(verdict.claim_id)
                req.target = verdict.target
                self.timeline.call_later(self.hops * HOP_LATENCY_S, self._send, req)
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
        self.timeline.call_later(max(0.0, left_s), answer, Outcome.LOST)
        start_s, end_s = self.loss_window_s
        if not start_s <= self.timeline.now < end_s:
            self.targets[host].arrive(answer)

    def _end(self, req, outcome):
        now = self.timeline.now
        if outcome is Outcome.GOOD:
            self.tallies[req.service].latencies_s.append(now - req.arrived)
            self.tallies[req.service].completions.append((now, True))
        else:
            self._count(req, "lost" if outcome is Outcome.LOST else "shed")
        max_age_s = SHED_MAX_AGE_S if outcome is Outcome.SHED else 0.0
        claim_id = b"%d" % req.number
        pool = self.pools[req.owner]
        self._handle_verdicts(pool.release(claim_id, outcome, now, max_age_s))

    def _count(self, req, outcome_name):
        tally = self.tallies[req.service]
        setattr(tally, outcome_name, getattr(tally, outcome_name) + 1)
        tally.completions.append((self.timeline.now, False))


def site_targets(
    number: int, services: tuple[str, ...], domains: int = 4, slots: int = 2
) -> list[Target]:
    """Create targets: each host, in one of the domains, serves all the services."""
    return [
        Target(f"{service}-{i}", service, f"d{i % domains}", f"h{i}", 6080, slots)
        for i in range(number)
        for service in services
    ]


def warm_up(model: Model):
    """Mark every target as warm in every pool, by raising its limit to the ceiling."""
    for pool in model.pools:
        for limiter in getattr(pool, "hosts", {}).values():
            limiter.limit = limiter.ceiling


PLAIN = Profile("plain", priority=Priority.NORMAL)
