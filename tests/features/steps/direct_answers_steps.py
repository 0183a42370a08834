from behave import given, then, when

from kumquatshift.direct.feed import Feed, FeedTiming
from kumquatshift.platform import objects
from kumquatshift.platform.store import StoreReader
from tests.features.steps.platform_wire_steps import TARGET
from tests.support.copying_store import CopyingStore, SteppedReactor
from tests.support.direct_site import Recorder

WATCH_S = 2.0


class NameListener:
    """Keeps the names of the objects in use."""

    def __init__(self):
        self.names = set()
        self.listed = []

    def handle_list(self, items, after_loss, now):
        self.listed = [item.name for item in items]
        self.names = set(self.listed)

    def handle_change(self, change, now):
        if change.is_deleted:
            self.names.discard(change.item.name)
        else:
            self.names.add(change.item.name)

    def handle_store_loss(self, now):
        pass


def _start(context, names):
    context.reactor = SteppedReactor()
    context.store = CopyingStore(context.reactor)
    context.add_cleanup(context.store.close)
    for name in names:
        context.store.store.put(objects.TARGETS, name, TARGET)
    context.listener = NameListener()
    feed = Feed(objects.TARGETS, FeedTiming(WATCH_S), context.listener, Recorder())
    context.reader = StoreReader(context.reactor, context.store.address, feed)
    context.add_cleanup(context.reader.stop)
    context.reader.start()


@given("a store on one connection that listed targets {names}")
def step_listed(context, names):
    _start(context, names.split(" and "))
    context.store.exchange()


@given("a store on one connection with {count:d} targets")
def step_many(context, count):
    _start(context, [f"i-{number:04x}" for number in range(count)])


@given("target {name} has been added and removed again")
def step_added_and_removed(context, name):
    store = context.store
    store.store.put(objects.TARGETS, name, TARGET)
    store.exchange()
    context.copy = store.answers[-1]
    assert name in context.listener.names
    store.store.delete(objects.TARGETS, name)


@when("the store sends the answer that added {name} once more {moment}")
def step_copy(context, name, moment):
    store = context.store
    path = store.await_call()
    if moment == "right behind the answer of removal":
        store.answer(path, context.copy)
        return
    store.answer(path)
    if moment == "while the next watch is pending":
        store.await_call()
    store.send(context.copy)


@when("the store sends the first page once more {moment}")
def step_page(context, moment):
    store = context.store
    path = store.await_call()
    if moment == "right behind it":
        store.answer(path)
        store.send(store.answers[-1])
        return
    store.answer(path)
    store.await_call()
    store.send(store.answers[-1])


@when("target {name} is added")
def step_added(context, name):
    context.store.store.put(objects.TARGETS, name, TARGET)
    context.store.exchange()
    context.store.exchange()


@then("the targets in use are {names}")
def step_in_use(context, names):
    assert context.listener.names == set(names.split(", ")), context.listener.names


@then("all {count:d} targets are in use, each of them once")
def step_all(context, count):
    for _ in range(4):
        if len(context.listener.names) == count:
            break
        context.store.exchange()
    assert len(context.listener.listed) == count, len(context.listener.listed)
    assert len(context.listener.names) == count, len(context.listener.names)


@then("there were at most {count:d} connections")
def step_connections(context, count):
    assert context.store.connections <= count, context.store.connections
