from dataclasses import replace

from behave import given, then, when

from kumquatshift.engine.messages import Record, RecordBatch
from kumquatshift.engine.objects import Kind, TargetState
from kumquatshift.engine.packets import TCP_FIN, TCP_RST, destination, flow_key
from tests.support.naive import NaiveEngine
from tests.support.site import ACK, FEEDS, SYN, TILLS, Site

NETWORKS = {
    "a quiet network": {},
    "lost packets": {"loss": 0.02, "jitter_s": 0.01},
    "with the naive version": {"engine": NaiveEngine},
}
LAGS = {
    "at once": {},
    "up to 2 s apart": {"lag_s": 2.0},
    "twice, reordered": {"lag_s": 2.0, "times": 2},
}
EVERY_S = 1.0
LIMIT_S = 3.0
OTHER = replace(TILLS, name="other")


@given("services with {count:d} flows, {network}")
def step_flows(context, count, network):
    context.site = site = Site(seed=9, **NETWORKS[network])
    site.open(count, over_s=EVERY_S, every_s=EVERY_S)
    site.net.run(5)
    site.net.run(5)
    context.known_wrong = []
    site.net.target_hooks.append(lambda *sent: note_known_wrong(context, *sent))


def note_known_wrong(context, name, action):
    """Note a packet that its sender knew to go to another service's target."""
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


def remake(site, service, **options):
    """Delete a service with its targets, and make it again with others."""
    drop(site, **options)
    site.net.publish(Kind.SERVICE, service.name, service, **options)
    context_targets = [site.admit(service, **options) for _ in range(4)]
    return context_targets


def drop(site, **options):
    site.net.delete(Kind.SERVICE, "tills", **options)
    for target in site.admitted(TILLS):
        site.net.delete(Kind.TARGET, target.name, **options)
        site.targets[target.host] = replace(target, state=TargetState.RETIRED)


def come_first(site, **options):
    """Make another service at the address before the first one is deleted."""
    site.net.publish(Kind.SERVICE, OTHER.name, OTHER, **options)
    for _ in range(4):
        site.admit(OTHER, **options)
    drop(site, **options)


def take_host(site, **options):
    """Delete a target, and give its host to a target of another service."""
    old = site.admitted(TILLS)[0]
    site.net.delete(Kind.TARGET, old.name, **options)
    site.put_target(replace(old, name="taker", service="feeds"), **options)


def take_host_before(site, **options):
    """Give a target's host to another service's, and delete it after that."""
    old = site.admitted(TILLS)[0]
    site.put_target(replace(old, name="taker", service="feeds"), **options)
    site.net.at(1.0, lambda: site.net.delete(Kind.TARGET, old.name, **options))


def move_target(site, **options):
    site.put_target(replace(site.admitted(TILLS)[0], service="feeds"), **options)


CHANGES = {
    "the service is deleted": drop,
    "deleted and made again with other targets": lambda site, **options: remake(
        site, TILLS, **options
    ),
    "another service takes its address": lambda site, **options: remake(
        site, OTHER, **options
    ),
    "another service comes before the first goes": come_first,
    "another service's target takes a host": take_host,
    "another service's target comes before": take_host_before,
    "a target moves to another service": move_target,
}


@when("services change: {change}, heard {lag}")
def step_change(context, change, lag):
    context.changed_at = context.site.net.now
    CHANGES[change](context.site, **LAGS[lag])


@when("services see {count:d} new flows")
def step_new(context, count):
    context.site.open(count, over_s=5.0, every_s=EVERY_S)


def misdirected(context):
    """Return late packets at targets of a service that is not at the address."""
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
        late = when_s >= context.changed_at + LIMIT_S
        if late and (service is None or owners.get(host) != service):
            wrong.append((when_s - context.changed_at, host, service))
    return wrong


@then("services get no packet of another from 3 s on, for 30 s")
def step_none_wrong(context):
    context.site.net.run(LIMIT_S + 30)
    wrong = misdirected(context)
    assert wrong == [], (len(wrong), wrong[:3])


@then("services get no packet that the sending entry knew to be another's")
def step_none_known(context):
    wrong = context.known_wrong
    assert wrong == [], (len(wrong), wrong[:3])


@then("services get packets of another with the naive version, or flows break")
def step_naive(context):
    context.site.net.run(LIMIT_S + 10)
    wrong, broken = misdirected(context), context.site.broken()
    print(f"naive: {len(wrong)} packets of another service, {len(broken)} broken")
    assert wrong or broken


@when("a record of the service as it was before {change} comes from a peer")
def step_old_record(context, change):
    site = context.site
    old_target = site.admitted(TILLS)[0]
    created = site.net.published[Kind.SERVICE, "tills"].created
    CHANGES[change](site)
    # The target's name stands again, now for the service that stands there.
    service = OTHER if "another" in change else TILLS
    site.put_target(replace(old_target, service=service.name))
    site.net.run(LIMIT_S)
    flow = site.open(1, over_s=0.1, every_s=1e9, service=TILLS)[0]
    key = flow_key(flow.packet())
    record = Record(key, old_target.name, created, int(site.net.now * 1000) - 9000, 7)
    for name in site.net.engines:
        site.net._deliver_message("e1", name, RecordBatch((record,)))
    site.net.run(3)
    context.key, context.created = key, created


@then("services do not send the record's flow to its target")
def step_not_followed(context):
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


@when("services see a TCP flow end by {end}, and its 5-tuple used again")
def step_again(context, end):
    site = context.site
    flow = site.open(1, over_s=0.1, every_s=1e9, service=FEEDS)[0]
    for _ in range(10):
        site.net.run(1)
        site.send(flow)
    context.old_host = flow.host
    assert flow.host
    if "retired" in end:
        site.retire(site.targets[flow.host])
        site.net.run(LIMIT_S)
    site.send(flow, flags=ACK | (TCP_RST if end == "RST" else TCP_FIN))
    site.net.run(2)
    flow.hosts, flow.host, flow.answered_at = (), None, 0.0
    for _ in range(5):
        site.send(flow, flags=ACK if flow.answered_at else SYN)
        site.net.run(2)
    context.flow, context.end = flow, end


@then("the services' second flow stays with one admitted target")
def step_one_target(context):
    flow = context.flow
    assert len(flow.hosts) == 1 and not flow.resets, flow
    target = context.site.targets[flow.host]
    assert target.state is TargetState.ADMITTED and target.service == "feeds"
    if "retired" in context.end:
        assert flow.host != context.old_host
