"""Converts configuration objects to and from JSON values, and validates them.

Decoding does not stop at the first invalid field: the failure lists all of them,
each with the object, the field, the value found and the values allowed::

    >>> body_from_json(Kind.PROFILE, "tills", {"mode": "stream", "retries": 1})
    <Failure: bad-input: profile/tills: retries: found 1; no such field; ...>
"""

import dataclasses
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from returns import result
from returns.result import Result, Success

from .engine.objects import (
    Body,
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
from .errors import ErrorKind, Failure
from .fields import (
    Address,
    Check,
    Choice,
    FieldError,
    Integer,
    Invalid,
    Name,
    Number,
    format_value,
    suggest_nearest,
)

MIN_TIMEOUT_S = 0.1
MAX_TIMEOUT_S = 7 * 24 * 3600.0
MAX_SLOTS = 1_000_000
MAX_CONNECTIONS = 10_000_000
MAX_VERSION = 2**63 - 1
MAX_OPERATION_LENGTH = 200

TIMEOUT = Number(MIN_TIMEOUT_S, MAX_TIMEOUT_S, "seconds")
SHARE = Number(0.0, 1.0)
PORT = Integer(1, 65535)
VERSION = Integer(0, MAX_VERSION)
REQUIRED_VERSION = Integer(1, MAX_VERSION)

TYPES: dict[Kind, type] = {
    Kind.PROFILE: Profile,
    Kind.SERVICE: Service,
    Kind.TARGET: Target,
    Kind.DOMAIN: Domain,
}
KINDS: dict[type, Kind] = {cls: kind for kind, cls in TYPES.items()}

FIELDS: dict[Kind, dict[str, Check]] = {
    Kind.PROFILE: {
        "mode": Choice(Mode),
        "priority": Choice(Priority),
        "idle_timeout_s": TIMEOUT,
        "silence_timeout_s": TIMEOUT,
        "request_timeout_s": TIMEOUT,
        "repeat_span_s": TIMEOUT,
        "retry_share": SHARE,
        "reserved_share": SHARE,
    },
    Kind.SERVICE: {
        "address": Address(),
        "port": PORT,
        "protocol": Choice(Protocol),
        "profile": Name(),
    },
    Kind.TARGET: {
        "service": Name(),
        "domain": Name(),
        "host": Address(),
        "port": PORT,
        "slots": Integer(1, MAX_SLOTS),
        "connections": Integer(1, MAX_CONNECTIONS),
        "state": Choice(TargetState),
    },
    Kind.DOMAIN: {"state": Choice(DomainState)},
}

ENVELOPE = ("kind", "name", "version", "created", "operation", "deleted", "body")
REMEDY = "correct the listed fields and try again; nothing was changed"


@dataclass(frozen=True)
class Decoded:
    """A body, or the reasons why a value is not a valid body."""

    body: Body | None
    field_errors: tuple[FieldError, ...]


def kind_of(body: Body) -> Kind:
    """Return the kind of a body."""
    return KINDS[type(body)]


def subject(kind: str, name: object) -> str:
    """Return the name of an object in messages, for example ``service/tills``."""
    return f"{kind}/{name}"


def body_to_json(body: Body) -> dict[str, object]:
    """Return the fields of a body without its name, which the object holds."""
    fields = dataclasses.asdict(body)
    del fields["name"]
    return {key: _to_json_value(value) for key, value in fields.items()}


def decode_body(kind: Kind, name: object, value: object) -> Decoded:
    """Decode the fields of one object and collect all invalid ones."""
    object_id = subject(kind, name)
    field_errors = []
    if not _is_valid(Name(), name):
        field_errors.append(
            FieldError(object_id, "name", format_value(name), Name.allowed)
        )
    if not isinstance(value, Mapping):
        wanted = "allowed: an object with the fields " + ", ".join(FIELDS[kind])
        field_errors.append(FieldError(object_id, "body", format_value(value), wanted))
        return Decoded(None, tuple(field_errors))
    fields, wrong = _read_fields(kind, object_id, name, value)
    field_errors += wrong
    if field_errors:
        return Decoded(None, tuple(field_errors))
    body = TYPES[kind](name=name, **fields)
    field_errors = _check_related_fields(object_id, body)
    return Decoded(None if field_errors else body, tuple(field_errors))


def body_from_json(kind: Kind, name: str, value: object) -> Result[Body, Failure]:
    """Decode a body from a JSON value, or list all its invalid fields."""
    decoded = decode_body(kind, name, value)
    if decoded.body is None:
        return result.Failure(bad_input(decoded.field_errors))
    return Success(decoded.body)


def fields_from_text(kind: Kind, texts: Mapping[str, str]) -> dict[str, object]:
    """Convert the values of an INI section to the types they have in JSON.

    A text that its field does not allow is left unchanged, so that
    `decode_body` can report it.
    """
    checks = FIELDS[kind]
    return {
        key: checks[key].from_text(text) if key in checks else text
        for key, text in texts.items()
    }


def object_to_json(obj: Versioned) -> dict[str, object]:
    """Encode an object as in the platform's API."""
    return {
        "kind": obj.kind.value,
        "name": obj.name,
        "version": obj.version,
        "created": obj.created,
        "operation": obj.operation,
        "deleted": obj.body is None,
        "body": None if obj.body is None else body_to_json(obj.body),
    }


def object_from_json(value: object) -> Result[Versioned, Failure]:
    """Decode an object from a JSON value of the platform's API."""
    if not isinstance(value, Mapping):
        wanted = "allowed: an object with the fields " + ", ".join(ENVELOPE)
        field_error = FieldError("object", "value", format_value(value), wanted)
        return result.Failure(bad_input((field_error,)))
    field_errors = _check_envelope(value)
    if field_errors:
        return result.Failure(bad_input(field_errors))
    kind = Kind(value["kind"])
    body = None
    if not value.get("deleted", False):
        decoded = decode_body(kind, value["name"], value.get("body"))
        if decoded.field_errors:
            return result.Failure(bad_input(decoded.field_errors))
        body = decoded.body
    return Success(
        Versioned(
            kind=kind,
            name=value["name"],
            version=value["version"],
            body=body,
            created=value.get("created", 0),
            operation=value.get("operation", ""),
        )
    )


def bad_input(field_errors) -> Failure:
    """Return a failure that lists the invalid fields, one on each line."""
    lines = "\n".join(str(field_error) for field_error in field_errors)
    return Failure(ErrorKind.BAD_INPUT, lines, REMEDY)


def _to_json_value(value):
    return value.value if isinstance(value, StrEnum) else value


def _is_valid(check, value):
    try:
        check.read(value)
    except Invalid:
        return False
    return True


def _read_fields(kind, object_id, name, value):
    checks = FIELDS[kind]
    fields, field_errors = {}, []
    for key, found in value.items():
        if key == "name":
            if found != name:
                allowed = f"allowed: {name}, the name of the object, or nothing"
                field_errors.append(
                    FieldError(object_id, "name", format_value(found), allowed)
                )
            continue
        if key not in checks:
            allowed = "no such field; " + suggest_nearest(str(key), checks)
            field_errors.append(
                FieldError(object_id, str(key), format_value(found), allowed)
            )
            continue
        try:
            fields[key] = checks[key].read(found)
        except Invalid:
            field_errors.append(
                FieldError(object_id, key, format_value(found), checks[key].allowed)
            )
    for key in _required(kind):
        if key not in value:
            field_errors.append(
                FieldError(object_id, key, "nothing", checks[key].allowed)
            )
    return fields, field_errors


def _required(kind):
    return [
        field.name
        for field in dataclasses.fields(TYPES[kind])
        if field.default is dataclasses.MISSING and field.name != "name"
    ]


def _check_related_fields(object_id, body):
    """Check fields of one object that depend on each other."""
    if not isinstance(body, Profile):
        return []
    field_errors = []
    for key in ("request_timeout_s", "silence_timeout_s"):
        limit = getattr(body, key)
        if limit > body.idle_timeout_s:
            allowed = (
                f"allowed: at most idle_timeout_s, {body.idle_timeout_s:g} seconds"
            )
            field_errors.append(FieldError(object_id, key, f"{limit:g}", allowed))
    return field_errors


def _check_envelope(value):
    object_id = subject(value.get("kind", "?"), value.get("name", "?"))
    field_errors = []
    checks = {"kind": Choice(Kind), "name": Name(), "version": VERSION}
    if "created" in value:
        checks["created"] = VERSION
    for key, check in checks.items():
        if not _is_valid(check, value.get(key)):
            field_errors.append(
                FieldError(object_id, key, format_value(value.get(key)), check.allowed)
            )
    operation = value.get("operation", "")
    if not isinstance(operation, str) or len(operation) > MAX_OPERATION_LENGTH:
        allowed = f"allowed: text of at most {MAX_OPERATION_LENGTH} characters"
        field_errors.append(
            FieldError(object_id, "operation", format_value(operation), allowed)
        )
    if not isinstance(value.get("deleted", False), bool):
        found = format_value(value["deleted"])
        field_errors.append(
            FieldError(object_id, "deleted", found, "allowed: true, false")
        )
    return field_errors
