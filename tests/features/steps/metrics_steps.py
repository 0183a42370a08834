import re

from behave import given, then, when
from twisted.internet.task import Clock

from kumquatshift.engine.actions import DropReason
from kumquatshift.metrics import Metrics

VALUE_LINE = re.compile(
    r'kumquatshift_[a-z_]+(\{([a-z]+="([^"\\]|\\.)*",?)+\})? [-+0-9.e]+'
)


@given("metrics of latencies")
def step_metrics(context):
    context.metrics_clock = Clock()
    context.metrics = Metrics(context.metrics_clock)


@given("metrics with a counter of dropped packets")
def step_counter(context):
    step_metrics(context)
    metrics = context.metrics
    context.drops = metrics.counter(
        "kumquatshift_drops_total", "Packets dropped.", DropReason
    )


@given("metrics with a gauge of flows")
def step_gauge(context):
    step_metrics(context)
    context.flows = 0
    context.metrics.gauge("kumquatshift_flows", "Flows held.", lambda: context.flows)


@when('{count:d} packets are counted as "{reason}"')
def step_count(context, count, reason):
    for _ in range(count):
        context.drops.add(DropReason(reason))


@when("the gauge of flows is set to {value:d}")
def step_set_gauge(context, value):
    context.flows = value


@when('the profile "{profile}" has latencies of {low:d} to {high:d} ms')
def step_latencies(context, profile, low, high):
    for value_ms in range(low, high + 1):
        context.metrics.record_latency(profile, value_ms / 1000)


@when('the profile "{profile}" has a latency of {value_s:g} s')
def step_latency(context, profile, value_s):
    context.metrics.record_latency(profile, value_s)


@when("the metrics' clock advances by {span_s:d} s")
def step_advance(context, span_s):
    context.metrics_clock.advance(span_s)


@when("{count:d} profiles have a latency each")
def step_profiles(context, count):
    for number in range(count):
        context.metrics.record_latency(f"p{number}", 1)


@when("a profile with a quote and a line break in its name has a latency")
def step_special_profile(context):
    context.metrics.record_latency('a"b\nc\\', 1)


@then('the metrics page has the line "{line}"')
def step_page_line(context, line):
    page = context.metrics.page()
    assert line in page.splitlines(), page


@then("every line of the metrics page is a comment or a value")
def step_page_form(context):
    for line in context.metrics.page().splitlines():
        assert line.startswith("# ") or VALUE_LINE.fullmatch(line), line


@then('the latency of "{profile}" at {percent:g} percent is {value_s:g} s, within 1%')
def step_percentile(context, profile, percent, value_s):
    latencies = {each.profile: each for each in context.metrics.snapshot().latencies}
    found = dict(latencies[profile].percentiles)[percent]
    assert abs(found - value_s) <= 0.01 * value_s, found


@then('{count:d} profiles are kept and the page counts {rest:d} under "{name}"')
def step_bounded(context, count, rest, name):
    assert len(context.metrics.snapshot().latencies) == count
    step_page_line(
        context, f'kumquatshift_latency_seconds_count{{profile="{name}"}} {rest}'
    )


@then("a second counter of dropped packets is refused")
def step_twice(context):
    try:
        context.metrics.counter("kumquatshift_drops_total", "Again.", DropReason)
    except ValueError:
        return
    raise AssertionError
