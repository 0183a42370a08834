from collections import Counter
from unittest import mock

from behave import given, then, when

from kumquatshift.standins.direct_flows import Outcome
from tests.support.direct_site import load, opening_packet


@given("no further condition")
def step_nothing(context):
    pass


@given("domain {domain} is evacuated")
def step_evacuated(context, domain):
    for entry in context.direct.entries:
        entry.site.evacuate(domain)


@given("the targets in a drain")
def step_drain(context):
    for name in [n for n in context.direct.reports if n.startswith("a")]:
        context.direct.drain(name)


@given("the targets in a are no longer listed")
def step_unlisted(context):
    context.direct.run(1.5, 0.1)
    for name in [n for n in context.direct.reports if n.startswith("a")]:
        context.direct.unlist(name)


@given("every target has {count:d} flows")
def step_full(context, count):
    for entry in context.direct.entries:
        for target in entry.site.targets:
            target.flows = count


@given(
    "a target in a that stays cold for {cold_s:g} s and accepts {per_s:g} flows a"
    " second"
)
def step_cold(context, cold_s, per_s):
    site = context.direct
    site.configure(version=2, cold_per_s=per_s)
    in_a = sum(1 for entry in site.entries if entry.domain == "a")
    for rank, entry in enumerate(e for e in site.entries if e.domain == "a"):
        entry.warmup.entries = in_a
        entry.warmup.rank = rank
    context.cold = site.add_target("cold", "a", cold_s=cold_s)


@when(
    "{count:d} callers in {domain} send {per_s:g} requests a second for {seconds:g} s"
)
def step_load_in(context, count, domain, per_s, seconds):
    site = context.direct
    entries = [entry for entry in site.entries if entry.domain == domain]
    context.callers = [site.add_caller(entries) for _ in range(count)]
    context.results = load(site, context.callers, per_s, seconds)


@when("domain b is cut off from domain a")
def step_cut(context):
    context.direct.unreachable_domains.add("b")
    for name in [n for n in context.direct.reports if n.startswith("b")]:
        context.direct.unlist(name)


@when("the store returns an empty list after {event}")
def step_empty(context, event):
    site = context.direct
    now = site.clock.seconds()
    for entry in site.entries:
        entry.site.note_relisting(now)
        entry.site.list_targets((), now)
    if "2.6" in event:
        site.run(2.6, 0.1)


@then("new flows go to {where} for the next {seconds:g} s")
def step_placed_at(context, where, seconds):
    site = context.direct
    for _ in range(int(seconds * 10)):
        caller = site.add_caller()
        caller.ask(b"new")
        site.run(0.1, 0.01)
        served = caller.requests[0].outcome is Outcome.ANSWERED
        assert served == (where == "targets"), caller.requests


@when("a caller opens a flow")
def step_open(context):
    context.caller = context.direct.add_caller(tries=1)
    context.caller.ask(b"one")
    context.direct.run(0.1)


@then("the flow is refused within {limit:g} s")
def step_refused(context, limit):
    (request,) = context.caller.requests
    assert request.outcome is Outcome.NOT_OPENED, request
    assert request.took_s <= limit


@when("{count:d} new callers open a flow each, {per_s:g} a second")
def step_new_callers(context, count, per_s):
    site = context.direct
    for _ in range(count):
        site.add_caller(tries=1).ask(b"new")
        site.run(1 / per_s, 1 / per_s)


@then(
    "the cold target gets at most {limit:d} flows in any second, and at least"
    " {least:d} in total"
)
def step_limit(context, limit, least):
    times = context.cold.openings
    most = max(sum(1 for other in times if when <= other < when + 1) for when in times)
    print(f"{len(times)} flows, at most {most} in a second")
    assert most <= limit, most
    assert len(times) >= least, len(times)


@then("all flows are on targets in {domain}, within {spread:d} of each other")
def step_all_at(context, domain, spread):
    counts = {t: len(t.openings) for t in context.direct.targets.values()}
    here = [n for target, n in counts.items() if target.domain == domain]
    assert sum(here) == sum(counts.values()) > 0, counts
    assert max(here) - min(here) <= spread, here


@then("the targets serve at least {share:g} of their capacity in that time")
def step_goodput(context, share):
    targets = context.direct.targets.values()
    capacity = sum(t.slots / t.work_s for t in targets) * 3
    served = sum(len(t.runs) for t in targets)
    print(f"{served} of {capacity:.0f}, shed {sum(t.shed for t in targets)}")
    assert served >= share * capacity, (served, capacity)


@when("{count:d} flows are opened at once")
def step_open_many(context, count):
    site = context.direct
    placement = site.entries[0].site.placement
    compared = Counter()
    is_present = placement.is_present

    def counting(target, now):
        compared["targets"] += 1
        return is_present(target, now)

    placement.is_present = counting
    for number in range(count):
        site.entries[0].receive(opening_packet(number))
    site.run(0.01)
    context.compared = compared["targets"] / count


@then(
    "at most {limit:d} targets are compared for each, and no target has over {most:d}"
)
def step_few_compared(context, limit, most):
    flows = [target.flows for target in context.direct.entries[0].site.targets]
    print(f"{context.compared:.1f} compared, at most {max(flows)} flows")
    assert context.compared <= limit and max(flows) <= most


@then("without suspected targets, no target is checked for lost flows")
def step_none_checked(context):
    steering = context.direct.entries[0].steering
    with mock.patch.object(steering, "_ended") as ended:
        steering.lost_flows(context.direct.clock.seconds())
    assert not ended.called


@given("a configuration without limits")
def step_no_limits(context):
    site = context.direct
    site.cfg = site.cfg._replace(version=2, limits=())
    for entry in site.entries:
        entry.site.put_configuration(site.cfg, 1)
