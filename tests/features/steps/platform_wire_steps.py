import contextlib
import copy
import json

from behave import then, when
from hypothesis import given as drawn, settings as hypothesis_settings, strategies as st

from kumquatshift.platform import objects
from kumquatshift.platform.packets import (
    HEAD_BYTES,
    caller_host,
    decode,
    flow_text,
    forwarded,
    reset,
)

EXAMPLE = bytes.fromhex(
    "d5c3b2a10400bb010700406441 9c010012c6000000000000443322 1100000000".replace(
        " ", ""
    )
)
EXAMPLE_RESET = bytes.fromhex(
    "000000000200419c010012c6bb01070040640000000000000000000000000000".replace(" ", "")
)
TARGET = {
    "service": "tills",
    "address": "10.1.64.39:8727",
    "zone": "north-a",
    "version": "v1",
    "maxConcurrency": 2,
    "state": "ready",
    "warmupLeftMs": 0,
    "sequence": 4,
    "born": 1777306949005,
}
ROUTE = {
    "name": "r-1",
    "host": "198.18.0.1",
    "pathPrefix": "/8080/",
    "type": "unsafe",
    "timeoutMs": 2000,
    "priority": 1,
    "service": "tills",
}
SPLIT = [{"service": "tills", "weight": 90}, {"service": "stock", "weight": 10}]
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "tills", "maxConns": 2000, "warmupPerS": 0.0}],
    "limits": {"idleTimeoutMs": 15000},
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda each: (
        st.lists(each, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                ["items", "events", "more", "currentRev", "meta", "name", "object"]
            ),
            each,
            max_size=5,
        )
    ),
    max_leaves=12,
)


@when("the platform's example SYN is decoded")
def step_example(context):
    context.packet = decode(EXAMPLE)


@then("it is a flow from {caller} to {place} with seq {seq}")
def step_fields(context, caller, place, seq):
    packet = context.packet
    assert packet.is_syn and not packet.has_ack and not packet.is_last
    assert flow_text(packet.flow) == f"{caller}>{place}", flow_text(packet.flow)
    assert packet.seq == int(seq, 16) and packet.size == 0 and packet.copy == 0
    assert caller_host(packet.flow) == caller.split(":")[0]


@then("its reset equals the platform's example")
def step_reset(context):
    assert reset(context.packet.flow, 0) == EXAMPLE_RESET


@then("for any packet, the datagram to a target differs in its cookie alone")
def step_forwarded(context):
    @drawn(
        st.binary(min_size=HEAD_BYTES, max_size=HEAD_BYTES),
        st.binary(max_size=1200),
        st.binary(min_size=8, max_size=8),
        st.integers(1, 2**32 - 1),
    )
    @hypothesis_settings(max_examples=200, deadline=None, database=None)
    def check(head, data, key, cookie):
        packet = head[:22] + len(data).to_bytes(2, "little") + head[24:] + data
        sent = forwarded(packet, key, cookie)
        assert sent[:8] == key
        back = sent[8:]
        assert back[:18] == packet[:18] and back[22:] == packet[22:]
        assert decode(back).cookie == cookie
        assert decode(back)._replace(cookie=0) == decode(packet)._replace(cookie=0)

    check()


@then("any bytes are decoded to a packet or to none, without an error")
def step_any_bytes(context):
    @drawn(st.binary(max_size=1400))
    @hypothesis_settings(max_examples=300, deadline=None, database=None)
    def check(data):
        packet = decode(data)
        assert packet is None or packet.size == len(data) - HEAD_BYTES

    check()


def changed_target(change):
    """Return the name and fields of a target with one change."""
    fields = copy.deepcopy(TARGET)
    if change == "a name without a number":
        return "i-printer", fields
    if change == "a name of 40 digits":
        return "i-" + "7" * 40, fields
    if change == "a list in place of fields":
        return "i-7", [fields]
    if change == "nothing at all":
        return "i-7", None
    if change == "an unknown field":
        fields["colour"] = "red"
    elif change.startswith("no "):
        del fields[change[3:]]
    elif change != "nothing unusual":
        key, _, value = change.partition(" ")
        fields[key] = json.loads(value)
    return "i-7f3a91c2", fields


@when("a target object has {change}")
def step_target(context, change):
    name, fields = (
        changed_target(change)
        if change != "nothing unusual"
        else (
            "i-7f3a91c2",
            TARGET,
        )
    )
    context.read = lambda: objects.report_from(name, fields)


@then("the target object is {result}")
def step_target_result(context, result):
    try:
        report = context.read()
    except objects.UnreadableError:
        assert result == "unreadable"
        return
    assert result == "readable", report
    assert report.address == ("10.1.64.39", 8727) and report.domain == "north-a"


@when("a configuration has {change}")
def step_configuration(context, change):
    spec = copy.deepcopy(CONFIGURATION)
    route = spec["routes"][0]
    match change:
        case "a route split by weight":
            del route["service"]
            route["trafficSplit"] = SPLIT
        case "a route without a service":
            del route["service"]
        case "a route with a path for a port":
            route["pathPrefix"] = "/till/"
        case "no services" | "no limits" | "no version":
            del spec[change[3:]]
        case "a list in place of fields":
            spec = [spec]
    context.read = lambda: objects.configuration_from(spec)


@then("the configuration is {result}")
def step_configuration_result(context, result):
    try:
        cfg = context.read()
    except objects.UnreadableError:
        assert result == "unreadable"
        return
    assert result == "readable", cfg
    assert cfg.version == 7 and cfg.idle_timeout_s == 15.0
    assert sum(share.weight for share in cfg.routes[0].shares) in (1, 100)


@then("any JSON is read as a page, changes or objects, or is refused as unreadable")
def step_any_json(context):
    @drawn(JSON)
    @hypothesis_settings(max_examples=300, deadline=None, database=None)
    def check(value):
        body = json.dumps(value).encode()
        for read in (objects.page_from, objects.changes_from):
            with contextlib.suppress(objects.UnreadableError):
                read(body)
        for read in (
            lambda: objects.report_from("i-1", value),
            lambda: objects.configuration_from(value),
        ):
            with contextlib.suppress(objects.UnreadableError):
                read()

    check()
