import json
import re
from dataclasses import replace
from pathlib import Path

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st
from returns.pipeline import is_successful

from kumquatshift.cli.files import read_objects, to_ini
from kumquatshift.codec import (
    FIELDS,
    MAX_CONNECTIONS,
    MAX_SLOTS,
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    body_from_json,
    kind_of,
    object_from_json,
    object_to_json,
)
from kumquatshift.consistency import check_change, check_removal
from kumquatshift.engine.objects import (
    Domain,
    DomainState,
    Kind,
    Mode,
    Priority,
    Profile,
    Protocol,
    Service,
    Target,
    TargetState,
    Versioned,
)

ROOT = Path(__file__).resolve().parents[3]
DEMO = "extras/demo/objects.ini"
MINIMAL_FIELDS = {
    Kind.PROFILE: {},
    Kind.SERVICE: {
        "address": "127.0.9.9",
        "port": 5683,
        "protocol": "udp",
        "profile": "web",
    },
    Kind.TARGET: {
        "service": "tills",
        "domain": "north-a",
        "host": "127.0.2.99",
        "port": 6080,
    },
    Kind.DOMAIN: {},
}

names = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", fullmatch=True)
ports = st.integers(1, 65535)
shares = st.floats(0, 1)
limits = st.floats(MIN_TIMEOUT_S, MAX_TIMEOUT_S)
addresses = st.integers(1 << 24, (224 << 24) - 1).map(
    lambda n: ".".join(str(n >> shift & 255) for shift in (24, 16, 8, 0))
)


@st.composite
def profiles(draw):
    idle, silence, request = sorted(draw(st.tuples(limits, limits, limits)))[::-1]
    modes, priorities = st.sampled_from(Mode), st.sampled_from(Priority)
    return Profile(
        draw(names),
        draw(modes),
        draw(priorities),
        idle_timeout_s=idle,
        silence_timeout_s=silence,
        request_timeout_s=request,
        repeat_span_s=draw(limits),
        retry_share=draw(shares),
        reserved_share=draw(shares),
    )


bodies = st.one_of(
    profiles(),
    st.builds(Service, names, addresses, ports, st.sampled_from(Protocol), names),
    st.builds(
        Target,
        names,
        names,
        names,
        addresses,
        ports,
        st.integers(1, MAX_SLOTS),
        st.integers(1, MAX_CONNECTIONS),
        st.sampled_from(TargetState),
    ),
    st.builds(Domain, names, st.sampled_from(DomainState)),
)
leaves = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
field_names = st.sampled_from(
    sorted({key for fields in FIELDS.values() for key in fields})
    + ["kind", "name", "version", "created", "operation", "deleted", "body"]
)
values = st.recursive(
    leaves,
    lambda inner: st.lists(inner) | st.dictionaries(field_names | st.text(), inner),
)


def failure_lines(result):
    assert not is_successful(result), result
    return result.failure().message.splitlines()


@when("a {kind:w} is read whose {field:w} is {value}")
def step_read_field(context, kind, field, value):
    fields = {**MINIMAL_FIELDS[Kind(kind)], field: json.loads(value)}
    context.lines = failure_lines(body_from_json(Kind(kind), "one", fields))


@then('the mistake names {field:w}, shows {shown} and says "{allowed}"')
def step_mistake_shown(context, field, shown, allowed):
    step_mistake(context, field, f"found {shown}; ")
    step_mistake(context, field, allowed)


@then('the mistake names {field:w} and says "{allowed}"')
def step_mistake(context, field, allowed):
    assert len(context.lines) == 1, context.lines
    about, found, _ = context.lines[0].split(": ", 2)
    assert found == field, context.lines
    assert allowed in context.lines[0], context.lines


@when("a service is read from {text}")
def step_read_service(context, text):
    result = body_from_json(Kind.SERVICE, "one", json.loads(text))
    context.lines = failure_lines(result)


@then("the mistakes name {fields} and no others")
def step_mistakes(context, fields):
    found = [line.split(": ")[1] for line in context.lines]
    assert sorted(found) == sorted(re.findall(r"\w+", fields)), context.lines


@when("an object is read whose {field:w} is {value} instead")
def step_read_object(context, field, value):
    valid = object_to_json(Versioned(Kind.PROFILE, "a", 3, Profile("a"), 2, "x"))
    result = object_from_json({**valid, field: json.loads(value)})
    context.lines = failure_lines(result)


@given("the objects of the demo's file exist")
def step_demo_objects(context):
    found = read_objects((ROOT / DEMO).read_text(), None).unwrap()
    context.existing = [one.body for one in found]


@given('objects exist of which target "stray" names no known service')
def step_unknown_service(context):
    context.existing = [
        Domain("north-a"),
        Target("stray", "none", "north-a", "10.0.0.1", 80),
    ]


@when("the change to check is {case}")
def step_check(context, case):
    existing, removed = context.existing, re.match(r'removal of (\w+) "(.*)"', case)
    if removed:
        key = (Kind(removed[1]), removed[2])
        context.checked = check_removal(existing, key)
        return
    service = Service("new", "127.0.9.9", 5683, Protocol.UDP, "web")
    target = Target("new", "tills", "north-a", "127.0.2.99", 6080)
    changed = {
        'service "new" with profile "web"': service,
        'service "new" with profile "wep"': replace(service, profile="wep"),
        'target "new" of service "till"': replace(target, service="till"),
        'target "new" in domain "north-e"': replace(target, domain="north-e"),
        'service "new" at tills\' address': replace(service, address="127.0.9.1"),
        'target "new" at t1\'s place': replace(target, host="127.0.2.1"),
    }
    context.checked = check_change(existing, [changed[case]])


@when('profile "new" is checked together with the existing objects')
def step_check_profile(context):
    context.checked = check_change(context.existing, [Profile("new")])


@then('the check says "{message}"')
def step_check_says(context, message):
    if message == "fits":
        assert is_successful(context.checked), context.checked
    else:
        found = " ".join(failure_lines(context.checked))
        assert message in found, found


@then(
    "300 generated objects of every kind are unchanged after a round trip through"
    " JSON and INI"
)
def step_round_trip(context):
    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @for_all(body=bodies, version=st.integers(1, 2**60))
    def check(body, version):
        obj = Versioned(kind_of(body), body.name, version, body, 1, "anna-1")
        text = json.dumps(object_to_json(obj))
        assert object_from_json(json.loads(text)).unwrap() == obj
        (wanted,) = read_objects(to_ini([obj]), None).unwrap()
        assert (wanted.body, wanted.version) == (body, version)

    check()


@then("500 generated JSON values are read or refused, never with an exception")
def step_any_json(context):
    @settings(max_examples=500, deadline=None, derandomize=True, database=None)
    @for_all(value=values, kind=st.sampled_from(Kind), name=names)
    def check(value, kind, name):
        object_from_json(value)
        body_from_json(kind, name, value)
        read_objects(json.dumps({"items": [value]}), None)

    check()


@then('the file "{file}" is read without a mistake and holds {objects}')
def step_file(context, file, objects):
    found = read_objects((ROOT / file).read_text(), None).unwrap()
    bodies = [one.body for one in found]
    kinds = [kind_of(body) for body in bodies]
    order = (Kind.PROFILE, Kind.SERVICE, Kind.DOMAIN, Kind.TARGET)
    counted = ", ".join(f"{kinds.count(kind)} {kind}s" for kind in order)
    assert counted == objects, counted
    assert is_successful(check_change([], bodies))
