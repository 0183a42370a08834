from dataclasses import replace
from unittest import mock

from behave import given, then, when

from kumquatshift.engine.entry import EntryEngine
from kumquatshift.engine.objects import Kind, Profile
from tests.support.site import FEEDS, Site

NETWORKS = {
    "a network without loss": {},
    "lost packets": {"loss": 0.05},
    "reordered packets": {"jitter_s": 0.05},
}
LIMIT_S = 3.0
STEP_S = 0.05


def record_reverts(context):
    """Record each version that decreases at an entry while it runs."""
    highest, engines = {}, context.site.net.engines

    def compare():
        for name, engine in engines.items():
            seen = highest.setdefault((name, id(engine)), {})
            for key, version in engine.node.store.versions().items():
                if version < seen.get(key, 0):
                    context.reverted.append((name, key, version))
                seen[key] = max(version, seen.get(key, 0))
        context.site.net.at(0.5, compare)

    context.reverted = []
    compare()


@given("a configuration at nine entries, {network}")
def step_site(context, network):
    context.site = Site(seed=7, targets=4, **NETWORKS[network])
    context.fault = "none"
    context.options = {}
    record_reverts(context)


@given("the fault is: {fault}")
def step_fault(context, fault):
    net = context.site.net
    context.fault = fault
    readers = sorted(net.watching)
    assert len(readers) == 8, readers
    dead = {
        "one watcher in each domain dead": readers[::2],
        "all watchers dead": readers,
        "all watchers of one domain dead": [r for r in readers if r in ("e4", "e5")],
    }.get(fault, [])
    for name in dead:
        net.kill(name)
    if fault == "deliveries repeated and reordered":
        context.options = {"times": 2, "lag_s": 1.0}
    if fault.startswith("one watcher receives"):
        net.disconnect_from_platform(readers[1:])


@given("updates from peers are disabled")
def step_no_peer_updates(context):
    patch = mock.patch.object(EntryEngine, "config_since", lambda *_: [])
    patch.start()
    context.add_cleanup(patch.stop)


@when("the configuration is changed {count:d} times")
def step_change(context, count):
    net = context.site.net
    for number in range(count):
        profile = Profile("long", idle_timeout_s=700.0 + number)
        options = dict(context.options)
        if context.fault.startswith("platform down") and number == count - 1:
            options["readers"] = sorted(net.watching)[:1]
        context.wanted = net.publish(Kind.PROFILE, "long", profile, **options)
        context.changed_at = net.now
        if number < count - 1:
            net.run(0.2)
    if context.fault.startswith("platform down"):
        net.take_platform_down()


def in_force(context):
    obj = context.wanted
    return [
        name
        for name, engine in context.site.net.engines.items()
        if (engine.node.store.get(obj.kind, obj.name) or obj).version >= obj.version
        and engine.node.store.get(obj.kind, obj.name) is not None
    ]


@then("the last change is in force at every running entry within 3 s")
def step_in_force(context):
    net = context.site.net
    while len(in_force(context)) < len(net.engines):
        net.run(STEP_S)
        waited_s = net.now - context.changed_at
        assert waited_s <= LIMIT_S, (waited_s, in_force(context))
    print(f"{context.fault}: in force after {net.now - context.changed_at:.2f} s")


@then("the last change is missing at an entry after 3 s")
def step_missing(context):
    context.site.net.run(LIMIT_S)
    assert len(in_force(context)) < len(context.site.net.engines)


@then("no object has reverted to an older version")
def step_not_reverted(context):
    context.site.net.run(20)
    assert context.reverted == []


@when("domain a and a target change, and a service is deleted")
def step_change_three_objects(context):
    site = context.site
    context.before = site.net.version
    site.take_out("a")
    site.retire(next(iter(site.targets.values())))
    context.wanted = site.net.delete(Kind.SERVICE, "feeds")
    site.net.run(5)


@when("outdated objects come from {stale}")
def step_stale(context, stale):
    net = context.site.net
    old = [obj for obj in net.log if obj.version <= context.before]
    context.stale_peer = None
    if stale in ("a peer", "both"):
        net.kill("e5")
        net.disconnect_from_platform(["e5"])
        engine = net.start("e5")
        engine.objects(old)
    if stale in ("the platform's read", "both"):
        net.stale_version = context.before


@when("an entry starts without state")
def step_entry_starts(context):
    net = context.site.net
    net.kill("e4")
    net.start("e4")
    context.ready_stale = []
    for _ in range(60):
        net.run(0.1)
        for name in ("e4", "e5"):
            held = net.engines[name].node.store.get(context.wanted.kind, "feeds")
            if name in net.ready_names() and held.version < context.wanted.version:
                context.ready_stale.append((net.now, name))
    context.changed_at = net.now


@then("no entry is ready while it holds the older version")
def step_not_ready_with_older(context):
    assert context.ready_stale == []


@when("a service is deleted")
def step_delete(context):
    net = context.site.net
    context.created = net.published[Kind.SERVICE, "feeds"].created
    context.before = net.version
    net.delete(Kind.SERVICE, "feeds")
    net.run(LIMIT_S)


@when("the platform serves an older version, 10 times")
def step_stale_reads(context):
    net = context.site.net
    net.stale_version = context.before
    for _ in range(10):
        net.bring_platform_up()
        net.run(0.5)
    net.stale_version = None


@then("no entry holds the service")
def step_nowhere(context):
    for engine in context.site.net.engines.values():
        assert "feeds" not in engine.node.store.by_name


@when("the service is created again")
def step_create_again(context):
    context.site.net.publish(Kind.SERVICE, "feeds", replace(FEEDS, port=444))
    context.site.net.run(LIMIT_S)


@then("every entry holds the service, with a later creation")
def step_everywhere(context):
    for engine in context.site.net.engines.values():
        view = engine.node.store.by_name["feeds"]
        assert view.created > context.created


@when("the platform goes down for an hour")
def step_down(context):
    context.site.net.take_platform_down()
    context.site.net.run(600)


@when("all entries are replaced one after another during that time")
def step_replace(context):
    net = context.site.net
    for vm in net.vms:
        net.kill(vm.name)
        net.run(10)
        net.start(vm.name)
        net.run(323)
    assert not net.platform_up


@then("every entry holds the same configuration")
def step_same_configuration(context):
    wanted = {f"{kind}/{name}" for kind, name in context.site.net.published}
    for engine in context.site.net.engines.values():
        assert set(engine.node.store.versions()) == wanted
    digests = {e.node.store.digest for e in context.site.net.engines.values()}
    assert len(digests) == 1


@then("all nine entries are ready")
def step_all_ready(context):
    assert len(context.site.net.ready_names()) == 9


@when("a watcher is paused for 90 s while domain a is taken out and brought back")
def step_paused(context):
    site = context.site
    reader = sorted(site.net.watching)[-1]
    site.net.pause(reader)
    site.net.run(10)
    site.take_out("a")
    site.net.run(40)
    context.wanted = site.bring_back("a")
    site.net.run(40)
    site.net.resume(reader)
    context.changed_at = site.net.now
