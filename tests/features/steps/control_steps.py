from collections import Counter

from behave import given, then, when

from kumquatshift.adapters import envelope
from kumquatshift.engine.messages import Record, RecordBatch
from tests.support.load import (
    HELD_FLOWS,
    NEW_FLOWS_PER_S,
    ControlLoad,
    control_bytes_per_s,
    key_of,
)
from tests.support.network import DATAGRAM_BYTES
from tests.support.site import Site

LIMIT_BYTES_PER_S = 4096


@given("nine entries with 100,000 open flows")
def step_load(context):
    context.load = ControlLoad(held=HELD_FLOWS)


@when("the entries run for {seconds:d} s with 1,000 new flows a second")
def step_run(context, seconds):
    context.rates = context.load.run(seconds, NEW_FLOWS_PER_S)


@when("the entries run for {seconds:d} s after one of them is killed")
def step_kill(context, seconds):
    context.load.net.kill("e3")
    context.rates = context.load.run(seconds, NEW_FLOWS_PER_S)


@then("control traffic of each entry is at most 4,096 bytes a second")
def step_traffic_limit(context):
    for name, kinds in sorted(context.rates.items()):
        print(name, {kind: round(rate) for kind, rate in sorted(kinds.items())})
    rate = control_bytes_per_s(context.rates)
    assert rate <= LIMIT_BYTES_PER_S, (rate, context.rates)


@then("records have been replicated in the background since the kill")
def step_replicated(context):
    assert any(kinds.get("RecordBatch", 0) > 0 for kinds in context.rates.values())


@then(
    "sending 1,000 single records a second to two standbys takes over 4,096 bytes a"
    " second"
)
def step_single_records(context):
    record = Record(key_of(1), "t1", 7, 1_000_000_000)
    size = len(envelope.encode("e1", RecordBatch((record,)))) + DATAGRAM_BYTES
    rate = 2 * size * NEW_FLOWS_PER_S / 9
    print(f"one record: {size} bytes, {rate:.0f} bytes a second for each entry")
    assert rate > LIMIT_BYTES_PER_S


@given("{entries:d} entries in each of four domains")
def step_entries(context, entries):
    context.site = Site(domains="abcd" * entries)


@then("the entries of each domain hold {watches:d} watches")
def step_watches(context, watches):
    net = context.site.net
    held = Counter(net.domain_of(name) for name in net.watching)
    assert held == dict.fromkeys("abcd", watches), held
