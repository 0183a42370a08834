import json
import zlib
from unittest import mock

from behave import given, then, when
from hypothesis import given as drawn, settings, strategies as st

from kumquatshift.adapters.peers import NewsCodec, UnreadableNewsError
from kumquatshift.direct.calls import Change, FeedStatus, Item, PeerUpdate

FOLLOWERS = 11
SINCE = 40


def news_of(routes, changed=50, age_s=0.1):
    value = {
        "version": changed,
        "routes": [
            {
                "name": f"r{number:05x}",
                "host": f"198.18.{number >> 8}.{number & 255}",
                "pathPrefix": "/443/",
                "service": "tills",
                "type": "safe",
                "timeoutMs": 2500,
                "priority": 2,
            }
            for number in range(routes)
        ],
    }
    change = Change(Item("main", changed, value), False)
    return PeerUpdate(
        False, (), (change,), FeedStatus("config", True, 3, changed, 60, age_s)
    )


@given("news of a configuration with {routes:d} routes")
def step_news(context, routes):
    context.routes = routes
    context.news = news_of(routes)
    context.codec = NewsCodec()


@when("it is written for {count:d} followers that know the same")
def step_written(context, count):
    with mock.patch.object(zlib, "compress", wraps=zlib.compress) as compress:
        context.bodies = [
            context.codec.encode(context.news, SINCE) for _ in range(count)
        ]
    context.deflated = compress.call_count


@then("it is deflated once")
def step_once(context):
    assert context.deflated == 1, context.deflated


@then("each gets at most {limit:d} bytes and reads what was written")
def step_small(context, limit):
    whole = len(json.dumps(context.news).encode())
    print(f"{whole} bytes of JSON, {len(context.bodies[0])} sent")
    for body in context.bodies:
        assert len(body) <= limit, len(body)
        assert context.codec.decode(body) == context.news


@when("it is written at an age of {first:g} s and at one of {second:g} s")
def step_ages(context, first, second):
    context.ages = [first, second]
    context.read = [
        context.codec.decode(context.codec.encode(news_of(8, age_s=age_s), SINCE))
        for age_s in context.ages
    ]


@then("these ages are read again")
def step_ages_read(context):
    assert [news.status.age_s for news in context.read] == context.ages


@when("a route is added and it is written again")
def step_again(context):
    context.codec.encode(context.news, SINCE)
    context.news = news_of(context.routes + 1, changed=51)
    context.body = context.codec.encode(context.news, SINCE)


@then("the new state is read")
def step_new(context):
    assert context.codec.decode(context.body) == context.news


@then("any damage to an answer is told as unreadable, or changes nothing")
def step_damage(context):
    codec = NewsCodec()
    news = news_of(3)
    body = codec.encode(news, SINCE)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @drawn(st.integers(0, len(body) - 1), st.binary(max_size=4), st.booleans())
    def read(at, put, cut):
        damaged = body[:at] + put + (b"" if cut else body[at + len(put) :])
        try:
            found = codec.decode(damaged)
        except UnreadableNewsError:
            return
        assert found.changes == news.changes, "damage that went unnoticed"

    read()
