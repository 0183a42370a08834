from dataclasses import replace
from unittest import mock

from behave import given, then, when

from kumquatshift.engine.entry import EntryEngine
from kumquatshift.engine.objects import Kind, Profile
from tests.support.site import FEEDS, Site

NETWORKS = {
    "a quiet network": {},
    "lost packets": {"loss": 0.05},
    "reordered packets": {"jitter_s": 0.05},
}
LIMIT_S = 3.0
STEP_S = 0.05


def watch_versions(context):
    """Note any version that goes down at an entry, for as long as it runs."""
    highest, engines = {}, context.site.net.engines

    def look():
        for name, engine in engines.items():
            mine = highest.setdefault((name, id(engine)), {})
            for key, version in engine.node.store.versions().items():
                if version < mine.get(key, 0):
                    context.reverted.append((name, key, version))
                mine[key] = max(version, mine.get(key, 0))
        context.site.net.at(0.5, look)

    context.reverted = []
    look()


@given("config at nine entries, {network}")
def step_site(context, network):
    context.site = Site(seed=7, targets=4, **NETWORKS[network])
    context.fault = "none"
    context.options = {}
    watch_versions(context)


@given("config faults: {fault}")
def step_fault(context, fault):
    net = context.site.net
    context.fault = fault
    readers = sorted(net.watching)
    assert len(readers) == 8, readers
    dead = {
        "one reader in each domain dead": readers[::2],
        "all readers dead": readers,
        "all readers of one domain dead": [r for r in readers if r in ("e4", "e5")],
    }.get(fault, [])
    for name in dead:
        net.kill(name)
    if fault == "deliveries twice and reordered":
        context.options = {"times": 2, "lag_s": 1.0}
    if fault.startswith("one reader hears it"):
        net.unplug(readers[1:])


@given("config news from peers is switched off")
def step_no_peers(context):
    patch = mock.patch.object(EntryEngine, "config_since", lambda *_: [])
    patch.start()
    context.add_cleanup(patch.stop)


@when("config is changed {count:d} times")
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


@then("config of the last change is in force at every running entry within 3 s")
def step_in_force(context):
    net = context.site.net
    while len(in_force(context)) < len(net.engines):
        net.run(STEP_S)
        waited_s = net.now - context.changed_at
        assert waited_s <= LIMIT_S, (waited_s, in_force(context))
    print(f"{context.fault}: in force after {net.now - context.changed_at:.2f} s")


@then("config of the last change is missing at an entry after 3 s")
def step_missing(context):
    context.site.net.run(LIMIT_S)
    assert len(in_force(context)) < len(context.site.net.engines)


@then("config has reverted nowhere")
def step_not_reverted(context):
    context.site.net.run(20)
    assert context.reverted == []


@when("config of domain a, a target and a deleted service changes")
def step_changes(context):
    site = context.site
    context.before = site.net.version
    site.take_out("a")
    site.retire(next(iter(site.targets.values())))
    context.wanted = site.net.delete(Kind.SERVICE, "feeds")
    site.net.run(5)


@when("config of {stale} is from before the change")
def step_stale(context, stale):
    net = context.site.net
    old = [obj for obj in net.log if obj.version <= context.before]
    context.stale_peer = None
    if stale in ("a peer", "both"):
        net.kill("e5")
        net.unplug(["e5"])
        engine = net.start("e5")
        engine.objects(old)
    if stale in ("the platform's read", "both"):
        net.stale_version = context.before


@when("config meets an entry that starts with nothing")
def step_start(context):
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


@then("config of the new entry never takes part with what is stale")
def step_never_stale(context):
    assert context.ready_stale == []


@when("config of a service is deleted")
def step_delete(context):
    net = context.site.net
    context.created = net.published[Kind.SERVICE, "feeds"].created
    context.before = net.version
    net.delete(Kind.SERVICE, "feeds")
    net.run(LIMIT_S)


@when("config of the service is read from a stale platform, 10 times")
def step_stale_reads(context):
    net = context.site.net
    net.stale_version = context.before
    for _ in range(10):
        net.bring_platform_up()
        net.run(0.5)
    net.stale_version = None


@then("config holds the service nowhere")
def step_nowhere(context):
    for engine in context.site.net.engines.values():
        assert "feeds" not in engine.node.store.by_name


@when("config of the service is made again")
def step_again(context):
    context.site.net.publish(Kind.SERVICE, "feeds", replace(FEEDS, port=444))
    context.site.net.run(LIMIT_S)


@then("config holds the service everywhere, with another creation")
def step_everywhere(context):
    for engine in context.site.net.engines.values():
        view = engine.node.store.by_name["feeds"]
        assert view.created > context.created


@when("the platform of config is down for an hour")
def step_down(context):
    context.site.net.take_platform_down()
    context.site.net.run(600)


@when("config entries are replaced one after another meanwhile")
def step_replace(context):
    net = context.site.net
    for vm in net.vms:
        net.kill(vm.name)
        net.run(10)
        net.start(vm.name)
        net.run(323)
    assert not net.platform_up


@then("config is the same everywhere")
def step_same(context):
    wanted = {f"{kind}/{name}" for kind, name in context.site.net.published}
    for engine in context.site.net.engines.values():
        assert set(engine.node.store.versions()) == wanted
    digests = {e.node.store.digest for e in context.site.net.engines.values()}
    assert len(digests) == 1


@then("every entry of config takes part")
def step_take_part(context):
    assert len(context.site.net.ready_names()) == 9


@when("config of a reader is paused for 90 s while domain a goes out and back")
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
