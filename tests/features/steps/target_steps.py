import asyncio
from types import SimpleNamespace

import aiocoap
import treq
from behave import given, then, when
from twisted.internet.defer import ensureDeferred, gatherResults
from twisted.internet.task import Clock

from kumquatshift.standins.capacity import Capacity, CapacitySettings, OverloadError
from kumquatshift.standins.decapsulator import Decapsulator
from kumquatshift.standins.load import LoadReport, LoadSettings
from kumquatshift.standins.packets import Datagram, Endpoint, Segment, unpack
from kumquatshift.standins.relays import UdpRelay
from tests.support.small_site import send_coap
from tests.support.waiting import result_of, result_of_coroutine, use_reactor

CALLER = Endpoint("127.12.8.1", 40000)
OTHER_CALLER = Endpoint("127.12.8.2", 40000)
SERVICE = Endpoint("127.12.9.1", 5683)
FABRIC = Endpoint("127.12.3.1", 6081)
ENTRY = ("127.12.1.1", 6080)


@given("a target with {slots:d} slots, backlog {backlog:d} and {warm:d} s to warm")
def step_target(context, slots, backlog, warm):
    context.clock = Clock()
    settings = CapacitySettings(slots, backlog, warm)
    context.capacity = Capacity(settings, context.clock)


@when("the target has just started")
def step_started(context):
    pass


@when("the target has idled for {time:d} seconds")
def step_idled(context, time):
    context.clock.advance(time)


@when("the target has worked for {time:d} seconds")
def step_worked(context, time):
    for _ in range(time):
        ensureDeferred(context.capacity.run(1))
        context.clock.advance(1)


@when("the target has worked for {time:d} seconds and turned cold")
def step_chilled(context, time):
    step_worked(context, time)
    context.capacity.reset_warmup()


@then("it bears {limit:d} pieces of work at once")
def step_bears(context, limit):
    assert context.capacity.limit == limit, context.capacity.limit


@when("{count:d} pieces of work of 1 second come at once")
def step_burst(context, count):
    context.done, context.refused = [], []
    for number in range(count):
        work = ensureDeferred(context.capacity.run(1))
        work.addCallback(lambda _, number=number: context.done.append(number))
        work.addErrback(context.refused.append)


@then("{run:d} are run, {slots:d} at a time, and {refused:d} refused and counted")
def step_burst_done(context, run, slots, refused):
    assert len(context.refused) == refused
    assert all(failure.check(OverloadError) for failure in context.refused)
    for done in range(slots, run + 1, slots):
        context.clock.advance(1)
        assert len(context.done) == done, context.done
    context.clock.advance(10)
    assert len(context.done) == run
    assert context.capacity.counters["overload"] == refused
    assert context.capacity.held == 0


@given("a load report with lag {lag:g} and factor {factor:g}")
def step_load(context, lag, factor):
    context.clock = Clock()
    context.load = SimpleNamespace(held=0, settings=SimpleNamespace(slots=2))
    settings = LoadSettings(lag, factor)
    context.report = LoadReport(settings, context.load, context.clock)
    context.report.start()
    context.clock.pump([0.25] * 40)


@when("the load is {load:d} and {time:g} seconds pass")
def step_load_is(context, load, time):
    context.load.held = load
    context.clock.pump([0.25] * round(time / 0.25))


@then("the report tells a load of {told:g}")
def step_told(context, told):
    assert context.report.read() == {"held": told, "slots": 2}


@given("a decapsulator that relays UDP only")
def step_decapsulator(context):
    context.clock = Clock()
    context.relayed = []
    context.decapsulator = Decapsulator(FABRIC, context.clock)
    context.decapsulator.relays = {Datagram: context.relayed.append}


@when("it gets {data}")
def step_gets(context, data):
    packet = Datagram(CALLER, SERVICE, b"some payload").pack()
    kinds = {
        "nothing": b"",
        "half a packet": packet[: len(packet) // 2],
        "a damaged packet": packet[:-1] + b"!",
        "a TCP segment": Segment(CALLER, SERVICE, 1, syn=True).pack(),
    }
    context.decapsulator.datagramReceived(kinds[data], ENTRY)


@then("it counts one {reason} and relays nothing")
def step_counts(context, reason):
    assert context.decapsulator.counters == {"received": 1, reason: 1}
    assert not context.relayed


@when("{count:d} packets arrive, one a millisecond")
def step_arrive(context, count):
    packet = Datagram(CALLER, SERVICE, b"x").pack()
    for _ in range(count):
        context.clock.advance(0.001)
        context.decapsulator.datagramReceived(packet, ENTRY)
    assert len(context.relayed) == count


@then("it keeps the latest {count:d} arrivals with their times and sources")
def step_kept(context, count):
    arrivals = context.decapsulator.arrivals
    assert len(arrivals) == count
    assert arrivals[-1].time_s == context.clock.seconds()
    assert arrivals[0].time_s < arrivals[1].time_s
    assert {(it.source, it.caller) for it in arrivals} == {(ENTRY[0], str(CALLER))}


class SocketClock(Clock):
    """A clock that also opens UDP sockets, which only write down what is sent."""

    def __init__(self):
        super().__init__()
        self.open = []

    def listenUDP(self, port, protocol, interface, size):  # noqa: N802
        def close():
            self.open.remove(protocol)

        protocol.transport = SimpleNamespace(write=lambda _: None, stopListening=close)
        self.open.append(protocol)


@given("a UDP relay on a paused clock")
def step_relay(context):
    context.clock = SocketClock()
    context.answers = []
    server = Endpoint("127.12.2.1", 5683)
    context.relay = UdpRelay(server, context.answers.append, context.clock)
    context.relay.start()


@when("two callers send, and one sends again after {time:d} seconds")
def step_two_send(context, time):
    for caller in (CALLER, OTHER_CALLER):
        context.relay.receive(Datagram(caller, SERVICE, b"x"))
    assert len(context.clock.open) == 2
    context.clock.pump([10] * (time // 10))
    context.relay.receive(Datagram(CALLER, SERVICE, b"x"))


@then("after {time:d} seconds only that caller's socket is open")
def step_one_open(context, time):
    context.clock.pump([10] * ((time - 100) // 10))
    assert [flow.caller for flow in context.relay.flows] == [CALLER]
    assert len(context.clock.open) == 1


@then("an answer to it comes from the service's address")
def step_answer(context):
    context.clock.open[0].datagramReceived(b"y", ("127.12.2.1", 5683))
    assert context.answers == [Datagram(SERVICE, CALLER, b"y")]
    assert unpack(context.answers[0].pack()) == context.answers[0]


@when("three callers ask each service for work at once")
def step_ask_work(context):
    # One target for each service, so that all of them meet.
    for entry in context.site.entries.values():
        entry.targets = {end: hosts[:1] for end, hosts in entry.targets.items()}
    use_reactor(context)

    uri = f"{context.site.tills}/work?id=c"

    async def ask_coap():
        asking = [send_coap(aiocoap.GET, f"{uri}{n}&ms=300") for n in range(3)]
        return await asyncio.gather(*asking)

    context.coap = result_of_coroutine(ask_coap())
    urls = [f"{context.site.web}/work?id=h{n}&ms=300" for n in range(3)]
    asking = [treq.get(url, persistent=False) for url in urls]
    context.http = result_of(gatherResults(asking))


@then("one is answered and two are refused for {wait:d} second on each service")
def step_one_answered(context, wait):
    refused = [it for it in context.coap if it.code == aiocoap.SERVICE_UNAVAILABLE]
    assert len(refused) == 2, context.coap
    assert {it.opt.max_age for it in refused} == {wait}
    refused = [it for it in context.http if it.code == 503]
    assert len(refused) == 2, context.http
    assert {it.headers.getRawHeaders("Retry-After")[0] for it in refused} == {str(wait)}
