from behave import given, then, when

from kumquatshift.engine.entry import EntryEngine
from kumquatshift.engine.objects import Kind, Profile
from kumquatshift.engine.packets import TCP_RST, flow_key, tcp_flags
from tests.support.naive import NaiveEngine
from tests.support.site import FEEDS, SYN, TILLS, Site, answer


@given(
    "a silence timeout of {limit:g} s and {count:d} TCP flows"
    " with a packet every {every:g} s"
)
def step_site(context, limit, count, every, engine=EntryEngine):
    context.site = site = Site(engine, seed=17, targets=3)
    profile = Profile("long", silence_timeout_s=limit)
    site.net.publish(Kind.PROFILE, "long", profile)
    context.every_s = every
    context.busy = site.open(count, over_s=every, every_s=every, service=FEEDS)
    site.net.run(8)
    context.healthy = []


@given(
    "a silence timeout of {limit:g} s and {count:d} TCP flows"
    " with a packet every {every:g} s, using the naive engine"
)
def step_naive(context, limit, count, every):
    step_site(context, limit, count, every, NaiveEngine)


def kill_another(context, flow):
    """Kill an entry that does not decide for the flow, and restart it."""
    net = context.site.net
    key = flow_key(flow.packet())
    engine = net.engines["e1"]
    bucket = engine.node.flows.get(key)
    order = engine.node.members.ring.order(bucket.bucket if bucket else 0)
    net.kill(order[-1])
    net.at(5, net.start, order[-1])


@when("one flow goes silent while its target answers others, {meanwhile}")
def step_silent(context, meanwhile):
    site = context.site
    context.flow = flow = context.busy[0]
    flow.silent = True
    context.resets_at = []

    def at_target(name, action):
        same = site.flows.get(flow_key(action.data)) is flow
        if same and tcp_flags(action.data) & TCP_RST:
            context.resets_at.append((site.net.now, action.host))

    site.net.target_hooks.append(at_target)
    context.silent_at = site.net.now
    if "fails" in meanwhile and "nothing" not in meanwhile:
        site.net.run(1)
        kill_another(context, flow)


@then(
    "the silent flow is reset at caller and target within {limit:g} s plus {grace:g} s"
)
def step_reset(context, limit, grace):
    net, flow = context.site.net, context.flow
    while not (flow.resets and context.resets_at):
        net.run(0.25)
        waited_s = net.now - context.silent_at
        assert waited_s <= limit + grace, (waited_s, flow.resets, context.resets_at)
    print(f"reset after {net.now - context.silent_at:.2f} s, limit {limit} s")
    assert context.resets_at[0][1] == flow.host


@then("the silent flow is not reset within {seconds:d} s")
def step_no_silent_reset(context, seconds):
    context.site.net.run(seconds)
    assert not context.flow.resets and not context.resets_at


@then("the caller of the silent flow reconnects and is answered")
def step_reconnect(context):
    site, flow = context.site, context.flow
    flow.stopped, flow.silent = True, False
    site.net.run(2 * context.every_s)
    flow.hosts, flow.host, flow.answered_at, flow.resets = (), None, 0.0, 0
    for _ in range(4):
        site.send(flow, **({} if flow.answered_at else {"flags": SYN}))
        site.net.run(1)
    assert flow.answered_at and len(flow.hosts) == 1 and not flow.resets, flow


@then("no other flow is reset for silence")
def step_no_other(context):
    assert not any(flow.resets for flow in context.busy if flow is not context.flow)


@when("a whole target goes silent for {seconds:d} s")
def step_target_silent(context, seconds):
    host = context.busy[0].host
    context.site.silent_hosts.add(host)
    context.site.net.run(seconds)
    context.site.silent_hosts.clear()
    context.site.net.run(5)


@then("no flow is reset for silence")
def step_no_reset(context):
    reset = [flow for flow in context.site.flows.values() if flow.resets]
    assert reset == [], (len(reset), reset[0])


@given("healthy TCP flows with a packet every {every:d} s")
def step_quiet(context, every):
    context.healthy = context.site.open(30, over_s=2, every_s=every, service=FEEDS)
    context.site.net.run(5)


@given("healthy UDP flows one way to the target")
def step_one_way(context):
    context.healthy = context.site.open(30, over_s=1, every_s=1.0, service=TILLS)
    for flow in context.healthy:
        flow.silent = True
    # Other flows of the same targets are answered throughout.
    context.site.open(30, over_s=1, every_s=1.0, service=TILLS)


@given("healthy TCP flows that only the target sends on")
def step_target_sends(context):
    site = context.site
    context.healthy = site.open(30, over_s=1, every_s=1e9, service=FEEDS)
    site.net.run(5)

    def send_back(flow):
        site.net.spray(answer(flow.packet()))
        site.net.at(2.0, send_back, flow)

    for flow in context.healthy:
        send_back(flow)


@when("the silence detector runs for {seconds:d} s, {meanwhile}")
def step_watch(context, seconds, meanwhile):
    net = context.site.net
    for _ in range(seconds // 20):
        if "entries fail" in meanwhile:
            victim = net.rng.choice(net.ready_names())
            net.kill(victim)
            net.at(3, net.start, victim)
        net.run(20)


@then("the healthy flows stay with their targets")
def step_stay(context):
    for flow in context.healthy:
        assert len(flow.hosts) == 1, flow
