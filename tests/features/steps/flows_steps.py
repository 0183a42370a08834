from contextlib import nullcontext
from unittest import mock

from behave import then, when

from kumquatshift.engine import ring
from kumquatshift.engine.entry import EntryEngine
from kumquatshift.engine.sweep import Sweeper
from tests.support.naive import NaiveEngine
from tests.support.schedule import FLOWS, Schedule

NETWORKS = {
    "a network without loss": {},
    "lost packets": {"loss": 0.02, "jitter_s": 0.001},
    "reordered packets": {"jitter_s": 0.05},
}
DURATION_S = 60


def run_both(context, pairs, seed, network):
    context.broken = {}
    for engine in (EntryEngine, NaiveEngine):
        schedule = Schedule(engine, seed, pairs, DURATION_S, **NETWORKS[network])
        context.broken[engine] = schedule.run()
        kinds = [event[0] for event in schedule.events]
        print(
            f"{engine.__name__}, seed {seed}, {network}: {context.broken[engine]}"
            f" of {FLOWS} flows broken; {kinds}"
        )


@when("flows run through a schedule of single failures, seed {seed:d}, {network}")
def step_single(context, seed, network):
    run_both(context, False, seed, network)


@when("flows run through a schedule of failures in pairs, seed {seed:d}, {network}")
def step_pairs(context, seed, network):
    run_both(context, True, seed, network)


@then("the engine breaks 0 flows, and the naive load balancer breaks more")
def step_none_broken(context):
    assert context.broken[EntryEngine] == 0, context.broken
    assert context.broken[NaiveEngine] > 0, context.broken


@then(
    "the engine breaks at most 1 flow in 1,000, and the naive load balancer breaks more"
)
def step_few_flows_broken(context):
    assert context.broken[EntryEngine] * 1000 <= FLOWS, context.broken
    assert context.broken[NaiveEngine] * 1000 > FLOWS, context.broken


@when("flows with one packet a minute meet failures in pairs, without {mechanism}")
def step_without(context, mechanism):
    patches = {
        "any mechanism disabled": nullcontext(),
        "standbys": mock.patch.object(ring, "COPIES", 1),
        "background replication": mock.patch.object(Sweeper, "step", lambda *_: []),
    }
    with patches[mechanism]:
        context.count = Schedule(EntryEngine, 1, True, 90, every_s=60.0).run()
    print(f"without {mechanism}: {context.count} flows broken")


@then("the number of broken flows is {bound} 1")
def step_bound(context, bound):
    assert (context.count <= 1) == (bound == "at most"), context.count
