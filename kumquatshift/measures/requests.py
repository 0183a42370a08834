"""Simulations of the request policy: its guarantees, load sharing and priorities."""

import random
from statistics import fmean

from aiocoap.numbers.codes import Code

from ..engine.objects import Priority, Profile
from . import allowances
from .allowances import CAPACITY, HOSTS, SCHEMES, SERVICE, Scheme
from .load_model import DEADLINE_S, Load, Model, site_targets, warm_up
from .measure import Measure, at_least, at_most, exactly, reported
from .naive_requests import naive_policy
from .request_schedules import Findings, play, random_schedule
from .request_site import Site

SEED = 11
SCHEDULES = 120
NAIVE_SCHEDULES = 20

#: The scheme that entries use; see docs/DESIGN-REQUESTS.md.
SCHEME = next(scheme for scheme in SCHEMES if scheme.name == "primary per service")

LOSS_SEEDS = 3
LOSS_REQUESTS = 80
LOSS_PAUSE_S = 0.25
LOSS_WARM_UP_S = 12.0

GAP_START_S = 10.0
GAP_S = 2.5
GAP_RUN_S = 30.0

ALERT = "alert"
REPORT = "report"
ALERT_SHARE = 0.2
REPORT_SHARE = 2.0
ALERT_RUN_S = 40.0
ALERT_PROFILES = {
    ALERT: Profile("urgent", priority=Priority.URGENT, reserved_share=0.5),
    REPORT: Profile("bulk", priority=Priority.BULK),
}

FLOOD = 3.0
FLOOD_S = 60.0
NORMAL_SHARE = 0.7
NORMAL_S = 20.0
RECOVERY_S = 5.0


def measure_promises() -> tuple[Measure, ...]:
    """Run random schedules of faults, and count violated invariants."""
    found, naive = _play(SCHEDULES), _play(NAIVE_SCHEDULES, make_policy=naive_policy)
    unknown = sum(
        count for (kind, _), count in found.refused.items() if kind == "outcome-unknown"
    )
    return (
        exactly("duplicate_runs", len(found.duplicate_runs), 0),
        exactly("false_not_run", len(found.false_not_run), 0),
        exactly("wrong_answers", len(found.wrong_answers), 0),
        at_least("naive_duplicate_runs", len(naive.duplicate_runs), 1),
        reported("schedule_requests", found.sent),
        reported("schedule_unknown_share", unknown / found.sent),
    )


def measure_entry_loss() -> tuple[Measure, ...]:
    """Stop or restart an entry under a steady load of non-idempotent requests."""
    return (
        reported("answered_share_primary_killed", _share_answered("kill", "e0")),
        reported("answered_share_primary_restarted", _share_answered("restart", "e0")),
        reported("answered_share_standby_killed", _share_answered("kill", "e1")),
    )


def measure_cold_targets() -> tuple[Measure, ...]:
    """Start with a cold target; in another run, let a warm one turn cold unreported."""
    start = allowances.with_cold_start(SCHEME).targets["h0"]
    unreported = allowances.with_unreported_cold_starts(SCHEME).targets["h1"]
    naive = allowances.with_cold_start(SCHEMES[0]).targets["h0"]
    crashes = start.crashes + unreported.crashes
    return (
        exactly("cold_overload", start.cold_overloads, 0),
        exactly("cold_falls", crashes, 0),
        reported("cold_overload_silent_turns", unreported.cold_overloads),
        reported("naive_cold_overload", naive.cold_overloads),
    )


def measure_steady_load() -> tuple[Measure, ...]:
    """Offer 70% and 95% of the capacity."""
    steady = allowances.offered(SCHEME, 0.7)
    full = allowances.offered(SCHEME, 0.95)
    return (
        at_most("imbalance_max_over_mean", allowances.imbalance(steady), 1.15),
        at_least("answered_share_at_95", full.tallies[SERVICE].answered_share, 0.95),
    )


def measure_priorities() -> tuple[Measure, ...]:
    """Run urgent requests alone, and together with bulk at twice the capacity."""
    alone, beside = alerts(SCHEME, 0.0), alerts(SCHEME, REPORT_SHARE)
    urgent, bulk = beside.tallies[ALERT], beside.tallies[REPORT]
    ratio = urgent.p99_s() / alone.tallies[ALERT].p99_s()
    moved = len(bulk.latencies_s) / (CAPACITY * ALERT_RUN_S)
    return (
        at_most("urgent_p99_ratio", ratio, 1.5),
        exactly("urgent_refused", urgent.refused + urgent.shed, 0),
        at_least("bulk_share_of_capacity", moved, 0.2),
    )


def measure_overload() -> tuple[Measure, ...]:
    """Offer three times the capacity for a minute, then 70% of it."""
    model = flood(SCHEME)
    return (
        at_least("goodput_overload_ratio", flood_goodput(model), 0.9),
        at_least("answered_share_after_overload", share_after_flood(model), 0.95),
        at_least("answered_share_after_gap", share_after_gap(gap(SCHEME)), 0.95),
    )


def gap(scheme: Scheme, seed: int = SEED) -> Model:
    """Offer 70% of the capacity, and lose all packets to targets for 2.5 s."""
    model = allowances.build(scheme, seed)
    model.loss_window_s = (GAP_START_S, GAP_START_S + GAP_S)
    model.offer(Load(SERVICE, NORMAL_SHARE * CAPACITY, 0.0, GAP_RUN_S))
    model.run(GAP_RUN_S)
    return model


def share_after_gap(model: Model) -> float:
    """Return the share of successes from `RECOVERY_S` after the packet loss on."""
    return _share_since(model, GAP_START_S + GAP_S + RECOVERY_S)


def alerts(
    scheme: Scheme,
    bulk: float,
    seed: int = SEED,
    profiles: dict[str, Profile] = ALERT_PROFILES,
) -> Model:
    """Run urgent requests together with bulk ones at ``bulk`` times the capacity."""
    model = Model(site_targets(HOSTS, (ALERT, REPORT)), profiles, seed)
    model.weights = allowances.ENTRY_WEIGHTS
    scheme.build(model)
    warm_up(model)
    model.offer(Load(ALERT, ALERT_SHARE * CAPACITY, 0.0, ALERT_RUN_S))
    if bulk:
        model.offer(Load(REPORT, bulk * CAPACITY, 0.0, ALERT_RUN_S))
    model.run(ALERT_RUN_S + DEADLINE_S)
    return model


def flood(scheme: Scheme, seed: int = SEED) -> Model:
    """Offer three times the capacity, and then 70% of it."""
    model = allowances.build(scheme, seed)
    end_s = FLOOD_S + NORMAL_S
    model.offer(Load(SERVICE, FLOOD * CAPACITY, 0.0, FLOOD_S))
    model.offer(Load(SERVICE, NORMAL_SHARE * CAPACITY, FLOOD_S, end_s))
    model.run(end_s)
    return model


def flood_goodput(model: Model) -> float:
    """Return the rate of successes during the overload, relative to the capacity."""
    good = [at for at, is_good in model.tallies[SERVICE].completions if is_good]
    return sum(at < FLOOD_S for at in good) / (CAPACITY * FLOOD_S)


def share_after_flood(model: Model) -> float:
    """Return the share of successes from `RECOVERY_S` after the overload on."""
    return _share_since(model, FLOOD_S + RECOVERY_S)


def _share_since(model, since_s):
    completions = [
        good for at, good in model.tallies[SERVICE].completions if at >= since_s
    ]
    return sum(completions) / len(completions)


def _share_answered(call, name):
    return fmean(_one_share(seed, call, name) for seed in range(LOSS_SEEDS))


def _one_share(seed, call, name):
    site = Site(seed)
    site.run(LOSS_WARM_UP_S)
    for mid in range(LOSS_REQUESTS):
        if mid == LOSS_REQUESTS // 4:
            getattr(site, call)(name)
        site.caller.send(f"r{mid}", Code.POST, mid, b"%d" % mid)
        site.run(LOSS_PAUSE_S)
    site.run(LOSS_WARM_UP_S)
    outcomes = site.caller.outcomes.values()
    return sum(text.startswith("ran") for text in outcomes) / LOSS_REQUESTS


def _play(number, **options):
    rng = random.Random(SEED)
    findings = Findings()
    for _ in range(number):
        findings.add(play(random_schedule(rng), **options))
    return findings


MEASURES = (
    measure_promises,
    measure_entry_loss,
    measure_cold_targets,
    measure_steady_load,
    measure_priorities,
    measure_overload,
)
