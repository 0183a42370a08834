from behave import given, then, when

from tests.support.naive import NaiveEngine
from tests.support.site import TILLS, Site

NETWORKS = {
    "a lossless network": {},
    "a lossy network": {"loss": 0.02, "jitter_s": 0.005},
    "the naive engine": {"engine": NaiveEngine},
}
PACKET_INTERVAL_S = 2.0
PROPAGATION_LIMIT_S = 3.0


@given("a retirement site with {count:d} flows and {network}")
def step_site(context, count, network):
    context.site = site = Site(seed=19, fabric_lag_s=0.5, **NETWORKS[network])
    site.open(count, over_s=PACKET_INTERVAL_S, every_s=PACKET_INTERVAL_S)
    site.net.run(10)


@when("a target is retired, {propagation}, while new flows open")
def step_retire(context, propagation):
    site = context.site
    target = site.admitted(TILLS)[0]
    options = {
        "seen by all entries at once": {},
        "seen by entries up to 2 s apart": {"lag_s": 2.0},
        "seen by one reader only": {"readers": sorted(site.net.watching)[:1]},
        "then readmitted and retired again": {"lag_s": 2.0},
    }[propagation]
    site.retire(target, **options)
    if propagation.startswith("then readmitted"):
        site.net.run(0.2)
        site.put_target(target, **options)
        site.net.run(0.2)
        site.retire(target, **options)
    context.retired_at = site.net.now
    context.host = target.host
    context.kept = [f for f in site.flows.values() if f.host == target.host]
    assert context.kept
    context.first_at = {}
    site.net.target_hooks.append(lambda *sent: record_first_packet(context, *sent))
    site.open(400, over_s=20, every_s=PACKET_INTERVAL_S, service=TILLS)
    site.net.run(22)


def record_first_packet(context, name, action):
    key = action.data[12:24]
    context.first_at.setdefault(key, (context.site.net.now, action.host))


@then("the retired target gets no new flow from 3 s on")
def step_no_new(context):
    own_keys = {flow.packet()[12:24] for flow in context.kept}
    late = [
        when_s - context.retired_at
        for key, (when_s, host) in context.first_at.items()
        if host == context.host
        and key not in own_keys
        and when_s >= context.retired_at + PROPAGATION_LIMIT_S
    ]
    assert late == [], late


@then("the retired target keeps all its flows for 60 s, {meanwhile}")
def step_keeps(context, meanwhile):
    site = context.site
    for _ in range(3):
        if meanwhile == "and entries fail":
            victim = site.rng.choice(site.net.ready_names())
            site.net.kill(victim)
            site.net.at(3, site.net.start, victim)
        site.net.run(20)
    site.net.loss = 0.0
    site.net.run(3 * PACKET_INTERVAL_S)
    broken = site.broken(within_s=PACKET_INTERVAL_S + 1)
    assert broken == [], (len(broken), broken[0])
    assert all(flow.hosts == (context.host,) for flow in context.kept)


@then("some flows of the retirement site are broken")
def step_naive(context):
    assert context.site.broken()


@when("entries of the retirement site leave: {leavers}")
def step_leave(context, leavers):
    net = context.site.net
    context.left_at = net.now
    groups = {
        "one": [["e2"]],
        "one of each domain in turn": [["e1"], ["e4"], ["e6"], ["e8"]],
        "both of domain b at once": [["e4", "e5"]],
        "all nine in turn, each replaced": [[vm.name] for vm in net.vms],
    }[leavers]
    context.slowest_s = 0.0
    for group in groups:
        left_at = net.now
        for name in group:
            net.leave(name)
        while any(name in net.engines for name in group):
            net.run(0.5)
            assert net.now - left_at < 60, "leaving entries not drained within 60 s"
        context.slowest_s = max(context.slowest_s, net.now - left_at)
        if leavers.startswith("all nine"):
            net.start(group[0])
            net.run(8)
    context.last = groups[-1][0]


@then("the leaving entries are drained within 60 s")
def step_drained(context):
    print(f"drained after {context.slowest_s:.1f} s at most")
    assert context.slowest_s < 60


@then("no flow of the retirement site is broken after {after}")
def step_unbroken(context, after):
    net = context.site.net
    if after.startswith("a kill"):
        net.kill("e5")
        net.at(3, net.start, "e5")
    net.run(20)
    net.loss = 0.0
    net.run(3 * PACKET_INTERVAL_S)
    broken = context.site.broken(within_s=PACKET_INTERVAL_S + 1)
    assert broken == [], (len(broken), broken[0])
