from behave import given, then, when

from kumquatshift.engine.messages import Direction, Relay
from kumquatshift.engine.objects import Kind
from tests.support.naive import NaiveEngine
from tests.support.site import DOMAINS, FEEDS, TILLS, Site

NETWORKS = {
    "a quiet network": {},
    "lost packets": {"loss": 0.02},
    "with the naive version": {"engine": NaiveEngine},
}
EVERY_S = 2.5
LIMIT_S = 3.0


@given("domains with {count:d} flows, {network}")
def step_flows(context, count, network):
    context.site = Site(seed=5, jitter_s=0.001, **NETWORKS[network])
    context.site.open(count, over_s=EVERY_S, every_s=EVERY_S)
    net = context.site.net
    net.run(10)
    # Unanswered flows are told from broken ones while no packet is lost.
    lossy, net.loss = net.loss, 0.0
    net.run(2 * EVERY_S)
    assert context.site.broken() == []
    net.loss = lossy
    context.relayed = []
    context.site.net.relay_hooks.append(lambda *sent: note_relay(context, *sent))


def note_relay(context, name, action):
    message = action.message
    if isinstance(message, Relay) and message.direction is Direction.TO_TARGET:
        domain = context.site.net.domain_of(action.peer)
        context.relayed.append((context.site.net.now, domain))


def named(domains):
    return domains.split(", ")


def order_options(site, domain, order):
    readers = sorted(site.net.watching)
    through_one = [n for n in readers if site.net.domain_of(n) != domain][:1]
    return {
        "reaches all readers at once": {},
        "reaches readers up to 2 s late": {"lag_s": 2.0},
        "reaches its peers through one": {"readers": through_one},
        "reaches readers twice, reordered": {"lag_s": 1.5, "times": 2},
    }[order]


@when("domains {domains} are taken out, and the order {order}")
def step_out(context, domains, order):
    site = context.site
    context.out_at = site.net.now
    context.out = named(domains)
    for domain in context.out:
        site.take_out(domain, **order_options(site, domain, order))


@then("domains out get no packet from 3 s on, for 60 s")
def step_no_packet(context):
    site = context.site
    site.net.run(LIMIT_S + 60)
    since = context.out_at + LIMIT_S
    for domain in context.out:
        assert site.packets_to(domain, context.out_at - 10), "no packet before"
        late = site.packets_to(domain, since)
        assert late == [], (domain, len(late), late[0][0] - context.out_at)
        relayed = [row for row in context.relayed if row[0] >= since]
        assert not any(to == domain for _, to in relayed), domain


@then("domains in have no broken flow")
def step_none_broken(context):
    context.site.net.loss = 0.0
    context.site.net.run(10)
    broken = context.site.broken()
    assert broken == [], (len(broken), broken[0])


@then("domains out do get packets from 3 s on, or flows break")
def step_naive(context):
    site = context.site
    site.net.run(LIMIT_S + 20)
    late = site.packets_to("a", context.out_at + LIMIT_S)
    print(f"naive: {len(late)} packets late, {len(site.broken())} flows broken")
    assert late or site.broken()


@when("a domains entry of {domain} leaves, and {same} is taken out")
def step_leaver_out(context, domain, same):
    net = context.site.net
    leaver = min(net.names_in({domain}))
    net.leave(leaver, quiet_s=1e9)
    net.run(2)
    step_out(context, domain, "reaches all readers at once")
    net.run(LIMIT_S)


@when("domains see {count:d} new flows")
def step_new_flows(context, count):
    context.site.open(count, over_s=5.0, every_s=EVERY_S)


@when(
    "domains {domain} are taken out and back {turns:d} times, {gap:g} s apart,"
    " ending {end}"
)
def step_turns(context, domain, turns, gap, end):
    site = context.site
    for _ in range(turns):
        site.take_out(domain, lag_s=2.0)
        site.net.run(gap)
        site.bring_back(domain, lag_s=2.0)
        site.net.run(gap)
    if end == "out":
        site.take_out(domain, lag_s=2.0)


@then("domains all agree within 3 s that {domain} is {end}")
def step_agree(context, domain, end):
    context.site.net.run(LIMIT_S)
    for engine in context.site.net.engines.values():
        assert engine.node.store.domains[domain].state.value == end, engine.node.name


@when("domains {domain} are brought back after {seconds:g} s")
def step_back(context, domain, seconds):
    context.site.net.run(seconds)
    context.site.bring_back(domain)
    context.site.net.run(LIMIT_S)


def share_of(site, domain, seconds):
    """Return a domain's share of new flows per target, 1 being an equal one."""
    made = site.open(400, over_s=seconds, every_s=EVERY_S, service=TILLS)
    site.net.run(seconds + 1)
    targets = site.admitted(TILLS)
    hosts = {target.host for target in targets if target.domain == domain}
    got = sum(flow.host in hosts for flow in made)
    return got / len(made) * len(targets) / len(hosts)


@then("domains {domain} take less than half a share of new flows in the first 5 s")
def step_cold(context, domain):
    share = share_of(context.site, domain, 5.0)
    print(f"share in the first 5 s: {share:.2f}")
    assert share < 0.5, share


@then("domains {domain} take a full share of new flows {seconds:d} s later")
def step_full(context, domain, seconds):
    context.site.net.run(seconds - 10)
    share = share_of(context.site, domain, 10.0)
    print(f"share {seconds} s later: {share:.2f}")
    assert share > 0.8, share


@when("domain {domain} is cut off from {what} for {seconds:d} s")
def step_cut(context, domain, what, seconds):
    net = context.site.net
    inside = net.names_in({domain})
    context.cut_at, context.seconds = net.now, seconds
    context.inside = tuple(sorted(inside))
    context.outside = tuple(sorted(net.names_in(set(DOMAINS) - {domain})))
    if "peers" in what:
        net.cut_off({domain})
    if "platform" in what:
        net.unplug(inside)
    context.what = what
    net.run(1)


@when("domains see {count:d} new {kind} flows on each side of the cut")
def step_sides(context, count, kind):
    site = context.site
    service = {"TCP": FEEDS, "UDP": TILLS}[kind]
    options = {"over_s": 10.0, "every_s": EVERY_S, "service": service}
    context.new = [
        flow
        for side in (context.inside, context.outside)
        for flow in site.open(count, side=side, **options)
    ]


@when("domains get an order to take {domain} out during the cut")
def step_order(context, domain):
    net = context.site.net
    net.run(2)
    context.site.take_out(domain)
    net.run(context.seconds - (net.now - context.cut_at))


@then("domains serve the new flows on both sides")
def step_served(context):
    site = context.site
    unserved = [flow for flow in context.new if not flow.answered_at]
    assert unserved == [], (len(unserved), unserved[0])
    if "peers" in context.what:
        inside = [flow for flow in context.new if flow.side == context.inside]
        assert {site.targets[flow.host].domain for flow in inside} == {"a"}


@then("domains after healing all agree within 3 s")
def step_heal(context):
    net = context.site.net
    net.heal()
    net.plug_in(context.inside)
    for flow in context.new:
        flow.side = None
    net.run(LIMIT_S)
    wanted = net.published[Kind.DOMAIN, "d"].version
    versions = {
        name: engine.node.store.get(Kind.DOMAIN, "d").version
        for name, engine in net.engines.items()
    }
    assert set(versions.values()) == {wanted}, versions
    digests = {engine.node.store.digest for engine in net.engines.values()}
    assert len(digests) == 1


@then("domains break no flow that was opened during the cut")
def step_cut_unbroken(context):
    context.site.net.run(20)
    broken = context.site.broken(context.new)
    assert broken == [], (len(broken), broken[0])
    old = [flow for flow in context.site.broken() if flow not in context.new]
    print(f"opened before the cut, packets on both sides: {len(old)} broken")
