import time

from behave import given, then, when
from returns.pipeline import is_successful
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from kumquatshift.adapters.watcher import PlatformWatch
from kumquatshift.engine.objects import Kind, Profile
from kumquatshift.engine.store import ConfigStore
from kumquatshift.errors import ErrorKind
from kumquatshift.platform_port import Expired
from tests.support.loopback import LoopbackSite, in_reactor

POLL_S = 0.05
KEY = ("profile", "a")


def body_of_write(number):
    return {"idle_timeout_s": 100.0 + number}


@given('a platform with profile "a" whose copy lacks its last 3 writes')
def step_platform(context):
    context.site = LoopbackSite.start()
    context.add_cleanup(context.site.stop)
    context.platform_client = context.site.client()
    store = context.site.store
    store.put(KEY, 0, "w1", body_of_write(1))
    context.copy = store.copy()
    for number in (2, 3, 4):
        store.put(KEY, number - 1, f"w{number}", body_of_write(number))
    store.put(("domain", "b"), 0, "b", {"state": "in"})


@given("an entry that follows the platform")
def step_entry(context):
    context.entry_config = config = ConfigStore()

    def start():
        watch = PlatformWatch(
            context.platform_client,
            reactor,
            lambda obj: config.merge([obj]),
            config.objects,
        )
        watch.hold(True)
        return watch

    watch = in_reactor(start)
    context.add_cleanup(in_reactor, watch.hold, False)
    wait_for_write(context, 4, 2.0)
    context.creation = config.get(Kind.PROFILE, "a").created


def has_write(context, number):
    obj = context.entry_config.get(Kind.PROFILE, "a")
    wanted = body_of_write(number)["idle_timeout_s"]
    return obj is not None and obj.body and obj.body.idle_timeout_s == wanted


def wait_for_write(context, number, limit_s, more=lambda: True):
    begin = time.monotonic()
    while not (in_reactor(has_write, context, number) and in_reactor(more)):
        assert time.monotonic() - begin < limit_s, context.entry_config.objects()
        time.sleep(POLL_S)


@when("the platform is restored from the copy")
def step_restore(context):
    context.lost_version = context.site.store.live(KEY)["version"]
    in_reactor(context.site.server.api.restore, context.copy)


@when("the platform is restored from the copy, and {count:d} other writes are made")
def step_restore_and_write(context, count):
    step_restore(context)
    for number in range(count):
        context.site.store.put(KEY, number + 1, "", body_of_write(50 + number))


@when('profile "a" is removed and made again')
def step_made_again(context):
    def make():
        api = context.site.server.api
        api.store.delete(KEY, api.store.live(KEY)["version"], "")
        api.store.put(KEY, 0, "", body_of_write(7))
        api._publish()

    in_reactor(make)


@then('the entry\'s profile "a" is of the same creation as before')
def step_same_creation(context):
    assert context.entry_config.get(Kind.PROFILE, "a").created == context.creation


@then('the entry\'s profile "a" is of another creation than before')
def step_another_creation(context):
    assert context.entry_config.get(Kind.PROFILE, "a").created > context.creation


@then('{after:g} s later the entry has profile "a" as of write {number:d}')
def step_kept(context, after, number):
    time.sleep(after)
    assert in_reactor(has_write, context, number), context.entry_config.objects()


@when("write 4 is made again, and a domain is taken out")
def step_write_again(context):
    def write():
        api = context.site.server.api
        version = api.store.live(KEY)["version"]
        api.store.put(KEY, version, "w4", body_of_write(4))
        api.store.put(("domain", "b"), 0, "b", {"state": "out"})
        api._publish()

    in_reactor(write)


@then(
    'within {limit:g} s the entry has profile "a" as of write {number:d}'
    " and the domain is out"
)
def step_in_force(context, limit, number):
    def is_out():
        return not context.entry_config.domain_in_service("b")

    wait_for_write(context, number, limit, is_out)


@then('within {limit:g} s the entry has profile "a" as of write {number:d}')
def step_given_up(context, limit, number):
    wait_for_write(context, number, limit)


@then("a write based on the lost version is refused as a conflict")
def step_conflict(context):
    write = context.platform_client.write_object
    answer = in_reactor(write, Profile("a"), context.lost_version, "late")
    assert not is_successful(answer)
    assert answer.failure().kind is ErrorKind.CONFLICT, answer


@then("a watch from the lost version ends as expired")
def step_expired(context):
    def watch():
        ended = Deferred()
        events = []
        context.platform_client.watch_objects(
            context.lost_version, events.append, ended.callback
        )
        return ended

    assert isinstance(in_reactor(watch), Expired)


@then("all versions that the client reads are above the lost one")
def step_above(context):
    listing = in_reactor(context.platform_client.list_objects).unwrap()
    versions = [listing.version, *(obj.version for obj in listing.items)]
    assert min(versions) > context.lost_version, versions
