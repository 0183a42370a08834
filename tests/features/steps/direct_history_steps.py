import gc
import json
import tracemalloc

from behave import given, then, when
from hypothesis import given as drawn, settings, strategies as st

from kumquatshift.adapters.peers import PeerUpdateCodec
from kumquatshift.direct.calls import NO_REVISION, Change, Changes, Item, Page, Revision
from kumquatshift.direct.feed import Feed, FeedTiming
from kumquatshift.direct.placement import Placement
from kumquatshift.direct.site import Site
from kumquatshift.direct.warmup import Warmup, WarmupBounds
from kumquatshift.platform import objects
from kumquatshift.platform.feed_listeners import ConfigurationListener
from kumquatshift.standins.direct_flows import Outcome
from kumquatshift.standins.metadata_store import MetadataStore
from tests.support.direct_site import DirectSite
from tests.support.feed_domain import RecordingListener
from tests.support.large_configuration import routes

KIND = objects.CONFIGURATIONS
ERA = 1


def configuration(version, count):
    return {
        "version": version,
        "routes": routes(count, timeout_ms=2500 + version),
        "limits": {"idleTimeoutMs": 15_000},
    }


class NoLog:
    """Event sink that keeps nothing, since events would count as memory used."""

    def emit(self, event, **inputs):
        pass


class ReadingEntry:
    """Feed of one entry that reads the responses of a store."""

    def __init__(self, listener):
        self.feed = Feed(KIND, FeedTiming.from_bounds(4, 3), listener, NoLog())
        self.store = MetadataStore(era=ERA)
        self.now = 0.0

    def list(self):
        self.feed.next_call(self.now)
        body = json.dumps(self.store.page(KIND, "")).encode()
        self.feed.handle_page(objects.page_from(body, ERA), self.now)

    def watch(self):
        """Read all changes, and forget the store's own history of them."""
        self.now += 1
        call = self.feed.next_call(self.now)
        events = self.store.since(KIND, call.revision.number)
        answer = {"events": events, "currentRev": self.store.revision}
        changes = objects.changes_from(json.dumps(answer).encode(), ERA)
        self.feed.handle_changes(changes, self.now)
        self.store.compact()


class Announcements:
    """Takes the place of the entry that a recording listener tells of changes."""

    def announce_changes(self):
        pass


@given("an entry that has read a configuration of {count:d} routes")
def step_entry(context, count):
    context.routes = count
    context.site = Site(Placement("a", Warmup(WarmupBounds(1.5, 5), "a")), NoLog())
    context.entry = ReadingEntry(ConfigurationListener(context.site, NoLog()))
    context.entry.store.put(KIND, "main", configuration(1, count))
    context.entry.list()
    context.first = context.entry.feed.status(0).revision
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)


@when("{count:d} more versions are written, one after the other")
def step_versions(context, count):
    entry = context.entry
    for version in range(2, count + 2):
        entry.store.put(KIND, "main", configuration(version, context.routes))
        entry.watch()
    context.last = count + 1


@when("{count:d} other objects of {kb:d} kB are written and deleted again")
def step_deleted(context, count, kb):
    entry = context.entry
    for number in range(count):
        entry.store.put(KIND, f"other-{number}", "x" * kb * 1000)
        entry.watch()
        entry.store.delete(KIND, f"other-{number}")
        entry.watch()


@when("{count:d} other objects are written")
def step_others(context, count):
    for number in range(count):
        context.entry.store.put(KIND, f"other-{number}", number)
        context.entry.watch()


@given("a site of 2 entries and {count:d} targets")
def step_site(context, count):
    context.direct = DirectSite()
    for _ in range(2):
        context.direct.add_entry("a")
    for number in range(count):
        context.direct.add_target(f"t{number}", "a")
    route_and_ask(context.direct, 1)


@when(
    "{count:d} routes are added one after the other, get a flow and are removed again"
)
def step_routes(context, count):
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    for number in range(count):
        route_and_ask(context.direct, number + 2)


@then("the entries keep at most {kb:d} kB more about targets")
def step_site_memory(context, kb):
    gc.collect()
    snapshot = tracemalloc.take_snapshot()
    only_targets = tracemalloc.Filter(True, "*/kumquatshift/direct/targets.py")
    traces = snapshot.filter_traces([only_targets]).statistics("filename")
    used = sum(each.size for each in traces)
    print(f"{used / 1000:.0f} kB")
    assert used <= kb * 1000, used


def route_and_ask(site, version):
    """Activate a configuration with one route of its own, and use it at each entry."""
    destination = ("198.18.1.1", 1000 + version)
    site.configure(version=version, destinations=(destination,))
    reached = [site.entries[0]]
    caller = site.add_caller(entries=reached, destination=destination)
    for entry in site.entries:
        reached[0] = entry
        caller.ask(b"hello")
        site.run(0.1, 0.01)
        assert caller.requests[-1].outcome is Outcome.ANSWERED
    caller.close()


@then("it uses no more memory than for {copies:d} copies of the configuration")
def step_memory(context, copies):
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    copy = json.loads(json.dumps(configuration(1, context.routes)))
    gc.collect()
    one = tracemalloc.get_traced_memory()[0] - used
    print(f"{used / one:.1f} copies of {one / 1000:.0f} kB")
    assert used <= copies * one, (used, one)
    del copy


@then("it has activated the last version")
def step_activated(context):
    assert context.site.routes.version == context.last


@then("a follower that knows the first version gets the last one alone")
def step_follower(context):
    codec = PeerUpdateCodec()
    update = context.entry.feed.updates_since(context.first, context.entry.now)
    (change,) = codec.decode(codec.encode(update, context.first)).changes
    assert change.item.value["version"] == context.last


@then("a follower that knows the first version gets all {count:d} objects")
def step_snapshot(context, count):
    update = context.entry.feed.updates_since(context.first, context.entry.now)
    assert update.is_snapshot and len(update.items) == count, update


@then("for any series of changes a follower at any revision gets the present state")
def step_any_series(context):
    writes = st.tuples(st.sampled_from("abcd"), st.booleans())
    batches = st.lists(st.lists(writes, max_size=4), max_size=30)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @drawn(batches)
    def check(series):
        listener = RecordingListener(Announcements())
        feed = Feed(KIND, FeedTiming.from_bounds(4, 3), listener, NoLog())
        number = 0
        feed.handle_page(Page((), False, Revision(ERA, number)), 0.0)
        states = {feed.status(0.0).revision: {}}
        for batch in series:
            changes = []
            for name, is_deleted in batch:
                number += 1
                item = Item(name, Revision(ERA, number), number)
                changes.append(Change(item, is_deleted))
            at = Revision(ERA, number)
            feed.handle_changes(Changes(tuple(changes), at), 0.0)
            states[at] = dict(listener.values)
        for since, known in states.items():
            update = feed.updates_since(since, 0.0)
            names = [change.item.name for change in update.changes]
            assert not update.is_snapshot and len(names) == len(set(names)), update
            assert applied(known, update.changes) == listener.values
        assert feed.updates_since(NO_REVISION, 0.0).is_snapshot

    check()


def applied(known, changes):
    """Return the objects of a follower after the changes."""
    values = dict(known)
    for change in changes:
        if change.is_deleted:
            values.pop(change.item.name, None)
        else:
            values[change.item.name] = change.item.value
    return values
