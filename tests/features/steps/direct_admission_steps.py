import json
from collections import Counter

from behave import given, then, when

from kumquatshift.direct.admission import (
    MIN_INTERVAL_S,
    START_LIMIT,
    ConcurrencyLimit,
    Demand,
    flow_point,
    limit_share,
)
from kumquatshift.direct.calls import Change, Item
from kumquatshift.direct.events import Event
from kumquatshift.direct.latency import latency_ratio
from kumquatshift.direct.routes import Route, Share, service_for_flow
from kumquatshift.platform import objects
from kumquatshift.platform.feed_listeners import feed_listeners
from kumquatshift.standins.direct_flows import Outcome
from tests.support import overload
from tests.support.direct_site import Recorder, opening_packet
from tests.support.overload import (
    BULK_OBJECTIVE_S,
    WARM_UP_S,
    OverloadedSite,
    in_time,
)

CHANGES = {
    "nothing else changes": overload.keep,
    "one target is five times slower": overload.slow_target,
    "one target has crashed": overload.crash_target,
    "two targets have just started cold": overload.add_cold_targets,
    "each target is replaced by a cold one": overload.replace_targets,
    "400 more flows are open and idle": overload.open_idle_flows,
    "half of the entries have been killed": overload.kill_entries,
}


@given("a site of entries in {domains} with {in_a:d} targets in a and {in_b:d} in b")
def step_site(context, domains, in_a, in_b):
    def build():
        entries = domains.split(", ")
        return OverloadedSite(entries, {"a": in_a, "b": in_b})

    context.build = build
    context.loaded = build()
    context.before = []


@given("the load has been at half of the capacity")
def step_warm(context):
    context.before = [(0.5, WARM_UP_S)]
    _load(context.loaded, *context.before[0])


@given("the load has been at {load:g} times the capacity for {seconds:g} s")
def step_loaded(context, load, seconds):
    _load(context.loaded, load, seconds)


@given("nothing else changes")
def step_nothing(context):
    pass


@given("an entry of each domain has been killed")
def step_killed(context):
    entries = context.loaded.site.entries
    for domain in {entry.domain for entry in entries}:
        next(e for e in entries if e.domain == domain).is_up = False


@when("the load is {load:g} times the capacity for {seconds:g} s")
def step_load(context, load, seconds):
    site = context.loaded
    context.load = load, seconds
    context.refused = site.refusals()
    context.results = _load(site, load, seconds)
    site.settle()
    context.refused = site.refusals() - context.refused


@when("the load in a is {load:g} times that of its targets for {seconds:g} s")
def step_load_a(context, load, seconds):
    site = context.loaded
    targets = site.site.targets.values()
    per_s = load * sum(t.slots / t.work_s for t in targets if t.domain == "a")
    context.results = site.run(per_s, seconds, domain="a")
    site.settle()
    context.refused = site.refusals()


@then("at least twice as many requests are answered in time as without {control}")
def step_twice(context, control):
    baseline = context.build()
    baseline.without_admission()
    for load, seconds in context.before:
        _load(baseline, load, seconds)
    if "change" in context:
        context.change(baseline)
    results = _load(baseline, *context.load)
    baseline.settle()
    without, found = _total(in_time(results)), _total(in_time(context.results))
    print(f"{found} in time, {without} without admission control")
    assert found >= 2 * without, (found, without)


@then("answers in time use at least {share:g} of the capacity")
def step_goodput(context, share):
    _, seconds = context.load
    capacity = context.loaded.capacity() * seconds
    found = _total(in_time(context.results))
    print(f"{found} in time of {capacity:.0f}: {found / capacity:.2f}")
    assert found >= share * capacity


@then("more than twice as large a share of urgent requests is in time as of bulk")
def step_urgent(context):
    counts = in_time(context.results)
    shares = {kind: counts[kind] / len(each) for kind, each in context.results.items()}
    print(shares)
    assert shares["urgent"] > 2 * shares["bulk"], shares


@then("at most {share:g} of the flows are refused")
def step_refused(context, share):
    count = sum(len(each) for each in context.results.values())
    print(f"{context.refused} refusals for {count} requests")
    assert context.refused <= share * count


@then("at least {share:g} of the requests are answered in time")
def step_in_time(context, share):
    count = sum(len(each) for each in context.results.values())
    found = _total(in_time(context.results))
    print(f"{found} of {count} in time")
    assert found >= share * count


@when("{packet} arrives at an entry that has no record of its flow")
def step_packet(context, packet):
    copies = {
        "an opening packet": 0,
        "the first copy of an opening packet": 1,
        "the second copy of an opening packet": 2,
    }
    entry = context.loaded.site.entries[0]
    before = entry.port.resets
    # Fractions of a limit admit some flows, so that a single flow shows little.
    for number in range(50):
        entry.receive(opening_packet(number, copies[packet]))
    context.decided = 50, entry.port.resets - before


@then("the packet is {decision}")
def step_decision(context, decision):
    sent, resets = context.decided
    print(f"{resets} of {sent} were refused")
    assert resets == 0 if decision == "forwarded" else resets > sent / 2


@given("a limit on a pool of {slots:d} slots that is used up")
def step_limit(context, slots):
    context.limit = ConcurrencyLimit()
    context.slots = slots
    context.asked = None, Demand()
    context.now = 1000.0


@given("bulk of another domain is {decision}, with {busy:d} flows busy")
@then("bulk of another domain is {decision}, with {busy:d} flows busy")
def step_bulk_elsewhere(context, decision, busy):
    demand = Demand(limit_share(2, 1, 2), point=0.5).elsewhere()
    context.asked = busy, demand
    admitted = context.limit.admits(busy, context.slots, demand)
    print(f"limit {context.limit.limit:.2f}")
    assert admitted == (decision == "admitted")


@when("{count:d} answers arrive at {ratio:g} times the objective")
def step_answers(context, count, ratio):
    limit = context.limit
    busy, demand = context.asked
    for _ in range(count):
        all_used = int(limit.limit * context.slots)
        limit.admits(all_used if busy is None else busy, context.slots, demand)
        limit.note_answer(ratio, context.now)
        context.now += MIN_INTERVAL_S / 2


@when("one answer arrives {seconds:g} s later")
def step_later(context, seconds):
    context.limit.note_answer(1.0, context.now + seconds)


@then("the limit has {changed}")
def step_changed(context, changed):
    found = context.limit.limit
    print(f"limit {found:.3f}, {START_LIMIT} at the start")
    expected = {
        "grown": found > START_LIMIT,
        "stayed": abs(found - START_LIMIT) < 0.05 * START_LIMIT,
        "shrunk": 0 < found < START_LIMIT / 2,
    }
    assert expected[changed], found


@then("the limit is that of a new pool")
def step_new(context):
    assert context.limit.limit == START_LIMIT, context.limit.limit


@when("an answer of {size:d} bytes is acknowledged {last} after {waited:g} s")
def step_acknowledged(context, size, last, waited):
    context.answer = waited, size, last == "with the closing"


@then("it counts as {ratio:g} times an objective of {objective:g} s")
def step_ratio(context, ratio, objective):
    waited, size, is_last = context.answer
    found = latency_ratio(waited, objective, size, is_last)
    assert abs(found - ratio) < 1e-9, found


@when("a route states the objective {objective}")
def step_objective(context, objective):
    spec = _spec(1, [json.loads(objective)])
    (context.route,) = objects.configuration_from(spec).routes


@then("its objective is {seconds:g} s")
def step_route(context, seconds):
    assert context.route.objective_s == seconds, context.route


@when("configurations with these objectives arrive: {objectives}")
def step_configurations(context, objectives):
    entry = OverloadedSite(["a"], {"a": 1}).site.entries[0]
    context.events = Recorder()
    listeners = feed_listeners(entry.site, context.events)
    for version, each in enumerate(json.loads(objectives), start=10):
        item = Item(objects.CONFIGURATION_NAME, version, _spec(version, each))
        for _ in range(2):
            change = Change(item, is_deleted=False)
            listeners[objects.CONFIGURATIONS].handle_change(change, 0.0)


@then("{count:d} of them are logged as having objectives ignored, of {counts} routes")
def step_ignored(context, count, counts):
    found = [
        inputs["count"]
        for event, inputs in context.events.lines
        if event is Event.OBJECTIVES_IGNORED
    ]
    assert found == [int(each) for each in counts.split(" and ")], found
    assert len(found) == count, found


@when("{count:d} flows of a route with two services of equal weight are drawn")
def step_flows(context, count):
    route = Route("r", b"", (Share("tills", 1), Share("stock", 1)))
    context.points = {"tills": [], "stock": []}
    for number in range(count):
        flow = number.to_bytes(12, "big")
        context.points[service_for_flow(route, flow)].append(flow_point(flow))


@then("a limit with room for half of the flows admits {share:g} of them for each {one}")
def step_alike(context, share, one):
    # Two requests of five slots fit below the limit, so the point decides on the third.
    limit = ConcurrencyLimit()
    limit.limit = 0.5
    for service, points in context.points.items():
        admitted = sum(limit.admits(2, 5, Demand(1.0, point)) for point in points)
        print(f"{service}: {admitted} of {len(points)}")
        # Five standard deviations of 2,000 draws.
        assert abs(admitted / len(points) - share) < 0.056, service


@when(
    "a flow is opened, sends a request and is {answered} at {ratio:g} of the objective"
)
def step_exchange(context, answered, ratio):
    context.entry = context.loaded.site.entries[0]
    context.target = next(iter(context.entry.site.targets))
    flows = context.entry.steering.flows
    flow = flows.add(b"flow", context.target, 0.0, BULK_OBJECTIVE_S)
    flows.begin_request(flow, 0.0)
    flow.is_closing = answered == "closed with its answer"
    context.now = ratio * BULK_OBJECTIVE_S
    flows.end_request(flow, ratio, context.now)


@then("its target has {count:d} busy flow")
@then("its target has {count:d} busy flows")
def step_busy_flows(context, count):
    context.entry.steering.flows.expire_busy(context.now)
    assert context.target.busy == count, context.target.busy


@then("after {seconds:g} s more its target has {count:d} busy flow")
@then("after {seconds:g} s more its target has {count:d} busy flows")
def step_busy_later(context, seconds, count):
    context.now += seconds
    step_busy_flows(context, count)


def _spec(version, objectives):
    routes = [
        {
            "name": f"r{number}",
            "host": "198.18.0.1",
            "pathPrefix": f"/{443 + number}/",
            "service": "tills",
            "targetLatencyMs": value,
        }
        for number, value in enumerate(objectives)
    ]
    return {"version": version, "routes": routes, "limits": {"idleTimeoutMs": 15000}}


@when("{change} and the load is {load:g} times the capacity for {seconds:g} s")
def step_changed_load(context, change, load, seconds):
    context.change = CHANGES[change]
    per_s = load * context.loaded.capacity()
    context.change(context.loaded)
    context.results = context.loaded.run(per_s, seconds)
    context.loaded.settle()
    context.load = load, seconds


@given("no entry has run for {down_s:g} s at {load:g} times the capacity")
def step_outage(context, down_s, load):
    site = context.loaded
    for entry in site.site.entries:
        entry.is_up = False
    _load(site, load, down_s)
    for entry in site.site.entries:
        entry.is_up = True


@given("{share:g} of the packets are lost")
def step_loss(context, share):
    context.loaded.site.loss = share


@then("no request that was refused to its caller has run")
def step_not_run(context):
    ran = _runs(context.loaded)
    refused = [
        request.name
        for kind in context.results.values()
        for request in kind
        if request.outcome in (Outcome.NOT_OPENED, Outcome.REFUSED)
    ]
    print(f"{len(refused)} refused")
    assert refused
    assert not [name for name in refused if ran[name]]


@then("no request has run twice")
def step_once(context):
    repeated = [name for name, count in _runs(context.loaded).items() if count > 1]
    assert not repeated, repeated


def _runs(site):
    return Counter(name for t in site.site.targets.values() for name in t.runs)


def _load(site, load, seconds):
    return site.run(load * site.capacity(), seconds)


def _total(counts):
    return sum(counts.values())


@when(
    "a request with an objective of {long_s:g} s begins, and then one with {short:g} s"
)
def step_unseen(context, long_s, short):
    entry = context.loaded.site.entries[0]
    context.flows = entry.steering.flows
    context.target = next(iter(entry.site.targets))
    for key, objective_s in ((b"long", long_s), (b"short", short)):
        flow = context.flows.add(key, context.target, 0.0, objective_s)
        context.flows.begin_request(flow, 0.0)


@then("after {seconds:g} s {count:d} flows are busy")
@then("after {seconds:g} s {count:d} flow is busy")
def step_busy(context, seconds, count):
    context.flows.expire_busy(seconds)
    assert context.target.busy == count, context.target.busy
