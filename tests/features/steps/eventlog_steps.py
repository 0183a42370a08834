import json
import os
import time

from behave import given, then, when
from twisted.internet.task import Clock

from kumquatshift.direct.events import Event
from kumquatshift.eventlog import MAX_BUFFERED_BYTES, EventLog
from kumquatshift.platform.packets import encode_destination, flow_text

LINE_BYTES = 512


@given("an event log whose reader {reads}")
def step_log(context, reads):
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    context.add_cleanup(os.close, reading)
    context.add_cleanup(os.close, writing)
    context.clock = Clock()
    context.clock.advance(100)
    context.eventlog = EventLog(context.clock, "e1", flow_text, writing)
    context.reading = reading
    context.reads = reads == "reads"
    context.output = b""


def read(context):
    try:
        while data := os.read(context.reading, 65536):
            context.output += data
    except BlockingIOError:
        pass
    return [json.loads(line) for line in context.output.splitlines()]


@when(
    '{count:d} lines of "{event}" and 3 of "target suspected" are logged within a'
    " second"
)
def step_flood(context, count, event):
    context.count = count
    for number in range(count):
        context.eventlog.emit(Event(event), number=number)
        if number % 100 == 0:
            read(context)
    for _ in range(3):
        context.eventlog.emit(Event.TARGET_SUSPECTED, target="i-7")


@then('{count:d} lines of "{event}" and 3 of "target suspected" were written')
def step_written(context, count, event):
    lines = [line["event"] for line in read(context)]
    assert lines.count(event) == count, lines.count(event)
    assert lines.count("target suspected") == 3


@then('the next second begins with the number of omitted lines: {left:d} of "{event}"')
def step_left_out(context, left, event):
    before = len(read(context))
    context.clock.advance(1)
    context.eventlog.emit(Event.READY)
    lines = read(context)[before:]
    if left:
        assert lines[0]["event"] == "lines left out", lines
        assert lines[0]["counts"] == {event: left}, lines
    assert lines[-1]["event"] == "ready"
    context.event = event


@then("the counters include the omitted lines")
def step_counters(context):
    assert context.eventlog.counts[Event(context.event)] == context.count


@when('{seconds:d} seconds pass with {count:d} lines of "{event}" each')
def step_seconds(context, seconds, count, event):
    begin = time.monotonic()
    for _ in range(seconds):
        for _ in range(count):
            context.eventlog.emit(Event(event), reason="no_route")
        context.clock.advance(1)
    context.took_s = time.monotonic() - begin


@then("all calls together took less than {limit:g} s")
def step_took(context, limit):
    assert context.took_s < limit, context.took_s


@then("the log buffers no more than its limit, and counts the lines left out")
def step_buffer_limit(context):
    held = len(context.eventlog._buffer)
    assert held <= MAX_BUFFERED_BYTES + LINE_BYTES, held
    assert context.eventlog.lines_left_out > 0


@when("a flow from {caller} to {service} is logged")
def step_flow(context, caller, service):
    host, port = caller.split(":")
    service_host, service_port = service.split(":")
    destination = encode_destination(service_host, int(service_port))
    source = encode_destination(host, int(port))
    flow = destination[4:] + source[:4] + source[4:] + destination[:4]
    context.eventlog.emit(Event.FLOW_OPENED, flow=flow, target="i-7")


@then("its line contains the flow as {flow}, and the time")
def step_flow_line(context, flow):
    (line,) = read(context)
    assert line["flow"] == flow and line["entry"] == "e1"
    assert line["time"] > 0 and line["uptime_s"] == 100
