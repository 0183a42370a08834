"""Count the flows that the sweep visits by the lookups in the flow table."""

import random

from behave import given, then, when
from twisted.internet.task import Clock

from kumquatshift.engine.entry import TICK_S, EntryConfig, EntryEngine
from kumquatshift.engine.members import Vm
from kumquatshift.engine.messages import EntryState, Heartbeat, Record
from kumquatshift.engine.node import Limits
from kumquatshift.engine.objects import (
    Kind,
    Profile,
    Protocol,
    Service,
    Target,
    Versioned,
)
from kumquatshift.engine.packets import flow_key
from kumquatshift.engine.ring import bucket_of
from tests.support.network import EPOCH_S, udp_packet

STABLE_S = 120
UNLIMITED_BYTES_PER_S = 1e9
ADDRESS = bytes([10, 0, 0, 1])
BODIES = (
    (Kind.PROFILE, Profile("long", idle_timeout_s=600)),
    (Kind.SERVICE, Service("till", "10.0.0.1", 443, Protocol.UDP, "long")),
    (Kind.TARGET, Target("t1", "till", "a", "10.1.0.1", 6080)),
)


def run_ticks(context, seconds):
    for _ in range(int(seconds / TICK_S)):
        context.clock.advance(TICK_S)
        context.engine.tick()


def add_flows(node, number):
    now = node.clock.seconds()
    for caller in range(number):
        src = (10 << 24 | 2 << 16 | caller >> 8).to_bytes(4, "big")
        key = flow_key(udp_packet(src, 1024 + caller % 256, ADDRESS, 443))
        flow = node.flows.put(Record(key, "t1", 1, 0), bucket_of(key), now)
        flow.holders = node.members.ring.holders(flow.bucket)


@given("a flow table sweep over {number:d} flows at an entry with a stable ring")
def step_stable(context, number):
    context.clock = Clock()
    context.clock.advance(EPOCH_S)
    limits = Limits(copy_bytes_per_s=UNLIMITED_BYTES_PER_S)
    cfg = EntryConfig(Vm("e1", "a", "127.0.1.1"), limits=limits)
    context.engine = EntryEngine.from_config(cfg, context.clock, random.Random(1), 1)
    context.engine.objects([Versioned(k, b.name, 1, b, 1) for k, b in BODIES])
    run_ticks(context, STABLE_S)
    add_flows(context.engine.node, number)
    run_ticks(context, STABLE_S)


@when("a second entry joins the sweep's ring")
def step_join(context):
    digest = context.engine.node.store.digest
    beat = Heartbeat(
        "e2", "b", 1, 1, EntryState.LIVE, digest, "127.0.1.2", heard=("e1",)
    )
    context.engine.message("e2", beat)


@when("the swept flows stay idle for {seconds:d} s")
def step_idle(context, seconds):
    run_ticks(context, seconds - STABLE_S)
    assert context.engine.node.flows.flows, "flows evicted before their idle timeout"


@then("the sweep visits {least:d} to {most:d} flows in the next second")
def step_visits(context, least, most):
    table, visited = context.engine.node.flows, []
    get = table.get
    table.get = lambda key: visited.append(key) or get(key)
    run_ticks(context, 1)
    assert least <= len(visited) <= most, len(visited)


@then("the sweep has evicted them all {seconds:d} s later")
def step_evicted(context, seconds):
    run_ticks(context, seconds)
    assert not context.engine.node.flows.flows, len(context.engine.node.flows)
