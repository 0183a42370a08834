"""Reads and writes configuration objects as INI or JSON files.

In INI a section ``[KIND NAME]`` is an object, and its keys are the fields::

    [target t1]
    service = tills
    domain = north-a
    host = 127.0.2.1
    port = 6080

``version`` may be given too: the object is then changed only if that is still
its current version. The JSON format is what ``list --json`` prints:
``{"items": [...]}``.
"""

import configparser
import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from returns import result
from returns.result import Result, Success

from ..codec import (
    REQUIRED_VERSION,
    bad_input,
    body_to_json,
    decode_body,
    fields_from_text,
    subject,
)
from ..engine.objects import Body, Kind, Versioned
from ..errors import ErrorKind, Failure
from ..fields import FieldError, Invalid, format_value, suggest_nearest

NO_DEFAULT_SECTION = "\n"


@dataclass(frozen=True)
class DesiredObject:
    """One object of a file.

    ``specified_fields`` are the fields that the file sets; ``version`` is the
    required current version, or None if any is accepted.
    """

    kind: Kind
    body: Body
    specified_fields: frozenset[str]
    version: int | None = None


@dataclass(frozen=True)
class _RawObject:
    kind: str
    name: object
    fields: object


def read_objects(
    text: str, kind: Kind | None
) -> Result[tuple[DesiredObject, ...], Failure]:
    """Return the objects of a file, or a failure that lists every error in it.

    If ``kind`` is given, the file may only contain objects of that kind.
    """
    try:
        raw_objects = _read_json(text) if text.lstrip()[:1] == "{" else _read_ini(text)
    except (ValueError, configparser.Error) as exc:
        message = " ".join(str(exc).split())
        failure = Failure(
            ErrorKind.BAD_INPUT, message, "fix the file; nothing was changed"
        )
        return result.Failure(failure)
    desired, field_errors = [], []
    for raw in raw_objects:
        found_errors = _check_kind(raw, kind)
        if not found_errors:
            desired_item, found_errors = _read_object(raw)
            desired.append(desired_item)
        field_errors += found_errors
    field_errors += _check_duplicates(raw_objects)
    if not raw_objects:
        allowed = "allowed: sections such as [target t1]"
        field_errors.append(FieldError("file", "objects", "none", allowed))
    if field_errors:
        return result.Failure(bad_input(field_errors))
    return Success(tuple(desired))


def to_ini(objects: Sequence[Versioned]) -> str:
    """Return the text of a file that `read_objects` accepts."""
    return "\n".join(_section(obj) for obj in objects)


def _section(obj):
    lines = [f"[{obj.kind} {obj.name}]"]
    lines += [
        f"{key} = {_format_value(val)}" for key, val in body_to_json(obj.body).items()
    ]
    lines.append(f"version = {obj.version}")
    if obj.operation:
        lines.append(f"# written by operation {obj.operation}")
    return "\n".join(lines) + "\n"


def _format_value(value):
    whole = isinstance(value, float) and value.is_integer()
    return str(int(value) if whole else value)


def _read_ini(text):
    parser = configparser.ConfigParser(
        interpolation=None, default_section=NO_DEFAULT_SECTION
    )
    parser.read_string(text, source="file")
    raw_objects = []
    for title in parser.sections():
        words = title.split()
        kind, name = words if len(words) == 2 else (title, "")
        texts = dict(parser[title])
        raw_objects.append(_RawObject(kind, name, texts))
    return raw_objects


def _read_json(text):
    value = json.loads(text)
    items = value.get("items")
    if not isinstance(items, list):
        raise ValueError('the JSON value must be {"items": [{"kind", "name", "body"}]}')
    return [_raw_object(item) for item in items]


def _raw_object(item):
    if not isinstance(item, Mapping):
        raise ValueError(
            f"found {format_value(item)}; allowed: an object with kind and name"
        )
    fields = item.get("body")
    if isinstance(fields, Mapping) and "version" in item:
        fields = {**fields, "version": item["version"]}
    return _RawObject(str(item.get("kind")), item.get("name"), fields)


def _check_kind(raw, kind):
    subject_name = subject(raw.kind, raw.name)
    if raw.kind not in list(Kind):
        hint = suggest_nearest(raw.kind, list(Kind))
        allowed = f"no such kind of object; {hint}; write [KIND NAME]"
        return [FieldError(subject_name, "kind", format_value(raw.kind), allowed)]
    if not raw.name:
        allowed = "allowed: a name after the kind; write [KIND NAME]"
        return [FieldError(subject_name, "name", "nothing", allowed)]
    if kind is not None and raw.kind != kind:
        allowed = f"allowed: {kind}; for all kinds use: kumquat-ctl apply FILE"
        return [FieldError(subject_name, "kind", format_value(raw.kind), allowed)]
    return []


def _read_object(raw):
    kind, fields = Kind(raw.kind), raw.fields
    if isinstance(fields, Mapping):
        texts = {k: v for k, v in fields.items() if isinstance(v, str)}
        fields = {**fields, **fields_from_text(kind, texts)}
    version, found_errors = None, []
    if isinstance(fields, Mapping) and "version" in fields:
        version, found_errors = _read_version(raw, fields.pop("version"))
    decoded = decode_body(kind, raw.name, fields)
    field_errors = [*found_errors, *decoded.field_errors]
    if field_errors:
        return None, field_errors
    return DesiredObject(kind, decoded.body, frozenset(fields), version), []


def _read_version(raw, value):
    if isinstance(value, str):
        value = REQUIRED_VERSION.from_text(value)
    try:
        return REQUIRED_VERSION.read(value), []
    except Invalid:
        subject_name = subject(raw.kind, raw.name)
        allowed = REQUIRED_VERSION.allowed
        return None, [FieldError(subject_name, "version", format_value(value), allowed)]


def _check_duplicates(raw_objects):
    seen, field_errors = set(), []
    for raw in raw_objects:
        key = (raw.kind, str(raw.name))
        if key in seen:
            subject_name = subject(raw.kind, raw.name)
            field_errors.append(
                FieldError(
                    subject_name,
                    "name",
                    "a duplicate",
                    "allowed: each object once per file",
                )
            )
        seen.add(key)
    return field_errors
