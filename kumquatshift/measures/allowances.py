"""Ways to share targets among entries, in one table.

Run it with ``python -m kumquatshift.measures.allowances``; it takes about a
minute and prints the table of docs/DESIGN-REQUESTS.md.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from tabulate import tabulate

from ..engine.concurrency_limiter import ConcurrencyLimiter
from ..engine.objects import Target
from ..engine.priority import Claim
from ..engine.slots import Granted, Outcome, Rejected, Rejection, SlotPool
from .load_model import (
    PLAIN,
    SERVICE_S,
    TICK_S,
    Load,
    Model,
    site_targets,
    warm_up,
)

DECIDERS = 9
HOSTS = 7
SLOTS = 2
CAPACITY = HOSTS * SLOTS / SERVICE_S
RUN_S = 40.0
SEED = 20

#: Owners tell their backlog with each heartbeat.
HEARTBEAT_S = 1.0

#: Owners that are asked besides the first: for a free slot, then to wait.
TRIES_ELSEWHERE = 2
SERVICE = "stock"
PROFILES = {SERVICE: PLAIN}

#: Unequal shares of the flows that the entries are primary of.
SPRAY = [0.5, 0.6, 0.8, 0.9, 1.0, 1.1, 1.2, 1.4, 1.5]


class RoundRobinPool:
    """The naive version: each target in turn, whatever it bears."""

    def __init__(self, targets: list[Target]):
        self.targets, self.turn = targets, 0

    def claim(self, claim: Claim, now: float, wait: bool = True):
        """Grant the next target."""
        self.turn += 1
        target = self.targets[self.turn % len(self.targets)]
        return Granted(claim.claim_id, target.name)

    def release(self, claim_id, outcome, now, max_age_s=0.0):
        """Learn nothing."""
        return []

    def tick(self, now):
        """Do nothing."""
        return []


class ConfidencePool:
    """Confidence bounds on unknown capacity.

    Each decider keeps, for each target, an upper confidence bound on the slot
    time that one request costs (a shed or lost one costs the whole second),
    and takes the target's capacity for slots over that bound, shared by all
    deciders. It admits the share of its arrivals that fits, and spreads them
    in proportion.
    """

    def __init__(self, targets: list[Target], chance, deciders: int):
        self.targets, self.chance, self.deciders = targets, chance, deciders
        self.sums = {target.name: 0.0 for target in targets}
        self.counts = {target.name: 0 for target in targets}
        self.leases: dict[bytes, tuple[str, float]] = {}
        self.arrivals: list[float] = []
        self.rounds = 1

    def claim(self, claim: Claim, now: float, wait: bool = True):
        """Admit a claim with the share that fits; never let it wait."""
        self.rounds += 1
        self.arrivals = [at for at in self.arrivals if now - at < 5.0]
        self.arrivals.append(now)
        rate = len(self.arrivals) / min(5.0, max(1.0, now))
        bears = [
            target.slots / self._cost_bound_s(target.name) / self.deciders
            for target in self.targets
        ]
        if self.chance.random() > sum(bears) / rate:
            return Rejected(claim.claim_id, Rejection.QUEUE_FULL, 1.0)
        target = self.chance.choices(self.targets, bears)[0]
        self.leases[claim.claim_id] = (target.name, now)
        return Granted(claim.claim_id, target.name)

    def release(self, claim_id, outcome, now, max_age_s=0.0):
        """Learn what the request cost."""
        name, since = self.leases.pop(claim_id)
        cost_s = min(1.0, now - since) if outcome is Outcome.GOOD else 1.0
        self.sums[name] += cost_s
        self.counts[name] += 1
        return []

    def tick(self, now):
        """Do nothing."""
        return []

    def _cost_bound_s(self, name):
        if not self.counts[name]:
            return 1.0
        mean = self.sums[name] / self.counts[name]
        limit = math.log(self.rounds) / self.counts[name]
        low, high = mean, 1.0
        for _ in range(20):
            middle = (low + high) / 2
            if _divergence(mean, middle) > limit:
                high = middle
            else:
                low = middle
        return max(low, 1e-3)


class ConfidenceAllowance(ConcurrencyLimiter):
    """Grows only when a confidence bound says that the target bears it.

    The bound is the lower one on the chance that a request at the present
    limit is answered in a usual time; it must pass `BOUND_TO_GROW`.
    """

    def record_success(
        self, service: str, latency_s: float, peer_latency_s: float, now: float
    ):
        """Note an answer; with no jump and enough of them, allow one more."""
        seen = self.consecutive_successes
        super().record_success(service, latency_s, peer_latency_s, now)
        if self.consecutive_successes > seen and self._bound() < BOUND_TO_GROW:
            return
        self.limit = min(self.ceiling, self.limit + (self.consecutive_successes > seen))

    def _seems_warm(self, peer_latency_s, now):
        return False

    def _bound(self):
        answers = max(2, self.consecutive_successes)
        return math.exp(-math.log(answers) / answers)


BOUND_TO_GROW = 0.9


def _divergence(mean, other):
    mean = min(max(mean, 1e-9), 1 - 1e-9)
    other = min(max(other, 1e-9), 1 - 1e-9)
    return mean * math.log(mean / other) + (1 - mean) * math.log(
        (1 - mean) / (1 - other)
    )


@dataclass(frozen=True)
class Scheme:
    """One way to share targets; ``messages`` are those between entries."""

    name: str
    messages: int
    build: Callable[[Model], None]


def _pool(targets, profiles=PROFILES):
    return SlotPool.from_config(profiles, targets, 0.0)


def _naive(model):
    targets = list(model.config.values())
    model.pools = [RoundRobinPool(targets) for _ in range(DECIDERS)]
    for pool in model.pools:
        pool.turn = model.chance.randrange(HOSTS)


def _independent(model):
    targets = list(model.config.values())
    model.pools = [_pool(targets) for _ in range(DECIDERS)]


def _ranked(model):
    """Give each slot to one decider for good."""
    owned = [[] for _ in range(DECIDERS)]
    slots = [(target, n) for n in range(SLOTS) for target in model.config.values()]
    for i, (target, _) in enumerate(slots):
        owned[i % DECIDERS].append(
            Target(target.name, SERVICE, target.domain, target.host, 6080, 1)
        )
    model.pools = [_pool(targets) for targets in owned]


def _confidence(model):
    targets = list(model.config.values())
    model.pools = [
        ConfidencePool(targets, random.Random(i), DECIDERS) for i in range(DECIDERS)
    ]


def _owner_per(model, group):
    groups = {}
    for target in model.config.values():
        groups.setdefault(group(target), []).append(target)
    model.pools = [_pool(targets, model.profiles) for targets in groups.values()]
    sizes = [len(targets) for targets in groups.values()]
    indexes = range(len(sizes))
    known = [0.0] * len(sizes)

    def hear():
        known[:] = [pool.load() for pool in model.pools]
        model.timeline.later(HEARTBEAT_S, hear)

    hear()

    def route(decider):
        first = min(model.chance.choices(indexes, sizes, k=2), key=known.__getitem__)
        others = [i for i in indexes if i != first]
        model.chance.shuffle(others)
        return [first, *others[:TRIES_ELSEWHERE]]

    model.route = route
    model.hops = 5


def _primary_per_domain(model):
    """Let a domain's primary of the service decide for the domain's targets."""
    groups = {}
    for target in model.config.values():
        groups.setdefault(target.domain, []).append(target)
    model.pools = [_pool(targets, model.profiles) for targets in groups.values()]
    sizes = [len(targets) for targets in groups.values()]
    model.route = lambda flow: model.chance.choices(range(len(sizes)), sizes)


def _primary_per_service(model):
    """Let the service's primary decide for all its targets."""
    model.pools = [_pool(list(model.config.values()), model.profiles)]
    model.route = lambda flow: [0]


def _primary_with_bounds(model):
    """Let growth of the allowances wait for confidence bounds."""
    _primary_per_service(model)
    hosts = model.pools[0].hosts
    for host, allowance in hosts.items():
        hosts[host] = ConfidenceAllowance(allowance.ceiling, allowance.since)


SCHEMES = (
    Scheme("naive round robin", 2, _naive),
    Scheme("independent shares", 2, _independent),
    Scheme("fixed shares, a slot each", 2, _ranked),
    Scheme("confidence bounds", 2, _confidence),
    Scheme("owner per target", 5, lambda model: _owner_per(model, lambda t: t.host)),
    Scheme("owner per domain", 5, lambda model: _owner_per(model, lambda t: t.domain)),
    Scheme("owner per service", 5, lambda model: _owner_per(model, lambda t: "")),
    Scheme("primary per domain", 2, _primary_per_domain),
    Scheme("primary per service", 2, _primary_per_service),
    Scheme("the same, bounds for growth", 2, _primary_with_bounds),
)


def build(scheme: Scheme, seed: int = SEED) -> Model:
    """Make a model of the site, shared by a scheme, with all targets warm."""
    model = Model(site_targets(HOSTS, (SERVICE,)), PROFILES, seed)
    model.weights = SPRAY
    scheme.build(model)
    warm_up(model)
    return model


def offered(
    scheme: Scheme, share: float, seconds: float = RUN_S, seed: int = SEED
) -> Model:
    """Run a scheme at a share of the capacity."""
    model = build(scheme, seed)
    model.offer(Load(SERVICE, share * CAPACITY, 0.0, seconds))
    model.run(seconds)
    return model


def with_cold_start(scheme: Scheme, seed: int = SEED) -> Model:
    """Admit one target that is cold, at 70% of the capacity."""
    model = build(scheme, seed)
    _note_when_warm(model, "h0")
    cold = model.targets["h0"]
    cold.turn_cold()
    for pool in model.pools:
        if isinstance(pool, SlotPool):
            pool.reset_host("h0", 0.0)
    model.offer(Load(SERVICE, 0.7 * CAPACITY, 0.0, RUN_S))
    model.run(RUN_S)
    return model


def _note_when_warm(model, host):
    """Set ``model.warm_at`` once a decider gives the host all its slots."""

    def look():
        pools = [pool for pool in model.pools if host in getattr(pool, "hosts", ())]
        now = model.timeline.now
        if now and any(pool.hosts[host].is_warm for pool in pools):
            model.warm_at = now
        else:
            model.timeline.later(TICK_S, look)

    look()


def with_silent_turn(scheme: Scheme, seed: int = SEED) -> Model:
    """Let a target turn cold without a sign, three times, at 70%."""
    model = build(scheme, seed)
    for at in (5.0, 15.0, 25.0):
        model.timeline.later(at, model.targets["h1"].turn_cold)
    model.offer(Load(SERVICE, 0.7 * CAPACITY, 0.0, RUN_S))
    model.run(RUN_S)
    return model


def with_liar(scheme: Scheme, lag_s: float = 0.0) -> Model:
    """Let a target fail fast for 20 s, and say that it is idle, at 70%."""
    model = build(scheme)
    failing = model.targets["h2"]

    def say():
        for pool in model.pools:
            if isinstance(pool, SlotPool):
                for host, target in model.targets.items():
                    load = 0.0 if target is failing else 0.7
                    pool.report(host, load, model.timeline.now - lag_s)
        model.timeline.later(1.0, say)

    say()
    model.timeline.later(5.0, setattr, failing, "is_failing", True)
    model.timeline.later(25.0, setattr, failing, "is_failing", False)
    model.offer(Load(SERVICE, 0.7 * CAPACITY, 0.0, RUN_S))
    model.run(RUN_S)
    return model


def imbalance(model: Model) -> float:
    """Return the greatest work of a target over the mean."""
    work = [target.busy_s for target in model.targets.values()]
    return max(work) * len(work) / sum(work)


def row(scheme: Scheme) -> list:
    """Measure one scheme; one row of the table."""
    steady, full = offered(scheme, 0.7), offered(scheme, 0.95)
    flood, start = offered(scheme, 3.0, 20.0), with_cold_start(scheme)
    turn, liar = with_silent_turn(scheme), with_liar(scheme)
    lagging = with_liar(scheme, lag_s=30.0)
    tally = steady.tallies[SERVICE]
    return [
        scheme.name,
        scheme.messages,
        sum(target.overloads for target in steady.targets.values()),
        start.targets["h0"].cold_overloads,
        "" if start.warm_at is None else f"{start.warm_at:.1f}",
        turn.targets["h1"].cold_overloads,
        start.targets["h0"].falls + turn.targets["h1"].falls,
        liar.tallies[SERVICE].shed,
        lagging.tallies[SERVICE].shed,
        f"{1 - tally.answered_share:.3f}",
        f"{tally.p99_s() * 1000:.0f}",
        f"{imbalance(steady):.2f}",
        f"{full.tallies[SERVICE].answered_share:.3f}",
        f"{len(flood.tallies[SERVICE].latencies_s) / (CAPACITY * 20.0):.3f}",
    ]


HEADERS = (
    "scheme",
    "messages",
    "overloads, 70%",
    "overloads, cold start",
    "warm after s",
    "overloads, silent turns",
    "falls",
    "failed, liar",
    "failed, liar 30 s late",
    "refused, 70%",
    "p99 ms, 70%",
    "max/mean, 70%",
    "answered, 95%",
    "goodput, 3x",
)


def main():
    """Print the table."""
    print(tabulate([row(scheme) for scheme in SCHEMES], HEADERS, "github"))


if __name__ == "__main__":
    main()
