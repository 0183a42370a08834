import json
import zlib
from unittest import mock

from behave import then, when
from returns.pipeline import is_successful
from twisted.internet.defer import Deferred

from kumquatshift.adapters import peers
from kumquatshift.adapters.peers import PeerUpdateCodec, UnreadableNewsError
from kumquatshift.adapters.platform_answers import Reply, parse, read_listing
from kumquatshift.adapters.platform_stream import HttpWatch
from kumquatshift.codec import body_from_json
from kumquatshift.direct.calls import Change, Changes
from kumquatshift.direct.placement import Placement
from kumquatshift.direct.site import Site
from kumquatshift.direct.warmup import Warmup, WarmupBounds
from kumquatshift.engine.objects import Kind
from kumquatshift.platform import objects
from kumquatshift.platform.feed_listeners import TargetListener
from kumquatshift.standins.metadata_store import MetadataStore, Raw, encode
from tests.features.steps.platform_wire_steps import TARGET
from tests.support.direct_site import Recorder
from tests.support.feed_domain import KIND

NOT_UTF_8 = b'"\xff\xfe\x80\x81"'
ODD_NAME = "i-0002"
OWN_TARGET = {
    "service": "tills",
    "domain": "north-a",
    "host": "10.1.0.7",
    "port": 8000,
    "slots": 2,
    "connections": 20,
    "state": "admitted",
}


def odd_value(words):
    """Return the JSON of an odd value from its description."""
    match words.split():
        case ["bytes", *_]:
            return NOT_UTF_8
        case ["half", *_]:
            return b'"till\\ud800"'
        case ["the", "number", number, *_]:
            return number.encode()
        case [*_, "of", digits, "digits"]:
            return b"9" * int(digits)
        case [*_, "nested", depth, "deep"] if words.startswith("objects"):
            return b'{"a":' * int(depth) + b"1" + b"}" * int(depth)
        case [*_, "nested", depth, "deep"]:
            return b"[" * int(depth) + b"]" * int(depth)
    raise ValueError(words)


def odd_spec(odd, fields):
    """Return the JSON of the fields of a target with one odd value."""
    if odd == "bytes that are not UTF-8 in place of fields":
        return NOT_UTF_8
    if "port " in odd or odd.startswith("a port of"):
        port = "9" * 5000 if odd.startswith("a port of") else odd.split()[1]
        if "address" in fields:
            return json.dumps({**fields, "address": f"10.1.64.39:{port}"}).encode()
        return json.dumps({**fields, "port": int(port)}).encode()
    if " as " in odd:
        value, _, field = odd.partition(" as ")
        field, _, depth = field.partition(" ")
        value = f"{value} {depth}".strip()
    elif "an unknown field" in odd:
        field = "colour"
        value = odd.replace(" in an unknown field", "")
    else:
        field, value = odd.split()[1], odd
    text = json.dumps({**fields, field: "odd value"}).encode()
    return text.replace(b'"odd value"', odd_value(value))


@when("{response} has a target with {odd} between two others")
def step_response(context, response, odd):
    context.site = Site(Placement("a", Warmup(WarmupBounds(1.5, 5), "a")), Recorder())
    listener = TargetListener(context.site, Recorder())
    store = MetadataStore()
    for name, spec in (
        ("i-0001", TARGET),
        (ODD_NAME, Raw(odd_spec(odd, TARGET))),
        ("i-0003", TARGET),
    ):
        store.put(objects.TARGETS, name, spec)
    if response == "a list":
        page = objects.page_from(encode(store.page(objects.TARGETS, "")))
        listener.handle_list(page.items, False, 0.0)
        return
    answer = {"events": store.since(objects.TARGETS, 0), "currentRev": store.revision}
    changes = objects.changes_from(encode(answer))
    assert isinstance(changes, Changes)
    for change in changes.changes:
        assert isinstance(change, Change)
        listener.handle_change(change, 0.0)


@then("the two others are in use, and the odd one is not")
def step_others_used(context):
    used = sorted(target.name for target in context.site.targets)
    assert used == ["i-0001", "i-0003"], used


@when("another writer leaves {odd} among the objects")
def step_foreign(context, odd):
    context.news.store.put(KIND, "o30-foreign", Raw(odd_value(odd)))


@then("within {limit:g} s the new entries have the objects that can be read")
def step_new_entries(context, limit):
    domain = context.news
    readable = {
        name: spec
        for name, spec in domain.values().items()
        if not isinstance(spec, Raw)
    }
    new = domain.nodes[context.first_new :]
    domain.run_until_known("o59", 0, new, limit)
    for node in new:
        found = {n: v for n, v in node.listener.values.items() if n in readable}
        assert found == readable, node.me.name


def own_object(name, version, body):
    return {
        "kind": "target",
        "name": name,
        "version": version,
        "created": version,
        "operation": "",
        "deleted": False,
        "body": body,
    }


def odd_own_object(odd):
    if odd == "a list in its place":
        return b"[1]"
    if odd.startswith("a kind"):
        text = json.dumps({**own_object("t2", 2, OWN_TARGET), "kind": "odd value"})
        return text.encode().replace(b'"odd value"', odd_value(odd))
    text = json.dumps(own_object("t2", 2, "odd body")).encode()
    return text.replace(b'"odd body"', odd_spec(odd, OWN_TARGET))


@when("the own platform {sends} a target with {odd} between two others")
def step_own(context, sends, odd):
    lines = [
        json.dumps(own_object("t1", 1, OWN_TARGET)).encode(),
        odd_own_object(odd),
        json.dumps(own_object("t3", 3, OWN_TARGET)).encode(),
    ]
    if sends == "lists":
        body = b'{"version": 3, "items": [' + b", ".join(lines) + b"]}"
        listing = read_listing(Reply(200, parse(body))).unwrap()
        context.names = [obj.name for obj in listing.items]
        return
    found, ended = [], []
    watch = HttpWatch(Deferred(), 0, found.append, ended.append)
    watch.transport = mock.Mock()
    for line in lines:
        watch.lineReceived(line)
    context.names = [obj.name for obj in found]
    assert not ended, ended


@then("the two others are decoded, and the odd one is skipped")
def step_others_decoded(context):
    assert context.names == ["t1", "t3"], context.names


@when("a profile has a time-out of {digits:d} digits")
def step_profile(context, digits):
    value = {"idle_timeout_s": 10**digits}
    context.answer = body_from_json(Kind.PROFILE, "tills", value)


@then("the profile is refused with the field and the range")
def step_refused(context):
    assert not is_successful(context.answer)
    message = context.answer.failure().message
    assert "idle_timeout_s" in message and "allowed: a number from" in message, message


class FakeReceiver:
    """Socket with some datagrams to be read."""

    def __init__(self, datagrams):
        self._datagrams = list(datagrams)

    def recvfrom(self, size):
        if not self._datagrams:
            raise BlockingIOError
        return self._datagrams.pop(0), ("10.0.0.2", 1)

    def __getattr__(self, name):
        return mock.Mock()


@when("the datagram of {message} arrives")
def step_datagram(context, message):
    heartbeat = ["b-1", "b", ["10.0.0.2", 1], 1, False, True, [], [["i", 1, 1e999, 0]]]
    odd = {
        "a list nested 3000 deep": odd_value("a list nested 3000 deep"),
        "a heartbeat with an infinite count": json.dumps(
            {"beat": [*heartbeat, []]}
        ).encode(),
        "a number": b"7",
    }[message]
    sound = json.dumps({"beat": [*heartbeat[:-1], [], []]}).encode()
    context.received = []
    sock = FakeReceiver([odd, sound])
    with mock.patch.object(peers.socket, "socket", lambda *_: sock):
        context.port = peers.HeartbeatPort(
            mock.Mock(), ("10.0.0.1", 1), context.received.append, None, None
        )
    context.port.doRead()


@then("the message counts as malformed, and the next one is read")
def step_malformed(context):
    assert context.port.malformed == 1, context.port.malformed
    assert [heartbeat.name for heartbeat in context.received] == ["b-1"]


@when("a follower decodes an update with a value nested {depth:d} deep")
def step_update(context, depth):
    nested = odd_value(f"a list nested {depth} deep")
    text = b'[true, [["i-1", 5, ' + nested + b"]], []]"
    status = b'["servers", true, 1, 5, 5, 0.1]'
    context.body = status + b"\n" + zlib.compress(text)


@then("the update is unreadable")
def step_unreadable(context):
    try:
        PeerUpdateCodec().decode(context.body)
    except UnreadableNewsError:
        return
    raise AssertionError("the update was read")
