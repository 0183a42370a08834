import asyncio
import json
import random
from pathlib import Path

import aiocoap
import treq
from behave import given, then, when
from hypothesis import given as any_of, seed, settings, strategies as st
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock
from twisted.web.client import HTTPConnectionPool

from kumquatshift.bench.exchange import client_context
from kumquatshift.standins.application import big_payload
from kumquatshift.standins.packets import Datagram, Endpoint, Segment, unpack
from kumquatshift.standins.readiness import ReadyChecks
from kumquatshift.standins.spray import Faults, PacketSprayer
from tests.support.small_site import SmallSite, send_coap
from tests.support.waiting import (
    result_of,
    result_of_coroutine,
    use_reactor,
    wait_until,
)

ENTRIES = {f"e{number}": f"127.12.1.{number}" for number in range(1, 5)}
NO_FAULTS = Faults()
CALLER = Endpoint("127.0.0.1", 40000)

endpoints = st.builds(
    Endpoint, st.ip_addresses(v=4).map(str), st.integers(min_value=1, max_value=65535)
)
datagrams = st.builds(Datagram, endpoints, endpoints, st.binary(max_size=1400))
numbers = st.integers(0, 2**32 - 1)
segments = st.builds(
    Segment,
    endpoints,
    endpoints,
    numbers,
    st.none() | numbers,
    st.binary(max_size=1200),
    st.integers(0, 65535),
    st.booleans(),
    st.booleans(),
    st.booleans(),
)


@then("any datagram and any segment survive packing, and one wrong bit is seen")
def step_packing(context):
    @seed(1)
    @settings(max_examples=200, deadline=None, database=None)
    @any_of(datagrams | segments, st.integers(min_value=0))
    def check(packet, place):
        data = bytearray(packet.pack())
        assert unpack(bytes(data)) == packet
        place %= 8 * len(data)
        data[place // 8] ^= 1 << place % 8
        # A UDP checksum that turns to 0 says that there is none (RFC 768).
        assert unpack(bytes(data)) in (None, packet)

    check()


def make_spray(faults=NO_FAULTS, entries=4, rng_seed=1):
    sent, clock = [], Clock()
    names = dict(list(ENTRIES.items())[:entries])
    rng = random.Random(rng_seed)
    spray = PacketSprayer(names, faults, rng, clock, lambda host, _: sent.append(host))
    return spray, sent, clock


@given("a fabric that asks one entry")
def step_one_entry(context):
    context.spray, _, context.clock = make_spray(entries=1)
    context.answers = []

    def fetch(host):
        asked = Deferred()
        context.answers.append(asked)
        return asked

    context.checks = ReadyChecks(context.spray, fetch, context.clock)
    context.checks.start()


@when("the entry's answers are {answers}")
def step_answers(context, answers):
    for answer in answers.replace("nothing yet", "").split():
        asked = context.answers[-1]
        if answer == "miss":
            asked.errback(ConnectionRefusedError())
        elif answer != "hang":
            asked.callback(int(answer))
        context.clock.advance(0.5)


@then("the fabric finds the entry {state}")
def step_entry_state(context, state):
    assert context.spray.ready == (("e1",) if state == "ready" else ())


@given("a spray over {entries:d} entries of which {ready:d} are ready")
def step_spray(context, entries, ready):
    context.spray, context.sent, context.clock = make_spray(entries=entries)
    for name in list(context.spray.entries)[:ready]:
        context.spray.set_ready(name, True)


@given("a spray whose {fault} is certain")
def step_faulty_spray(context, fault):
    faults = Faults(**{fault: 1.0})
    context.spray, context.sent, context.clock = make_spray(faults)
    context.spray.set_ready("e1", True)


@when("{count:d} packets pass the spray")
def step_pass(context, count):
    for _ in range(count):
        context.spray.forward("to-targets", b"packet")


@when("one packet passes the spray")
def step_pass_one(context):
    context.spray.forward("to-targets", b"packet")


@then("each ready entry got {low:d} to {high:d} packets and the other got none")
def step_spread(context, low, high):
    counts = {host: context.sent.count(host) for host in ENTRIES.values()}
    assert all(low <= counts[ENTRIES[name]] <= high for name in context.spray.ready)
    assert counts["127.12.1.4"] == 0, counts
    for name in context.spray.ready:
        counted = context.spray.counters[f"to-targets.sent.{name}"]
        assert counted == counts[ENTRIES[name]]


@then("the same seed spreads the packets in the same way")
def step_same_seed(context):
    spray, sent, _ = make_spray()
    for name in context.spray.ready:
        spray.set_ready(name, True)
    for _ in context.sent:
        spray.forward("to-targets", b"packet")
    assert sent == context.sent


@then("{copies:d} copies are sent {moment}")
def step_copies(context, copies, moment):
    if moment == "later":
        assert not context.sent
        context.clock.advance(1)
    assert len(context.sent) == copies


@then("the spray counts {count:d} packet without a ready entry")
def step_no_ready(context, count):
    assert context.spray.counters["to-targets.no-ready-entry"] == count


@given("a small site with {entries:d} entries")
def step_site(context, entries, **faults):
    site = context.site = SmallSite(
        use_reactor(context), Path(context.feature.filename).stem
    )
    context.add_cleanup(site.stop)
    site.start_target("t1", "tills", 1)
    site.start_target("t2", "tills", 2)
    site.start_target("w1", "web", 21)
    for number in range(1, entries + 1):
        site.start_entry(number)
    site.start_fabric(entries, **faults)
    site.wait_ready(range(1, entries + 1))


@given(
    "a small site with {entries:d} entries whose fabric doubles and reorders packets"
)
def step_doubling_site(context, entries):
    step_site(context, entries, duplicate=0.3, reorder=0.3)


@given(
    "a small site with {entries:d} entries whose fabric loses, doubles and reorders "
    "packets"
)
def step_losing_site(context, entries):
    step_site(context, entries, loss=0.05, duplicate=0.1, reorder=0.1)


@when("an entry sends the fabric a packet that is {packet}")
def step_bad_packet(context, packet):
    elsewhere = Endpoint("127.12.9.99", 1)
    data = {
        "malformed": b"\x45 not a packet",
        "empty": b"",
        "not of a service": Datagram(elsewhere, CALLER, b"x").pack(),
        "a stray segment": Segment(elsewhere, CALLER, 1, rst=True).pack(),
    }
    entry = context.site.entries[1]
    entry.receiver.transport.write(data[packet], (context.site.fabric_host, 6080))


@then("the fabric counts it as {reason}")
def step_counted(context, reason):
    def is_counted():
        counters = context.site.fabric.dump()["counters"]
        return 1 in (counters.get(reason), counters.get(f"from-entries.{reason}"))

    wait_until(is_counted)


@when("{count:d} callers send one request each at once")
def step_requests(context, count):
    uri = f"{context.site.tills}/echo?id=r"

    async def run():
        sending = [send_coap(aiocoap.POST, f"{uri}{n}") for n in range(count)]
        return await asyncio.gather(*sending)

    context.responses = result_of_coroutine(run(), 20)


@then("each caller got the answer to its own request")
def step_own_answers(context):
    for number, response in enumerate(context.responses):
        answer = json.loads(response.payload)
        assert (answer["id"], answer["service"]) == (f"r{number}", "tills"), answer


@then("no request was run twice")
def step_run_once(context):
    runs = {}
    for target in context.site.targets.values():
        for ident, count in target.app.posts.runs.items():
            runs[ident] = runs.get(ident, 0) + count
    assert len(runs) == len(context.responses)
    assert set(runs.values()) == {1}, runs


@when("a caller asks for {size:d} bytes")
def step_ask_big(context, size):
    uri = f"{context.site.tills}/big?id=long&size={size}"
    context.response = result_of_coroutine(send_coap(aiocoap.GET, uri))


@then("the caller got all {size:d} bytes of its own")
def step_got_big(context, size):
    assert context.response.payload == big_payload("tills", "long", size)


@when("a caller watches, and an entry dies and comes back meanwhile")
def step_watch(context):
    async def next_of(notifications, count):
        found = []
        for _ in range(count):
            note = await asyncio.wait_for(anext(notifications), 8)
            found.append(json.loads(note.payload))
        return found

    async def watch():
        client = await client_context()
        uri = f"{context.site.tills}/feed"
        message = aiocoap.Message(code=aiocoap.GET, uri=uri, observe=0)
        req = client.request(message)
        await req.response
        return client, req, aiter(req.observation)

    # Without a reference to the request, aiocoap lets the watch go.
    client, context.req, notifications = result_of_coroutine(watch())
    context.notes = result_of_coroutine(next_of(notifications, 1))
    context.site.stop_entry(1)
    context.site.wait_ready([2])
    context.notes += result_of_coroutine(next_of(notifications, 2), 20)
    context.site.start_entry(1)
    context.site.wait_ready([1, 2])
    context.notes += result_of_coroutine(next_of(notifications, 1), 20)
    result_of_coroutine(client.shutdown())


@then("the watch is still notified by the same target")
def step_watch_stays(context):
    assert len({note["target"] for note in context.notes}) == 1, context.notes
    order = [note["number"] for note in context.notes]
    assert order == sorted(order) and order[-1] > order[0], order


async def ask_web(pool, method, url):
    response = await treq.request(method, url, pool=pool, timeout=15)
    return await treq.content(response)


@when("an HTTP caller asks for {size:d} bytes and posts once")
def step_http(context, size):
    async def run():
        pool, web = HTTPConnectionPool(use_reactor(context)), context.site.web
        big = await ask_web(pool, "GET", f"{web}/big?id=long&size={size}")
        posted = await ask_web(pool, "POST", f"{web}/echo?id=p1")
        await pool.closeCachedConnections()
        return big, posted

    context.size = size
    context.answers = result_of(ensureDeferred(run()), 30)


@then("the HTTP caller got all of it and its post ran once")
def step_http_whole(context):
    big, posted = context.answers
    assert big == big_payload("web", "long", context.size)
    assert json.loads(posted)["id"] == "p1"
    assert context.site.targets["w1"].app.posts.runs == {"p1": 1}


@when("an HTTP caller asks on one connection, and an entry dies in between")
def step_http_survives(context):
    pool = HTTPConnectionPool(use_reactor(context))

    def ask(ident):
        asking = ensureDeferred(
            ask_web(pool, "GET", f"{context.site.web}/echo?id={ident}")
        )
        return json.loads(result_of(asking, 20))

    context.answers = [ask("a")]
    context.site.stop_entry(1)
    context.answers.append(ask("b"))
    result_of(pool.closeCachedConnections())


@then("both answers came from the same target over the same connection")
def step_same_connection(context):
    assert [answer["id"] for answer in context.answers] == ["a", "b"]
    assert len({answer["target"] for answer in context.answers}) == 1
    assert context.site.fabric.streams.counters["streams-opened"] == 1
