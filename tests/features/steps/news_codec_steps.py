import json
import zlib
from unittest import mock

from behave import given, then, when
from hypothesis import given as drawn, settings, strategies as st

from kumquatshift.adapters.peers import PeerUpdateCodec, UnreadableNewsError
from kumquatshift.direct.calls import Change, FeedStatus, Item, PeerUpdate, Revision
from tests.support.large_configuration import routes

FOLLOWERS = 11
SINCE = Revision(2, 40)


def update_of(count, changed=50, age_s=0.1):
    value = {"version": changed, "routes": routes(count)}
    revisions = [Revision(2, number) for number in (3, changed, 60)]
    change = Change(Item("main", revisions[1], value), False)
    status = FeedStatus("config", True, *revisions, age_s)
    return PeerUpdate(False, (), (change,), status)


@given("an update of a configuration with {count:d} routes")
def step_update(context, count):
    context.routes = count
    context.news = update_of(count)
    context.codec = PeerUpdateCodec()


@when("the update is encoded for {count:d} followers with the same revision")
def step_encode(context, count):
    with mock.patch.object(zlib, "compress", wraps=zlib.compress) as compress:
        context.bodies = [
            context.codec.encode(context.news, SINCE) for _ in range(count)
        ]
    context.compressions = compress.call_count


@then("the update is compressed once")
def step_compressed_once(context):
    assert context.compressions == 1, context.compressions


@then("each follower gets at most {limit:d} bytes and decodes the same update")
def step_small(context, limit):
    json_bytes = len(json.dumps(context.news).encode())
    print(f"{json_bytes} bytes of JSON, {len(context.bodies[0])} sent")
    for body in context.bodies:
        assert len(body) <= limit, len(body)
        assert context.codec.decode(body) == context.news


@when("the update is encoded at an age of {first:g} s and at one of {second:g} s")
def step_ages(context, first, second):
    context.ages = [first, second]
    context.read = [
        context.codec.decode(context.codec.encode(update_of(8, age_s=age_s), SINCE))
        for age_s in context.ages
    ]


@then("the same ages are decoded")
def step_ages_decoded(context):
    assert [news.status.age_s for news in context.read] == context.ages


@when("a route is added and the update is encoded again")
def step_again(context):
    context.codec.encode(context.news, SINCE)
    context.news = update_of(context.routes + 1, changed=51)
    context.body = context.codec.encode(context.news, SINCE)


@then("the new state is decoded")
def step_new(context):
    assert context.codec.decode(context.body) == context.news


@then("any damage to an answer is reported as unreadable or changes nothing")
def step_damage(context):
    codec = PeerUpdateCodec()
    news = update_of(3)
    body = codec.encode(news, SINCE)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @drawn(st.integers(0, len(body) - 1), st.binary(max_size=4), st.booleans())
    def read(at, put, cut):
        damaged = body[:at] + put + (b"" if cut else body[at + len(put) :])
        try:
            found = codec.decode(damaged)
        except UnreadableNewsError:
            return
        assert found.changes == news.changes, "damaged answer decoded to other changes"

    read()
