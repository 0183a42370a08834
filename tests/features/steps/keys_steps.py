from itertools import permutations

from behave import given, then, when

from kumquatshift.keys import DIGEST_BYTES, Sealer
from kumquatshift.settings.common import KeysSection
from kumquatshift.settings.values import Secret

DATA = b"a heartbeat of e1"


def secret(name):
    return None if name == "none" else Secret(name.encode() * 32)


def sealer(current, previous):
    return Sealer.from_config(KeysSection(secret(current), secret(previous)))


@given('a sealer that sends with key "{current}"')
def step_first(context, current):
    context.first = sealer(current, "none")


@given('a sealer that accepts key "{current}" and previous key "{previous}"')
def step_second(context, current, previous):
    context.second = sealer(current, previous)


@then("the second sealer {verdict} what the first has sealed")
def step_verdict(context, verdict):
    opened = context.second.open(context.first.seal(DATA))
    assert opened == (DATA if verdict == "opens" else None), opened


def changed(sealed, change):
    if "flipped" in change:
        number, size = int.from_bytes(sealed), len(sealed)
        return [(number ^ 1 << bit).to_bytes(size) for bit in range(8 * size)]
    if "truncated" in change:
        return [sealed[:size] for size in range(len(sealed))]
    if "added" in change:
        return [sealed + b"\0", b"\0" + sealed]
    if "another datagram's" in change:
        other = sealer("A", "none").seal(DATA + b"!")
        return [other[:DIGEST_BYTES] + sealed[DIGEST_BYTES:]]
    return [b""]


@then("the second sealer drops what was sealed when {change}")
def step_changed(context, change):
    for datagram in changed(context.first.seal(DATA), change):
        assert context.second.open(datagram) is None, datagram


@given('{count:d} entries whose keys are "{current}" and previous "{previous}"')
def step_entries(context, count, current, previous):
    context.sealers = [sealer(current, previous) for _ in range(count)]
    context.dropped = 0


@when(
    'each entry in the order "{order}" restarts with keys "{current}" '
    'and previous "{previous}"'
)
def step_restart(context, order, current, previous):
    for index in map(int, order.split(", ")):
        context.sealers[index] = sealer(current, previous)
        for one, other in permutations(context.sealers, 2):
            context.dropped += other.open(one.seal(DATA)) != DATA


@then("no entry dropped a datagram of another")
def step_none_dropped(context):
    assert context.dropped == 0, context.dropped


@then("some entry dropped a datagram of another")
def step_some_dropped(context):
    assert context.dropped > 0
