"""Measures of flows, domains, configuration and control traffic."""

from kumquatshift.engine.entry import EntryEngine
from kumquatshift.engine.objects import Kind, Profile
from kumquatshift.measures.measure import Measure, at_most, exactly, reported
from tests.support.load import ControlLoad, control_bytes_per_s
from tests.support.naive import NaiveEngine
from tests.support.schedule import FLOWS, Schedule
from tests.support.site import Site

SINGLE_SEEDS = (101, 102, 103)
PAIR_SEEDS = (111, 112, 113)
NETWORK = {"loss": 0.01, "jitter_s": 0.01}
SECONDS = 60
OUT_LIMIT_S = 3.0
CONFIG_LIMIT_S = 3.0
CONFIG_CHANGES = 12
CONTROL_LIMIT_BYTES_PER_S = 4096
BROKEN_PAIRS_LIMIT = 0.001


def measure_broken_flows() -> tuple[Measure, ...]:
    """Count broken flows under schedules of failures, also for the naive baseline."""
    single = _broken(EntryEngine, SINGLE_SEEDS, pairs=False)
    pairs = _broken(EntryEngine, PAIR_SEEDS, pairs=True)
    naive = _broken(NaiveEngine, SINGLE_SEEDS, pairs=False)
    naive_pairs = _broken(NaiveEngine, PAIR_SEEDS, pairs=True)
    return (
        exactly("broken_flows_single", single, 0),
        at_most(
            "broken_flows_pairs", pairs, BROKEN_PAIRS_LIMIT * _flow_count(PAIR_SEEDS)
        ),
        reported("broken_flows_naive_single", naive),
        reported("broken_flows_naive_pairs", naive_pairs),
        reported("flows_played_single", _flow_count(SINGLE_SEEDS)),
    )


def measure_domain_out() -> tuple[Measure, ...]:
    """Take domains out with lag and packet loss; count packets to them after 3 s."""
    late = 0
    for seed, domains in enumerate(("a", "c", "ad"), 121):
        site = Site(seed=seed, **NETWORK)
        site.open(500, over_s=2.0, every_s=2.0)
        site.net.run(10)
        out_at = site.net.now
        for domain in domains:
            site.take_out(domain, lag_s=2.0)
        site.net.run(40)
        late += sum(
            len(site.packets_to(domain, out_at + OUT_LIMIT_S)) for domain in domains
        )
    return (exactly("packets_after_domain_out", late, 0),)


def measure_config() -> tuple[Measure, ...]:
    """Measure the longest propagation time of changes while readers are killed."""
    site = Site(seed=131, targets=4, loss=0.05, jitter_s=0.01)
    slowest_s = 0.0
    for number in range(CONFIG_CHANGES):
        slowest_s = max(slowest_s, _change(site, number))
    return (at_most("config_seconds_max", slowest_s, CONFIG_LIMIT_S),)


def measure_control() -> tuple[Measure, ...]:
    """Measure control traffic at production load, steady and after one kill."""
    load = ControlLoad()
    steady = control_bytes_per_s(load.run(5))
    load.net.kill("e3")
    after_kill = control_bytes_per_s(load.run(15))
    return (
        reported("control_bytes_per_s_steady", steady),
        at_most(
            "control_bytes_per_s", max(steady, after_kill), CONTROL_LIMIT_BYTES_PER_S
        ),
    )


def _flow_count(seeds):
    return FLOWS * len(seeds)


def _broken(engine, seeds, pairs):
    return sum(
        Schedule(engine, seed, pairs, SECONDS, **NETWORK).run() for seed in seeds
    )


def _change(site, number):
    """Kill readers, write, and return the seconds until all have the change.

    Three cases alternate: one reader is killed; one is killed and only one of the
    others receives the change; all are killed.
    """
    net = site.net
    readers = sorted(net.watching)
    killed = readers if number % 3 == 2 else [readers[number % len(readers)]]
    for name in killed:
        net.kill(name)
    notified = sorted(net.watching)[:1] if number % 3 == 1 else None
    body = Profile("long", idle_timeout_s=700.0 + number)
    obj = net.publish(Kind.PROFILE, "long", body, readers=notified)
    written_at = net.now
    while not all(_has_version(engine, obj) for engine in net.engines.values()):
        net.run(0.02)
        if net.now - written_at > 60:
            return float("inf")
    took_s = net.now - written_at
    for name in killed:
        net.start(name)
    net.run(15)
    return took_s


def _has_version(engine, obj):
    stored = engine.node.store.get(obj.kind, obj.name)
    return stored is not None and stored.version >= obj.version


MEASURES = (
    measure_broken_flows,
    measure_domain_out,
    measure_config,
    measure_control,
)
