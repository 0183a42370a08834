from behave import given, then, when

from kumquatshift.engine.messages import Direction, Relay
from kumquatshift.engine.objects import Kind
from tests.support.naive import NaiveEngine
from tests.support.site import DOMAINS, FEEDS, TILLS, Site

NETWORKS = {
    "a network without loss": {},
    "lost packets": {"loss": 0.02},
    "with the naive load balancer": {"engine": NaiveEngine},
}
PACKET_INTERVAL_S = 2.5
LIMIT_S = 3.0


@given("domains with {count:d} open flows, {network}")
def step_flows(context, count, network):
    context.site = Site(seed=5, jitter_s=0.001, **NETWORKS[network])
    context.site.open(count, over_s=PACKET_INTERVAL_S, every_s=PACKET_INTERVAL_S)
    net = context.site.net
    net.run(10)
    # A lost packet looks like a broken flow, so loss starts after this check.
    loss, net.loss = net.loss, 0.0
    net.run(2 * PACKET_INTERVAL_S)
    assert context.site.broken() == []
    net.loss = loss
    context.relayed = []
    context.site.net.relay_hooks.append(lambda *sent: record_relay(context, *sent))


def record_relay(context, name, action):
    message = action.message
    if isinstance(message, Relay) and message.direction is Direction.TO_TARGET:
        domain = context.site.net.domain_of(action.peer)
        context.relayed.append((context.site.net.now, domain))


def split_names(domains):
    return domains.split(", ")


def order_options(site, domain, order):
    readers = sorted(site.net.watching)
    through_one = [n for n in readers if site.net.domain_of(n) != domain][:1]
    return {
        "reaches all watching entries at once": {},
        "reaches watching entries up to 2 s late": {"lag_s": 2.0},
        "reaches one watching entry, outside the domain": {"readers": through_one},
        "reaches watching entries twice, reordered": {"lag_s": 1.5, "times": 2},
    }[order]


@when("domains {domains} are taken out, and the order {order}")
def step_out(context, domains, order):
    site = context.site
    context.out_at = site.net.now
    context.out = split_names(domains)
    for domain in context.out:
        site.take_out(domain, **order_options(site, domain, order))


@then("the domains taken out receive no packet from 3 s on, for 60 s")
def step_no_packet(context):
    site = context.site
    site.net.run(LIMIT_S + 60)
    since = context.out_at + LIMIT_S
    for domain in context.out:
        assert site.packets_to(domain, context.out_at - 10), "no earlier packet"
        late = site.packets_to(domain, since)
        assert late == [], (domain, len(late), late[0][0] - context.out_at)
        relayed = [row for row in context.relayed if row[0] >= since]
        assert not any(to == domain for _, to in relayed), domain


@then("the other domains have no broken flow")
def step_none_broken(context):
    context.site.net.loss = 0.0
    context.site.net.run(10)
    broken = context.site.broken()
    assert broken == [], (len(broken), broken[0])


@then("the domains taken out receive packets from 3 s on, or flows break")
def step_naive(context):
    site = context.site
    site.net.run(LIMIT_S + 20)
    late = site.packets_to("a", context.out_at + LIMIT_S)
    print(f"naive: {len(late)} late packets, {len(site.broken())} flows broken")
    assert late or site.broken()


@when("an entry of domain {domain} leaves, and {same} is taken out")
def step_leave_and_take_out(context, domain, same):
    net = context.site.net
    leaving = min(net.names_in({domain}))
    net.leave(leaving, quiet_s=1e9)
    net.run(2)
    step_out(context, domain, "reaches all watching entries at once")
    net.run(LIMIT_S)


@when("callers open {count:d} new flows")
def step_new_flows(context, count):
    context.site.open(count, over_s=5.0, every_s=PACKET_INTERVAL_S)


@when(
    "domain {domain} is taken out and back {turns:d} times, {gap:g} s apart,"
    " ending {end}"
)
def step_out_and_back(context, domain, turns, gap, end):
    site = context.site
    for _ in range(turns):
        site.take_out(domain, lag_s=2.0)
        site.net.run(gap)
        site.bring_back(domain, lag_s=2.0)
        site.net.run(gap)
    if end == "out":
        site.take_out(domain, lag_s=2.0)


@then("all entries agree within 3 s that domain {domain} is {end}")
def step_agree(context, domain, end):
    context.site.net.run(LIMIT_S)
    for engine in context.site.net.engines.values():
        assert engine.node.store.domains[domain].state.value == end, engine.node.name


@when("domain {domain} is brought back after {seconds:g} s")
def step_back(context, domain, seconds):
    context.site.net.run(seconds)
    context.site.bring_back(domain)
    context.site.net.run(LIMIT_S)


def relative_share(site, domain, seconds):
    """Return a domain's share of new flows per target, 1 being the mean."""
    flows = site.open(400, over_s=seconds, every_s=PACKET_INTERVAL_S, service=TILLS)
    site.net.run(seconds + 1)
    targets = site.admitted(TILLS)
    hosts = {target.host for target in targets if target.domain == domain}
    opened = sum(flow.host in hosts for flow in flows)
    return opened / len(flows) * len(targets) / len(hosts)


@then("domain {domain} gets less than half its share of new flows in the first 5 s")
def step_cold(context, domain):
    share = relative_share(context.site, domain, 5.0)
    print(f"share in the first 5 s: {share:.2f}")
    assert share < 0.5, share


@then("domain {domain} gets a full share of new flows {seconds:d} s later")
def step_full(context, domain, seconds):
    context.site.net.run(seconds - 10)
    share = relative_share(context.site, domain, 10.0)
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
        net.disconnect_from_platform(inside)
    context.what = what
    net.run(1)


@when("callers open {count:d} new {kind} flows on each side of the cut")
def step_new_flows_on_both_sides(context, count, kind):
    site = context.site
    service = {"TCP": FEEDS, "UDP": TILLS}[kind]
    options = {"over_s": 10.0, "every_s": PACKET_INTERVAL_S, "service": service}
    context.new = [
        flow
        for side in (context.inside, context.outside)
        for flow in site.open(count, side=side, **options)
    ]


@when("the platform orders to take domain {domain} out during the cut")
def step_order(context, domain):
    net = context.site.net
    net.run(2)
    context.site.take_out(domain)
    net.run(context.seconds - (net.now - context.cut_at))


@then("the new flows are served on both sides")
def step_served(context):
    site = context.site
    unserved = [flow for flow in context.new if not flow.answered_at]
    assert unserved == [], (len(unserved), unserved[0])
    if "peers" in context.what:
        inside = [flow for flow in context.new if flow.side == context.inside]
        assert {site.targets[flow.host].domain for flow in inside} == {"a"}


@then("all entries agree within 3 s after the partition heals")
def step_heal(context):
    net = context.site.net
    net.heal()
    net.reconnect_to_platform(context.inside)
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


@then("no flow that was opened during the cut breaks")
def step_cut_unbroken(context):
    context.site.net.run(20)
    broken = context.site.broken(context.new)
    assert broken == [], (len(broken), broken[0])
    old = [flow for flow in context.site.broken() if flow not in context.new]
    print(f"opened before the cut, packets on both sides: {len(old)} flows broken")
