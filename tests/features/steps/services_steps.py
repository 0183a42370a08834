from dataclasses import replace

from behave import given, then, when

from kumquatshift.engine.messages import Record, RecordBatch
from kumquatshift.engine.objects import Kind, TargetState
from kumquatshift.engine.packets import TCP_FIN, TCP_RST, destination, flow_key
from tests.support.naive import NaiveEngine
from tests.support.site import ACK, FEEDS, SYN, TILLS, Site

NETWORKS = {
    "a lossless network": {},
    "a lossy network": {"loss": 0.02, "jitter_s": 0.01},
    "the naive engine": {"engine": NaiveEngine},
}
PROPAGATIONS = {
    "at once": {},
    "by entries up to 2 s apart": {"lag_s": 2.0},
    "twice and reordered": {"lag_s": 2.0, "times": 2},
}
PACKET_INTERVAL_S = 1.0
PROPAGATION_LIMIT_S = 3.0
OTHER_SERVICE = replace(TILLS, name="other")


@given("a service site with {count:d} flows and {network}")
def step_flows(context, count, network):
    context.site = site = Site(seed=9, **NETWORKS[network])
    site.open(count, over_s=PACKET_INTERVAL_S, every_s=PACKET_INTERVAL_S)
    site.net.run(5)
    site.net.run(5)
    context.known_wrong = []
    site.net.target_hooks.append(lambda *sent: record_known_wrong(context, *sent))


def record_known_wrong(context, name, action):
    """Record a packet whose sender knew the target to be another service's."""
    store = context.site.net.engines[name].node.store
    view = store.by_address[destination(action.data)]
    places = [
        obj
        for obj in store.objects()
        if obj.kind is Kind.TARGET and obj.body and obj.body.host == action.host
    ]
    owner = max(places, key=lambda obj: obj.version).body.service
    if owner != view.service.name:
        context.known_wrong.append((context.site.net.now, name, action.host))


def recreate_service(site, service, **options):
    """Delete a service with its targets, and create it again with others."""
    delete_service(site, **options)
    site.net.publish(Kind.SERVICE, service.name, service, **options)
    new_targets = [site.admit(service, **options) for _ in range(4)]
    return new_targets


def delete_service(site, **options):
    site.net.delete(Kind.SERVICE, "tills", **options)
    for target in site.admitted(TILLS):
        site.net.delete(Kind.TARGET, target.name, **options)
        site.targets[target.host] = replace(target, state=TargetState.RETIRED)


def create_before_deletion(site, **options):
    """Create another service at the address before the first one is deleted."""
    site.net.publish(Kind.SERVICE, OTHER_SERVICE.name, OTHER_SERVICE, **options)
    for _ in range(4):
        site.admit(OTHER_SERVICE, **options)
    delete_service(site, **options)


def reuse_host(site, **options):
    """Delete a target, then give its host to a target of another service."""
    old = site.admitted(TILLS)[0]
    site.net.delete(Kind.TARGET, old.name, **options)
    site.put_target(replace(old, name="taker", service="feeds"), **options)


def reuse_host_early(site, **options):
    """Give a target's host to a target of another service, then delete the first."""
    old = site.admitted(TILLS)[0]
    site.put_target(replace(old, name="taker", service="feeds"), **options)
    site.net.at(1.0, lambda: site.net.delete(Kind.TARGET, old.name, **options))


def move_target(site, **options):
    site.put_target(replace(site.admitted(TILLS)[0], service="feeds"), **options)


CHANGES = {
    "the service is deleted": delete_service,
    "recreated with other targets": lambda site, **options: recreate_service(
        site, TILLS, **options
    ),
    "another service takes its address": lambda site, **options: recreate_service(
        site, OTHER_SERVICE, **options
    ),
    "another service is created before the first is deleted": create_before_deletion,
    "another service's target gets a deleted target's host": reuse_host,
    "another service's target gets a host before the deletion": reuse_host_early,
    "a target moves to another service": move_target,
}


@when("the services change: {change}, seen {lag}")
def step_change(context, change, lag):
    context.changed_at = context.site.net.now
    CHANGES[change](context.site, **PROPAGATIONS[lag])


@when("{count:d} new flows of the services open")
def step_new(context, count):
    context.site.open(count, over_s=5.0, every_s=PACKET_INTERVAL_S)


def misdirected(context):
    """Return packets that still reach another service's target after the limit."""
    site = context.site
    live = [obj.body for obj in site.net.published.values() if obj.body]
    addresses = {
        (body.address, body.port): body.name
        for body in live
        if hasattr(body, "address")
    }
    owners = {body.host: body.service for body in live if hasattr(body, "host")}
    wrong = []
    for when_s, host, data in site.received:
        place = ".".join(map(str, data[16:20])), int.from_bytes(data[22:24], "big")
        service = addresses.get(place)
        late = when_s >= context.changed_at + PROPAGATION_LIMIT_S
        if late and (service is None or owners.get(host) != service):
            wrong.append((when_s - context.changed_at, host, service))
    return wrong


@then("no target gets a packet of another service from 3 s on, for 30 s")
def step_none_misdirected(context):
    context.site.net.run(PROPAGATION_LIMIT_S + 30)
    wrong = misdirected(context)
    assert wrong == [], (len(wrong), wrong[:3])


@then("no entry sends a packet to a target it knows to be another service's")
def step_none_known(context):
    wrong = context.known_wrong
    assert wrong == [], (len(wrong), wrong[:3])


@then("targets get packets of another service, or flows break")
def step_naive(context):
    context.site.net.run(PROPAGATION_LIMIT_S + 10)
    wrong, broken = misdirected(context), context.site.broken()
    print(f"naive: {len(wrong)} packets of another service, {len(broken)} broken")
    assert wrong or broken


@when("a peer sends a record of the service from before this change: {change}")
def step_old_record(context, change):
    site = context.site
    old_target = site.admitted(TILLS)[0]
    created = site.net.published[Kind.SERVICE, "tills"].created
    CHANGES[change](site)
    # The name of the record's target is in use again, for the current service.
    service = OTHER_SERVICE if "another" in change else TILLS
    site.put_target(replace(old_target, service=service.name))
    site.net.run(PROPAGATION_LIMIT_S)
    flow = site.open(1, over_s=0.1, every_s=1e9, service=TILLS)[0]
    key = flow_key(flow.packet())
    record = Record(key, old_target.name, created, int(site.net.now * 1000) - 9000, 7)
    for name in site.net.engines:
        site.net._deliver_message("e1", name, RecordBatch((record,)))
    site.net.run(3)
    context.key, context.created = key, created


@then("no entry sends the record's flow to the record's target")
def step_record_ignored(context):
    site = context.site
    assert site.flows[context.key].hosts
    for name, engine in site.net.engines.items():
        flow = engine.node.flows.get(context.key)
        assert (
            flow is None
            or flow.record.service != context.created
            or (
                engine.node.usable(
                    flow.record,
                    engine.node.store.by_address[context.key[4:8] + context.key[10:13]],
                )
                is None
            )
        ), name


@when("a TCP flow ends by {end} and its 5-tuple is used again")
def step_reuse(context, end):
    site = context.site
    flow = site.open(1, over_s=0.1, every_s=1e9, service=FEEDS)[0]
    for _ in range(10):
        site.net.run(1)
        site.send(flow)
    context.old_host = flow.host
    assert flow.host
    if "retired" in end:
        site.retire(site.targets[flow.host])
        site.net.run(PROPAGATION_LIMIT_S)
    site.send(flow, flags=ACK | (TCP_RST if end == "RST" else TCP_FIN))
    site.net.run(2)
    flow.hosts, flow.host, flow.answered_at = (), None, 0.0
    for _ in range(5):
        site.send(flow, flags=ACK if flow.answered_at else SYN)
        site.net.run(2)
    context.flow, context.end = flow, end


@then("the second flow stays with one admitted target of the service")
def step_one_target(context):
    flow = context.flow
    assert len(flow.hosts) == 1 and not flow.resets, flow
    target = context.site.targets[flow.host]
    assert target.state is TargetState.ADMITTED and target.service == "feeds"
    if "retired" in context.end:
        assert flow.host != context.old_host
