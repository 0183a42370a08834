import random

from behave import given, then, when
from hypothesis import given as any_of, seed, settings, strategies as st

from kumquatshift.standins.packets import Segment
from kumquatshift.standins.segments import WINDOW_BYTES
from tests.support.lossy_link import CALLER, SERVICE, Link, LinkFaults, Owner

RUN_LIMIT_S = 120


def random_bytes(count, start=0):
    return random.Random(start + count).randbytes(count)


def assert_complete(link):
    sent = [b"".join(link.caller.chunks), b"".join(link.service.chunks)]
    got = [bytes(link.service.received), bytes(link.caller.received)]
    assert got == sent, [len(part) for part in got + sent]
    assert link.is_closed, (link.caller.events, link.service.events)
    assert "opened" in link.caller.events and "finished" in link.caller.events
    assert "opened" in link.service.events and "finished" in link.service.events


chunks = st.lists(st.binary(max_size=5000), max_size=4)
faults = st.builds(
    LinkFaults,
    loss=st.floats(0, 0.3),
    duplicate=st.floats(0, 0.5),
    jitter_s=st.floats(0, 0.05),
    seed=st.integers(0, 2**32),
)


@then("any bytes arrive complete both ways over any link that is not cut")
def step_any_link(context):
    @seed(1)
    @settings(max_examples=60, deadline=None, database=None)
    @any_of(chunks, chunks, faults, st.booleans())
    def check(up, down, link_faults, is_slow):
        link = Link(link_faults, Owner(up, is_slow), Owner(down))
        link.open()
        link.run(RUN_LIMIT_S)
        assert_complete(link)

    check()


@given("a segment link with loss {loss:g}, duplicates {double:g} and spread {spread:g}")
def step_link(context, loss, double, spread):
    context.link = Link(LinkFaults(loss, double, spread, 7), Owner(), Owner())


@given("a segment link with a slow reader")
def step_slow_link(context):
    context.link = Link(LinkFaults(), Owner(), Owner(is_slow=True))


@when("the caller sends {up:d} bytes and the service sends {down:d} bytes")
def step_send(context, up, down):
    link = context.link
    link.caller.chunks = [random_bytes(up)]
    link.service.chunks = [random_bytes(down, 1)]
    link.open()
    link.run(RUN_LIMIT_S)


@when("the caller sends {up:d} bytes and the link is cut {cut:d} seconds meanwhile")
def step_send_and_cut(context, up, cut):
    link = context.link
    link.caller.chunks = [random_bytes(up)]
    link.open()
    link.run(0.1)
    assert 0 < len(link.service.received) < up
    link.is_cut = True
    link.run(cut)
    link.is_cut = False
    link.run(RUN_LIMIT_S)


@then("both ends of the segment link got all bytes and are closed")
def step_complete(context):
    assert_complete(context.link)


@then("the unread bytes never exceeded the window")
def step_window(context):
    assert 0 < context.link.max_buffered_bytes <= WINDOW_BYTES, (
        context.link.max_buffered_bytes
    )


class QuietOwner(Owner):
    """Sends nothing on its own and does not close."""

    def stream_opened(self):
        self.events.append("opened")


@given("an open segment link that was idle for {idle:d} seconds")
def step_open_idle(context, idle):
    context.link = Link(LinkFaults(), QuietOwner(), QuietOwner())
    context.link.open()
    context.link.run(idle)
    assert context.link.service.events == ["opened"]


@when("the next segment is lost")
def step_lose_next(context):
    link = context.link
    link.is_cut = True
    link.caller.stream.write(b"late")
    link.is_cut = False
    link.run(0.2)
    assert not link.service.received
    link.run(0.2)


@then("it arrives by retransmission and the connection stays open")
def step_retransmitted(context):
    assert context.link.service.received == b"late"
    assert context.link.caller.events == ["opened"]


@when("the service aborts its stream")
def step_abort(context):
    context.link.service.stream.abort()
    context.link.run(0.1)


@when("the service drops its stream and the caller writes")
def step_drop_stream(context):
    context.link.service_table.streams.clear()
    context.link.caller.stream.write(b"hello?")
    context.link.run(0.1)


@then("the caller's stream was closed by a reset and is removed")
def step_reset(context):
    events = context.link.caller.events
    assert events == ["opened", "lost: reset by the other end"], events
    assert not context.link.caller_table.streams


@when("a reset arrives with a sequence number {offset:d} from the expected one")
def step_forged(context, offset):
    seq = context.link.caller.stream.receiver.next + offset
    reset = Segment(SERVICE, CALLER, seq % 2**32, rst=True)
    context.link.caller_table.receive(reset)


@then("the caller's stream is {verdict}")
def step_verdict(context, verdict):
    is_kept = bool(context.link.caller_table.streams)
    assert is_kept == (verdict == "kept"), context.link.caller.events


@given("a segment link that is cut")
def step_cut_link(context):
    context.link = Link(LinkFaults(), Owner(), Owner())
    context.link.is_cut = True


@when("the caller connects and {wait:d} seconds pass")
def step_open_cut(context, wait):
    context.link.open()
    context.link.run(wait)


@then("the caller's stream was closed without an answer")
def step_no_answer(context):
    events = context.link.caller.events
    assert events == ["lost: no answer from the other end"], events
