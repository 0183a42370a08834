from behave import given, then, when

from kumquatshift.engine.entry import EntryEngine
from kumquatshift.engine.members import Vm
from kumquatshift.engine.messages import EntryState, Heartbeat
from kumquatshift.engine.objects import DomainState
from tests.support.naive import NaiveEngine
from tests.support.site import TILLS, Site

PACKET_INTERVAL_S = 2.0
SUSPICION_LIMIT_S = 4.0


@given("a cluster of nine entries and {count:d} flows")
def step_site(context, count, engine=EntryEngine):
    context.site = site = Site(engine, seed=13, jitter_s=0.001)
    if count:
        site.open(count, over_s=PACKET_INTERVAL_S, every_s=PACKET_INTERVAL_S)
    site.net.run(8)
    context.net = site.net


@given("a cluster of nine entries and {count:d} flows, using the naive engine")
def step_naive(context, count):
    step_site(context, count, NaiveEngine)


def pause(net, name, seconds):
    net.pause(name)
    net.run(seconds)
    net.resume(name)


def kill_and_restart(net):
    net.kill("e2")
    net.run(0.3)
    net.start("e2")


def kill_during_admission(site):
    """Kill an entry while the admission of a target propagates."""
    site.admit(TILLS, lag_s=2.0)
    kill_and_restart(site.net)


def pause_twice(net):
    pause(net, "e2", 10)
    net.run(2)
    pause(net, "e2", 10)


def pause_two(net):
    pause(net, "e2", 10)
    pause(net, "e5", 10)


def cut(net, some, others):
    net.cut(some, others)
    net.run(10)
    net.heal()


def list_everywhere(net, vms):
    for name in sorted(net.engines):
        net.engines[name].vms(vms)


def lagging_list(net):
    net.kill("e2")
    for _ in range(6):
        list_everywhere(net, net.vms)
        net.run(10)


def list_then_run(net, vms):
    list_everywhere(net, vms)
    net.run(15)
    list_everywhere(net, net.vms)


def differing_lists(net):
    for _ in range(15):
        for name in sorted(net.engines):
            count = net.rng.randrange(len(net.vms) + 1)
            net.engines[name].vms(net.rng.sample(net.vms, count))
        net.run(1)


DEAD_VMS = [Vm(f"gone{n}", "abcd"[n % 4], f"127.0.1.{100 + n}") for n in range(6)]
ALL_ENTRIES = {f"e{n}" for n in range(1, 10)}
FAULTS = {
    "an entry paused for 1 s": lambda net: pause(net, "e2", 1),
    "an entry paused for 10 s": lambda net: pause(net, "e2", 10),
    "an entry paused for 90 s": lambda net: pause(net, "e2", 90),
    "an entry paused for 10 s twice": pause_twice,
    "two entries paused one after another": pause_two,
    "an entry killed and restarted before it is suspected": kill_and_restart,
    "an entry whose messages reach no peer for 10 s": lambda net: cut(
        net, {"e2"}, ALL_ENTRIES - {"e2"}
    ),
    "an entry that no peer's messages reach for 10 s": lambda net: cut(
        net, ALL_ENTRIES - {"e2"}, {"e2"}
    ),
    "a one-way loss between two entries for 10 s": lambda net: cut(net, {"e2"}, {"e5"}),
    "a VM list that names a killed entry for 60 s": lagging_list,
    "a VM list that omits live entries": lambda net: list_then_run(net, net.vms[::2]),
    "a VM list that names dead entries": lambda net: list_then_run(
        net, [*net.vms, *DEAD_VMS]
    ),
    "an empty VM list": lambda net: list_then_run(net, []),
    "a different VM list at every entry": differing_lists,
}


@when("the cluster goes through {fault}")
def step_fault(context, fault):
    FAULTS[fault](context.net)


@when("an entry is killed while a target's admission propagates")
def step_kill_admit(context):
    kill_during_admission(context.site)


@then("all entries agree on the ring again and no flow is broken")
def step_settles(context):
    net = context.net
    net.run(20)
    broken = context.site.broken(within_s=PACKET_INTERVAL_S + 1)
    assert broken == [], (len(broken), broken[0])
    rings = {engine.node.members.ring.names for engine in net.engines.values()}
    assert rings == {frozenset(net.engines)}, rings


@then("some flows of the cluster are broken")
def step_naive_broken(context):
    context.net.run(20)
    assert context.site.broken()


@when("an entry receives a heartbeat with {age}")
def step_beat(context, age):
    node = context.net.engines["e1"].node
    member = node.members.members["e2"]
    incarnation, sequence = member.incarnation, member.sequence
    name, changed = (
        "e2",
        {
            "the same incarnation, an earlier sequence": (incarnation, sequence - 1),
            "the same incarnation and sequence": (incarnation, sequence),
            "an earlier incarnation, a later sequence": (incarnation - 1, sequence + 9),
            "a later incarnation, an earlier sequence": (incarnation + 99, 1),
            "the receiver's own name": (incarnation + 99, 1),
        }[age],
    )
    if age.startswith("the receiver"):
        name = "e1"
    beat = Heartbeat(name, "a", *changed, EntryState.LEAVING, 1, "127.0.1.2", ("e1",))
    context.net.engines["e1"].message(name, beat)
    context.accepted = member.state is EntryState.LEAVING
    assert "e1" not in node.members.members


@then("the heartbeat is {verdict}")
def step_heartbeat_verdict(context, verdict):
    assert context.accepted == (verdict == "accepted")


@when("no heartbeat arrives from e2 for {seconds:g} s")
def step_no_beat(context, seconds):
    context.net.kill("e2")
    context.net.run(seconds)


@then("each live entry has e2 {place}")
def step_place(context, place):
    wanted = place == "in its ring"
    for engine in context.net.engines.values():
        assert ("e2" in engine.node.members.ring.names) == wanted


@when("e5 is paused while failure domain a is taken out")
def step_pause_out(context):
    net = context.net
    net.pause("e5")
    net.run(2)
    context.site.take_out("a")
    net.run(10)


@when("e5 is resumed and receives packets at once")
def step_resume(context):
    net = context.net
    context.resumed_at = net.now
    context.sent = []
    hosts = {h for h, t in context.site.targets.items() if t.domain == "a"}

    def hook(name, action):
        if name == "e5" and action.host in hosts:
            context.sent.append(net.now)

    net.target_hooks.append(hook)
    net.resume("e5")
    for flow in list(context.site.flows.values()):
        net._deliver_packet("e5", flow.packet())
    net.run(10)


@then("e5 forwards no packet to domain a")
def step_none_sent(context):
    domains = context.net.engines["e5"].node.store.domains
    assert domains["a"].state is DomainState.OUT
    assert context.sent == []


@when("the cluster loses all entries but e5, and then {recovery}")
def step_loses(context, recovery):
    net = context.net
    lost = sorted(ALL_ENTRIES - {"e5"})
    if recovery.startswith("the partition"):
        net.cut(lost, {"e5"})
        net.cut({"e5"}, lost)
        net.run(20)
        net.heal()
    else:
        for name in lost:
            net.kill(name)
        net.run(20)
        for name in lost[:1] if recovery.startswith("one") else lost:
            net.start(name)
    context.not_ready = []


@then("e5 is ready for packets throughout")
def step_throughout(context):
    net = context.net
    for _ in range(200):
        net.run(0.05)
        if not net.engines["e5"].ready:
            context.not_ready.append(net.now)
    assert context.not_ready == [], (len(context.not_ready), context.not_ready[0])
