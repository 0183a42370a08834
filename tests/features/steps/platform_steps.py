import json
import random
import tempfile

import treq
from behave import given, then, when
from returns.pipeline import is_successful
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from kumquatshift.adapters.platform import PlatformClient
from kumquatshift.adapters.watcher import Backoff, PlatformWatch, VmPoller
from kumquatshift.engine.objects import Kind, Profile, Versioned
from kumquatshift.errors import ErrorKind, Failure
from kumquatshift.platform_port import Expired, Listing, Progress
from kumquatshift.standins.platform import Api, PlatformSettings, VmRow
from tests.support.authority import DAY, make_authority, make_leaf, write_files
from tests.support.fake_platform import FakePlatform
from tests.support.loopback import PLATFORM_ADDRESS, LoopbackSite, in_reactor

ENDED = Failure(ErrorKind.UNAVAILABLE, "the watch ended")
EXPIRED = Expired(ErrorKind.NOT_FOUND, "too old")
KEEP_ALIVE_S = 1


def start_site(context, **settings):
    context.site = LoopbackSite.start(**settings)
    context.add_cleanup(context.site.stop)
    context.client = context.site.client()


def describe(obj):
    text = f"{obj.kind}/{obj.name} {obj.version}"
    return text + (" deleted" if obj.body is None else "")


@given('a platform with profile "a" at version 1 and profile "b" removed as version 3')
def step_site(context):
    start_site(context)
    store = context.site.store
    store.put(("profile", "a"), 0, "first", {})
    store.put(("profile", "b"), 0, "second", {})
    store.delete(("profile", "b"), 2, "third")


@given('a platform that keeps a history of 1 change, with profile "a" written 4 times')
def step_short_history(context):
    start_site(context, history=1)
    for version in range(4):
        context.site.store.put(("profile", "a"), version, "", {})


@given("a platform that has stopped listening")
def step_stopped(context):
    start_site(context)
    in_reactor(context.site.server.port.stopListening)


@given("a platform over TLS that presents {presented}")
def step_tls(context, presented):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    site, other = make_authority("site"), make_authority("other")
    leaves = {
        "a valid certificate": lambda: make_leaf(site, PLATFORM_ADDRESS),
        "an expired certificate": lambda: make_leaf(site, PLATFORM_ADDRESS, -DAY),
        "a certificate of another CA": lambda: make_leaf(other, PLATFORM_ADDRESS),
        "a certificate of another address": lambda: make_leaf(site, "127.11.0.2"),
    }
    files = write_files(folder.name, site, leaves[presented]())
    start_site(context, certificate=files.certificate, key=files.key)
    context.url = context.site.url.replace("http:", "https:")
    context.ca = files.ca


@when('the client that trusts the site\'s authority tries to write profile "a"')
def step_tls_write(context):
    cfg = {"platform": context.url, "ca": context.ca}
    client = PlatformClient.from_config(cfg, reactor)
    context.answer = in_reactor(client.write_object, Profile("a"), 0, "anna-1")


@given("the platform has the fault {fault}")
def step_fault(context, fault):
    context.site.faults(**json.loads(fault))


@when('the platform gets the call "{call}" with If-Match "{match}" and body "{body}"')
def step_ask(context, call, match, body):
    method, path = call.split()
    body = "" if body == "-" else body

    async def ask():
        reply = await treq.request(
            method,
            context.site.url + path,
            data=body.encode(),
            headers={} if match == "-" else {"If-Match": match},
            persistent=False,
        )
        await reply.content()
        return reply.code

    context.code = in_reactor(lambda: Deferred.fromCoroutine(ask()))


@then("the platform answers {code:d} and is then at version {version:d}")
def step_answer(context, code, version):
    assert context.code == code, context.code
    assert context.site.store.version == version, context.site.store.version


@when('profile "b" is written through the client at version 0')
def step_write_again(context):
    in_reactor(context.client.write_object, Profile("b"), 0, "anna-1")


@then("the object read back was created at version 4 and has its operation's id")
def step_created(context):
    obj = in_reactor(context.client.read_object, Kind.PROFILE, "b").unwrap()
    assert (obj.created, obj.version, obj.operation) == (4, 4, "anna-1"), obj


@when("the client watches since version {since:d} until version {until:d}")
def step_watch(context, since, until):
    context.events, context.ended = [], []

    def watch():
        done = Deferred()

        def on_event(event):
            context.events.append(event)
            if isinstance(event, Progress) and event.version >= until:
                done.callback(None)

        def on_end(failure):
            context.ended.append(failure)
            done.callback(None)

        opened = context.client.watch_objects(since, on_event, on_end)
        return done.addCallback(lambda _: opened.stop())

    in_reactor(watch)


@then('the watch delivered "{wanted}"')
def step_watch_delivered(context, wanted):
    names = [
        f"progress {event.version}" if isinstance(event, Progress) else describe(event)
        for event in context.events
    ]
    assert ", ".join(names) == wanted, names


@then("the watch ended as Expired")
def step_watch_expired(context):
    assert [type(end) for end in context.ended] == [Expired], context.ended


@when("the client tries to {call}")
def step_try(context, call):
    client = PlatformClient.from_config(
        {"platform": context.site.url, "timeout_s": "0.5"}, reactor
    )
    calls = {
        "list all objects": client.list_objects,
        'read profile "a"': lambda: client.read_object(Kind.PROFILE, "a"),
        'write profile "a"': lambda: client.write_object(Profile("a"), 1, "anna-1"),
    }
    context.answer = in_reactor(calls[call])


@then('the client reports "{kind}", and the platform is at version {version:d}')
def step_client_result(context, kind, version):
    answer = context.answer
    found = "success" if is_successful(answer) else answer.failure().kind
    assert found == kind, answer
    assert context.site.store.version == version, context.site.store.version


@then("the platform counted {watches:d} watch, {lists:d} list and {reads:d} read calls")
def step_counted(context, watches, lists, reads):
    calls = context.site.server.api.dump()["calls"]
    found = [calls.get(name, 0) for name in ("watch", "list", "read")]
    assert found == [watches, lists, reads], calls


@given("a platform's list of VMs that lags by 5 s on a paused clock")
def step_lagging(context):
    context.clock = Clock()
    rows = (VmRow("e1", "north-a", "entry", "127.11.1.1"),)
    context.api = Api(PlatformSettings(vms_lag_s=5, vms=rows), context.clock)


@when('the VM "e1" is posted as leaving')
def step_post_vm(context):
    rows = (VmRow("e1", "north-a", "entry", "127.11.1.1", "leaving"),)
    context.api.change_vms(rows)


@then('the list shows "e1 live" until 4.9 s and "e1 leaving" from 5.1 s on')
def step_lag_shown(context):
    context.clock.advance(4.9)
    assert context.api.vms[0].state == "live"
    context.clock.advance(0.2)
    assert context.api.vms[0].state == "leaving"


@given("a continuous watch on a fake platform at version 10")
def step_continuous_watch(context):
    context.clock = Clock()
    context.platform = FakePlatform(10)
    context.told, context.known = [], []
    context.watch = PlatformWatch(
        context.platform,
        context.clock,
        context.told.append,
        lambda: context.known,
        random.Random(1),
    )
    context.watch.hold(True)
    context.sends_keep_alives = False


@given('the receiver knows profile "x" at version {version:d}')
def step_known(context, version):
    context.known.append(Versioned(Kind.PROFILE, "x", version, Profile("x")))


@when("the fake platform's watch {ending}")
def step_ending(context, ending):
    platform, watch = context.platform, context.platform.watches[-1]
    platform.refusing = "lists are refused" in ending
    context.sends_keep_alives = ending == "is kept alive"
    if "delivers version 12" in ending:
        watch.on_event(Versioned(Kind.PROFILE, "x", 12, Profile("x")))
    if "expires" in ending:
        watch.on_end(EXPIRED)
    elif "ends" in ending:
        watch.on_end(ENDED)


@when('the watch expires and the new list holds "{listed}" at version {version:d}')
def step_expire_and_list(context, listed, version):
    items = [Versioned(Kind.PROFILE, "x", 8, Profile("x"))]
    skipped = ((Kind.PROFILE, "x"),) if listed == "x unreadable" else ()
    items = tuple(items if listed == "profile x" else [])
    context.platform.listing = Listing(version, items, skipped)
    context.platform.watches[-1].on_end(EXPIRED)


@when('profile "x" is written as version 12 and all watches hang for 15 s')
def step_hang(context):
    items = (Versioned(Kind.PROFILE, "x", 12, Profile("x")),)
    context.platform.listing = Listing(12, items)
    step_pass(context, 15)


@when('the watch\'s connection dies, and profile "x" is written as version 12')
def step_dies(context):
    context.platform.changes = (Versioned(Kind.PROFILE, "x", 12, Profile("x")),)


@when("{seconds:g} s pass on the watch's clock")
def step_pass(context, seconds):
    for second in range(round(seconds * 10)):
        context.clock.advance(0.1)
        if context.sends_keep_alives and second % (KEEP_ALIVE_S * 10) == 0:
            context.platform.watches[-1].on_event(Progress(10))


@then("the fake platform has seen {lists} lists and the watches {since}")
def step_seen(context, lists, since):
    platform = context.platform
    found = ", ".join(str(watch.since) for watch in platform.watches)
    assert found == since, found
    assert sum(not watch.stopped for watch in platform.watches) >= 1
    if lists == "many":
        assert 4 <= platform.refused <= 20, platform.refused
    else:
        assert platform.lists == int(lists), platform.lists


@then("the receiver got these changes: {wanted}")
def step_receiver_changes(context, wanted):
    found = ", ".join(describe(obj) for obj in context.told) or "nothing"
    assert found == wanted, found


@when("the watch is stopped while a list is in flight")
def step_stop_watch(context):
    context.platform.holding = True
    context.platform.watches[-1].on_end(EXPIRED)
    step_pass(context, 2)
    context.watch.hold(False)
    assert len(context.platform.held) == 1


@then("the clock has no pending calls")
def step_nothing_left(context):
    assert context.clock.getDelayedCalls() == []


@then("the retry delays of 200 clients lie between half and all of {steps} s")
def step_waits(context, steps):
    steps = [float(step) for step in steps.split(",")]
    clients = [Backoff(random.Random(seed)) for seed in range(200)]
    for step in steps:
        waits = [client.next_s() for client in clients]
        assert all(step / 2 <= wait <= step for wait in waits), waits
        assert max(waits) - min(waits) > 0.4 * step, "the retry delays are not jittered"


@given("a VM poller on a fake platform")
def step_poller(context):
    context.clock = Clock()
    context.platform = FakePlatform()
    context.times = []
    context.poller = VmPoller(
        context.platform,
        context.clock,
        lambda _: context.times.append(context.clock.seconds()),
    )
    context.poller.hold(True)


@when("12 s pass, the platform is down for 10 s, then up for 6 s")
def step_poller_outage(context):
    for refusing, seconds in ((False, 12), (True, 10), (False, 6)):
        context.platform.refusing = refusing
        for _ in range(seconds):
            context.clock.advance(1)


@then("the receiver got 4 lists of VMs, and none from 12 s to 22 s")
def step_polled(context):
    assert context.times == [0, 5, 10, 25], context.times
