import time
from functools import partial

from behave import given, then, when
from twisted.internet import reactor

from kumquatshift.direct.calls import (
    Change,
    Changes,
    Failure,
    FeedStatus,
    Item,
    ListCall,
    Page,
    PeerUpdate,
    PeerUpdateCall,
    Revision,
)
from kumquatshift.direct.events import Event
from kumquatshift.direct.feed import Feed, FeedTiming
from kumquatshift.direct.members import Member, Members, PeerHeartbeat
from kumquatshift.direct.peer_updates import PeerSelector
from kumquatshift.direct.placement import Placement
from kumquatshift.direct.site import Site
from kumquatshift.direct.warmup import Warmup, WarmupBounds
from kumquatshift.platform import objects
from kumquatshift.platform.feed_listeners import feed_listeners
from kumquatshift.platform.store import StoreReader
from kumquatshift.standins.metadata_store import StoreFaults, serve
from tests.features.steps.platform_wire_steps import CONFIGURATION, TARGET
from tests.support.direct_site import Recorder
from tests.support.loopback import in_reactor

ADDRESS = "127.31.0.1"
WATCH_S = 3.0
POLL_S = 0.05

STORE_FAULTS = {
    "answers 503": StoreFaults(refuse=503),
    "answers 429": StoreFaults(refuse=429),
    "resets connections": StoreFaults(reset=True),
    "never answers": StoreFaults(silent=True),
    "delays each answer by 0.5 s": StoreFaults(latency_s=0.5),
    "takes 1.2 s to send each answer": StoreFaults(sending_s=1.2),
    "takes 12 s to send each answer": StoreFaults(sending_s=12.0),
    "truncates its answers": StoreFaults(cut_answers=4),
    "answers with half of its JSON": StoreFaults(garble_answers=4),
}


@given(
    "a metadata store with {count:d} targets, a configuration and an evacuated domain"
)
def step_store(context, count):
    context.api, port = in_reactor(serve, reactor, ADDRESS, 0)
    context.add_cleanup(in_reactor, port.stopListening)
    context.store_address = (ADDRESS, port.getHost().port)
    for number in range(count):
        context.api.put(objects.TARGETS, f"i-{number:04x}", TARGET)
    context.api.put(objects.CONFIGURATIONS, "main", {**CONFIGURATION, "version": 1})
    context.api.put(objects.EVACUATIONS, "north-d", {})


def read_store(context, watch_s):
    events = Recorder()
    warmup = Warmup(WarmupBounds(1.5, 5), "north-a")
    context.site = Site(Placement("north-a", warmup), events)
    context.events = events
    for kind, listener in feed_listeners(context.site, events).items():
        feed = Feed(kind, FeedTiming(watch_s), listener, events)
        reader = StoreReader(reactor, context.store_address, feed)
        in_reactor(reader.start)
        context.add_cleanup(in_reactor, reader.stop)


@when("a site reads the store")
def step_read(context):
    read_store(context, WATCH_S)


@when("a site reads the store with watches of {watch_s:g} s")
def step_read_short(context, watch_s):
    read_store(context, watch_s)


def wait_for(condition, limit_s):
    """Wait until the condition holds; return the seconds that it took."""
    begin = time.monotonic()
    while not in_reactor(condition):
        waited_s = time.monotonic() - begin
        assert waited_s < limit_s, f"condition does not hold within {limit_s} s"
        time.sleep(POLL_S)
    return time.monotonic() - begin


@then(
    "within {limit:g} s the site has {count:d} targets, version {version:d}"
    " and {evacuated:d} evacuated domain"
)
def step_knows(context, limit, count, version, evacuated):
    site = context.site

    def knows():
        return (
            site.is_known
            and len(site.targets) == count
            and site.routes.version == version
            and len(site.placement.evacuated) == evacuated
        )

    wait_for(knows, limit)


@when(
    "a target is added, one drains, one is removed and version {version:d} is written"
)
def step_changes(context, version):
    def change():
        api = context.api
        api.put(objects.TARGETS, "i-9999", TARGET)
        api.put(objects.TARGETS, "i-0001", {**TARGET, "state": "draining"})
        api.delete(objects.TARGETS, "i-0002")
        spec = {**CONFIGURATION, "version": version}
        api.put(objects.CONFIGURATIONS, "main", spec)

    in_reactor(change)


@then("one of the targets is draining")
def step_drains(context):
    wait_for(lambda: sum(t.draining for t in context.site.targets) == 1, 1.0)


@when(
    "the store {fault} for {seconds:g} s, and version {version:d} is written meanwhile"
)
def step_fault(context, fault, seconds, version):
    api = context.api

    def begin():
        if fault == "forgets its history":
            api.compact()
        else:
            api.faults = StoreFaults(**vars(STORE_FAULTS[fault]))
        spec = {**CONFIGURATION, "version": version}
        api.put(objects.CONFIGURATIONS, "main", spec)

    in_reactor(begin)
    time.sleep(seconds)
    context.least = in_reactor(lambda: len(context.site.targets))
    if seconds:
        in_reactor(lambda: setattr(api, "faults", StoreFaults()))


@when("the open watches go silent for good, and version {version:d} is written")
def step_silent_watches(context, version):
    def begin():
        api = context.api
        api.silence()
        spec = {**CONFIGURATION, "version": version}
        api.put(objects.CONFIGURATIONS, "main", spec)

    in_reactor(begin)


@then("the site has version {version:d} within {limit:g} s of the end")
def step_recovers(context, version, limit):
    duration_s = wait_for(lambda: context.site.routes.version == version, limit)
    print(f"after {duration_s:.2f} s")


@then("the site has kept all its targets meanwhile")
def step_targets_kept(context):
    assert context.least == 120, context.least


@then("a feed that lists in two pages keeps the newer state of an object")
def step_two_pages(context):
    class RecordingListener:
        def __init__(self):
            self.values = {}

        def handle_list(self, items, after_loss, now):
            self.values = {item.name: item.value for item in items}

        def handle_change(self, change, now):
            self.values[change.item.name] = change.item.value

    listener = RecordingListener()
    feed = Feed("kind", FeedTiming(5.0), listener, Recorder())
    at = partial(Revision, 1)
    feed.handle_page(Page((Item("a", at(3), "a3"),), True, at(10)), 0.0)
    assert feed.next_call(0.1).after == "a"
    feed.handle_page(Page((Item("b", at(12), "b12"),), False, at(13)), 0.1)
    watched = feed.next_call(0.1).revision
    assert watched == at(10), "watch misses changes between the pages"
    earlier = Change(Item("b", at(11), "b11"), False)
    feed.handle_changes(Changes((earlier,), at(13)), 0.2)
    assert listener.values == {"a": "a3", "b": "b12"}, listener.values


class SilentListener:
    def handle_list(self, items, after_loss, now):
        pass

    def handle_store_loss(self, now):
        pass

    def handle_store_restore(self, now):
        pass


@then("a feed that followed a peer between two pages lists from the start")
def step_peer_between_pages(context):
    at = partial(Revision, 1)
    events = Recorder()
    own, peers = Member("e9", "a", ("10.0.0.1", 9)), range(2, 8)
    members = Members(own, (), events)
    feed = Feed("kind", FeedTiming(5.0), SilentListener(), events)
    feed.follow(members, PeerSelector("kind", 2.4, members))
    feed.handle_page(Page((Item("a", at(3), "a3"),), False, at(10)), 0.0)
    feed.handle_failure(Failure.EXPIRED, "status 410", 0.1)
    feed.handle_page(Page((Item("a", at(3), "a3"),), True, at(11)), 0.2)
    status = FeedStatus("kind", True, at(1), at(12), at(12), 0.0)
    for number in peers:
        address = ("10.0.0.1", number)
        beat = (f"e{number}", "a", address, 1, False, True, (status,), (), ())
        members.receive_heartbeat(PeerHeartbeat(*beat), 0.2)
    assert isinstance(feed.next_call(0.3), PeerUpdateCall)
    update = PeerUpdate(True, (Item("a", at(12), "a12"),), (), status)
    feed.handle_peer_update(update, 0.3)
    members.expire(9.0)
    call = feed.next_call(9.0)
    assert isinstance(call, ListCall) and not call.after, call


@then("a feed that meets a new era between two pages lists from the start")
def step_era_between_pages(context):
    feed = Feed("kind", FeedTiming(5.0), SilentListener(), Recorder())
    first = (Item("a", Revision(1, 3), "a"),)
    feed.handle_page(Page(first, True, Revision(1, 10)), 0.0)
    second = (Item("b", Revision(2, 4), "b"),)
    feed.handle_page(Page(second, False, Revision(2, 6)), 0.1)
    call = feed.next_call(0.1)
    assert isinstance(call, ListCall) and not call.after, call
    assert feed.status(0.1) is None


@when(
    "the store is restored {times:d} times from a copy without its last"
    " {lost:d} changes"
)
def step_restored(context, times, lost):
    def change(api):
        for number in range(lost):
            limits = {"idleTimeoutMs": 15000 + number}
            spec = {**CONFIGURATION, "version": 1, "limits": limits}
            api.put(objects.CONFIGURATIONS, "main", spec)

    for _ in range(times):
        copy = in_reactor(context.api.store.copy)
        in_reactor(change, context.api)
        time.sleep(1.0)
        in_reactor(context.api.restore, copy)
        time.sleep(0.2)
    context.least = in_reactor(lambda: len(context.site.targets))


@when("version {version:d} is written")
def step_version_written(context, version):
    spec = {**CONFIGURATION, "version": version}
    in_reactor(context.api.put, objects.CONFIGURATIONS, "main", spec)


@when("a site reads the store, which {fault} from the start")
def step_read_faulty(context, fault):
    context.api.faults = StoreFaults(**vars(STORE_FAULTS[fault]))
    read_store(context, WATCH_S)


@then("the site makes at most {calls:d} calls in {seconds:g} s")
def step_few_calls(context, calls, seconds):
    time.sleep(seconds)
    made = in_reactor(lambda: len(context.api.calls))
    assert 0 < made <= calls, made


@then("the site {fate} the store within {limit:g} s")
def step_store_lost(context, fate, limit):
    if fate == "loses":
        wait_for(lambda: context.events.count(Event.STORE_LOST) > 0, limit)
        return
    wait_for(lambda: context.site.is_known, limit)
    wait_for(lambda: len(context.site.targets) == 120, limit)
    assert not context.events.count(Event.STORE_LOST)
