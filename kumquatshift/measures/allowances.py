"""Compares schemes by which entries share the capacity of targets.

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
    MEAN_SERVICE_S,
    PLAIN,
    TICK_S,
    Load,
    Model,
    site_targets,
    warm_up,
)

DECIDERS = 9
HOSTS = 7
SLOTS = 2
CAPACITY = HOSTS * SLOTS / MEAN_SERVICE_S
RUN_S = 40.0
SEED = 20

#: Owners report their load with each heartbeat.
HEARTBEAT_S = 1.0

#: Owners asked after the first one: for a free slot, and then to queue the request.
OTHER_OWNERS_TRIED = 2
SERVICE = "stock"
PROFILES = {SERVICE: PLAIN}

#: Relative shares of the flows of which each entry is primary. They are unequal.
ENTRY_WEIGHTS = [0.5, 0.6, 0.8, 0.9, 1.0, 1.1, 1.2, 1.4, 1.5]


class RoundRobinPool:
    """Naive baseline: round robin over the targets, whatever their capacity."""

    def __init__(self, targets: list[Target]):
        self.targets, self.next_index = targets, 0

    def claim(self, claim: Claim, now: float, wait: bool = True):
        """Grant the next target."""
        self.next_index += 1
        target = self.targets[self.next_index % len(self.targets)]
        return Granted(claim.claim_id, target.name)

    def release(self, claim_id, outcome, now, max_age_s=0.0):
        """Ignore the outcome."""
        return []

    def tick(self, now):
        """Do nothing."""
        return []


class ConfidencePool:
    """Admission control by upper confidence bounds on the cost of a request.

    For each target, each deciding entry keeps an upper confidence bound on the slot
    time that one request takes (a full second for a shed or lost one). It estimates
    the target's capacity as the number of slots divided by that bound, shared equally
    by all deciding entries. It admits the share of its arrivals that fits the total,
    and spreads them over the targets in proportion to their capacity.
    """

    def __init__(self, targets: list[Target], rng, deciders: int):
        self.targets, self.rng, self.deciders = targets, rng, deciders
        self.sums = {target.name: 0.0 for target in targets}
        self.counts = {target.name: 0 for target in targets}
        self.leases: dict[bytes, tuple[str, float]] = {}
        self.arrivals: list[float] = []
        self.rounds = 1

    def claim(self, claim: Claim, now: float, wait: bool = True):
        """Admit a claim with the probability that fits the capacity; never queue it."""
        self.rounds += 1
        self.arrivals = [at for at in self.arrivals if now - at < 5.0]
        self.arrivals.append(now)
        rate = len(self.arrivals) / min(5.0, max(1.0, now))
        capacities = [
            target.slots / self._cost_bound_s(target.name) / self.deciders
            for target in self.targets
        ]
        if self.rng.random() > sum(capacities) / rate:
            return Rejected(claim.claim_id, Rejection.QUEUE_FULL, 1.0)
        target = self.rng.choices(self.targets, capacities)[0]
        self.leases[claim.claim_id] = (target.name, now)
        return Granted(claim.claim_id, target.name)

    def release(self, claim_id, outcome, now, max_age_s=0.0):
        """Record the slot time that the request took."""
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


class ConfidenceLimiter(ConcurrencyLimiter):
    """Raises the limit only if a confidence bound shows that the target can take it.

    It is the lower confidence bound on the probability that a request at the
    current limit is answered without a jump in latency; it must be at least
    `MIN_BOUND_TO_GROW`.
    """

    def record_success(
        self, service: str, latency_s: float, peer_latency_s: float, now: float
    ):
        """Record a success; raise the limit by one if the bound allows it."""
        seen = self.consecutive_successes
        super().record_success(service, latency_s, peer_latency_s, now)
        if self.consecutive_successes > seen and self._bound() < MIN_BOUND_TO_GROW:
            return
        self.limit = min(self.ceiling, self.limit + (self.consecutive_successes > seen))

    def _seems_warm(self, peer_latency_s, now):
        return False

    def _bound(self):
        answers = max(2, self.consecutive_successes)
        return math.exp(-math.log(answers) / answers)


MIN_BOUND_TO_GROW = 0.9


def _divergence(mean, other):
    mean = min(max(mean, 1e-9), 1 - 1e-9)
    other = min(max(other, 1e-9), 1 - 1e-9)
    return mean * math.log(mean / other) + (1 - mean) * math.log(
        (1 - mean) / (1 - other)
    )


@dataclass(frozen=True)
class Scheme:
    """A way to share targets; ``messages`` counts those between entries."""

    name: str
    messages: int
    build: Callable[[Model], None]


def _pool(targets, profiles=PROFILES):
    return SlotPool.from_config(profiles, targets, 0.0)


def _naive(model):
    targets = list(model.config.values())
    model.pools = [RoundRobinPool(targets) for _ in range(DECIDERS)]
    for pool in model.pools:
        pool.next_index = model.rng.randrange(HOSTS)


def _independent(model):
    targets = list(model.config.values())
    model.pools = [_pool(targets) for _ in range(DECIDERS)]


def _fixed_slots(model):
    """Assign each slot permanently to one deciding entry."""
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
    known_loads = [0.0] * len(sizes)

    def update_known_loads():
        known_loads[:] = [pool.load() for pool in model.pools]
        model.timeline.call_later(HEARTBEAT_S, update_known_loads)

    update_known_loads()

    def route(decider):
        first = min(model.rng.choices(indexes, sizes, k=2), key=known_loads.__getitem__)
        others = [i for i in indexes if i != first]
        model.rng.shuffle(others)
        return [first, *others[:OTHER_OWNERS_TRIED]]

    model.route = route
    model.hops = 5


def _primary_per_domain(model):
    """Have one primary per domain decide for the targets of the domain."""
    groups = {}
    for target in model.config.values():
        groups.setdefault(target.domain, []).append(target)
    model.pools = [_pool(targets, model.profiles) for targets in groups.values()]
    sizes = [len(targets) for targets in groups.values()]
    model.route = lambda flow: model.rng.choices(range(len(sizes)), sizes)


def _primary_per_service(model):
    """Have the primary of the service decide for all its targets."""
    model.pools = [_pool(list(model.config.values()), model.profiles)]
    model.route = lambda flow: [0]


def _primary_with_bounds(model):
    """Use one primary per service, with limits that grow by confidence bounds."""
    _primary_per_service(model)
    hosts = model.pools[0].hosts
    for host, limiter in hosts.items():
        hosts[host] = ConfidenceLimiter(limiter.ceiling, limiter.since)


SCHEMES = (
    Scheme("naive round robin", 2, _naive),
    Scheme("independent shares", 2, _independent),
    Scheme("fixed shares, a slot each", 2, _fixed_slots),
    Scheme("confidence bounds", 2, _confidence),
    Scheme("owner per target", 5, lambda model: _owner_per(model, lambda t: t.host)),
    Scheme("owner per domain", 5, lambda model: _owner_per(model, lambda t: t.domain)),
    Scheme("owner per service", 5, lambda model: _owner_per(model, lambda t: "")),
    Scheme("primary per domain", 2, _primary_per_domain),
    Scheme("primary per service", 2, _primary_per_service),
    Scheme("the same, bounds for growth", 2, _primary_with_bounds),
)


def build(scheme: Scheme, seed: int = SEED) -> Model:
    """Create a model that uses a scheme, with all targets warm."""
    model = Model(site_targets(HOSTS, (SERVICE,)), PROFILES, seed)
    model.weights = ENTRY_WEIGHTS
    scheme.build(model)
    warm_up(model)
    return model


def offered(
    scheme: Scheme, share: float, seconds: float = RUN_S, seed: int = SEED
) -> Model:
    """Run a scheme with an offered load that is a share of the capacity."""
    model = build(scheme, seed)
    model.offer(Load(SERVICE, share * CAPACITY, 0.0, seconds))
    model.run(seconds)
    return model


def with_cold_start(scheme: Scheme, seed: int = SEED) -> Model:
    """Run at 70% of the capacity with one target cold at the start."""
    model = build(scheme, seed)
    _note_when_warm(model, "h0")
    cold = model.targets["h0"]
    cold.make_cold()
    for pool in model.pools:
        if isinstance(pool, SlotPool):
            pool.reset_host("h0", 0.0)
    model.offer(Load(SERVICE, 0.7 * CAPACITY, 0.0, RUN_S))
    model.run(RUN_S)
    return model


def _note_when_warm(model, host):
    """Set ``model.warm_at`` when the limit of the host has reached all its slots."""

    def check_warm():
        pools = [pool for pool in model.pools if host in getattr(pool, "hosts", ())]
        now = model.timeline.now
        if now and any(pool.hosts[host].is_warm for pool in pools):
            model.warm_at = now
        else:
            model.timeline.call_later(TICK_S, check_warm)

    check_warm()


def with_unreported_cold_starts(scheme: Scheme, seed: int = SEED) -> Model:
    """Run at 70% of the capacity; one target turns cold three times, unreported."""
    model = build(scheme, seed)
    for at in (5.0, 15.0, 25.0):
        model.timeline.call_later(at, model.targets["h1"].make_cold)
    model.offer(Load(SERVICE, 0.7 * CAPACITY, 0.0, RUN_S))
    model.run(RUN_S)
    return model


def with_false_health_reports(scheme: Scheme, lag_s: float = 0.0) -> Model:
    """Run at 70% of the capacity; one target fails fast for 20 s and reports no load.

    The reports of all targets are ``lag_s`` old when they arrive.
    """
    model = build(scheme)
    failing = model.targets["h2"]

    def report_loads():
        for pool in model.pools:
            if isinstance(pool, SlotPool):
                for host, target in model.targets.items():
                    load = 0.0 if target is failing else 0.7
                    pool.report(host, load, model.timeline.now - lag_s)
        model.timeline.call_later(1.0, report_loads)

    report_loads()
    model.timeline.call_later(5.0, setattr, failing, "is_failing", True)
    model.timeline.call_later(25.0, setattr, failing, "is_failing", False)
    model.offer(Load(SERVICE, 0.7 * CAPACITY, 0.0, RUN_S))
    model.run(RUN_S)
    return model


def imbalance(model: Model) -> float:
    """Return the maximum over the mean of the targets' busy times."""
    work = [target.busy_s for target in model.targets.values()]
    return max(work) * len(work) / sum(work)


def row(scheme: Scheme) -> list:
    """Measure one scheme; return its row of the table."""
    steady, full = offered(scheme, 0.7), offered(scheme, 0.95)
    flood, start = offered(scheme, 3.0, 20.0), with_cold_start(scheme)
    unreported, false_reports = (
        with_unreported_cold_starts(scheme),
        with_false_health_reports(scheme),
    )
    late_false_reports = with_false_health_reports(scheme, lag_s=30.0)
    tally = steady.tallies[SERVICE]
    return [
        scheme.name,
        scheme.messages,
        sum(target.overloads for target in steady.targets.values()),
        start.targets["h0"].cold_overloads,
        "" if start.warm_at is None else f"{start.warm_at:.1f}",
        unreported.targets["h1"].cold_overloads,
        start.targets["h0"].crashes + unreported.targets["h1"].crashes,
        false_reports.tallies[SERVICE].shed,
        late_false_reports.tallies[SERVICE].shed,
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
