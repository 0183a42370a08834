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
from kumquatshift.standins.metadata_store import MetadataStore
from tests.support.feed_domain import RecordingListener

KIND = objects.CONFIGURATIONS
ERA = 1


def configuration(version, routes):
    return {
        "version": version,
        "routes": [
            {
                "name": f"r{number:05x}",
                "host": f"198.18.{number >> 8}.{number & 255}",
                "pathPrefix": "/443/",
                "service": "tills",
                "type": "safe",
                "timeoutMs": 2500 + version,
                "priority": 2,
            }
            for number in range(routes)
        ],
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


@given("an entry that has read a configuration of {routes:d} routes")
def step_entry(context, routes):
    context.routes = routes
    context.site = Site(Placement("a", Warmup(WarmupBounds(1.5, 5), "a")), NoLog())
    context.entry = ReadingEntry(ConfigurationListener(context.site, NoLog()))
    context.entry.store.put(KIND, "main", configuration(1, routes))
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
