"""Checks across objects: references must exist, addresses must be unique."""

from collections.abc import Iterable

from returns import result
from returns.result import Result, Success

from .codec import bad_input, kind_of, subject
from .engine.objects import (
    Body,
    Domain,
    DomainState,
    Kind,
    Service,
    Target,
    TargetState,
)
from .errors import ErrorKind, Failure
from .fields import FieldError, suggest_nearest

Key = tuple[Kind, str]


def key_of(body: Body) -> Key:
    """Return the kind and name that identify an object."""
    return kind_of(body), body.name


def find_field_errors(bodies: Iterable[Body]) -> list[FieldError]:
    """Return all missing references and duplicates of a whole configuration."""
    bodies = sorted(bodies, key=key_of)
    names = {kind: {b.name for b in bodies if kind_of(b) is kind} for kind in Kind}
    field_errors = []
    for body in bodies:
        field_errors += _check_references(body, names)
    field_errors += _check_unique(bodies, Service, ("address", "port", "protocol"))
    field_errors += _check_unique(bodies, Target, ("service", "host", "port"))
    return field_errors


def check_change(
    current: Iterable[Body], changed: Iterable[Body]
) -> Result[tuple[Body, ...], Failure]:
    """Check a change, and return all objects as they would be after it.

    Errors that existed before are ignored, so that one of them can be corrected
    without the others.
    """
    before = {key_of(body): body for body in current}
    after = before | {key_of(body): body for body in changed}
    known_errors = set(find_field_errors(before.values()))
    new_errors = [
        field_error
        for field_error in find_field_errors(after.values())
        if field_error not in known_errors
    ]
    if new_errors:
        return result.Failure(bad_input(new_errors))
    return Success(tuple(after.values()))


def references(body: Body) -> dict[str, Key]:
    """Return the objects that a body refers to, by field."""
    if isinstance(body, Service):
        return {"profile": (Kind.PROFILE, body.profile)}
    if isinstance(body, Target):
        return {
            "service": (Kind.SERVICE, body.service),
            "domain": (Kind.DOMAIN, body.domain),
        }
    return {}


def check_removal(current: Iterable[Body], key: Key) -> Result[Key, Failure]:
    """Refuse to remove an object that others refer to."""
    users = [body for body in current if key in references(body).values()]
    if not users:
        return Success(key)
    names = ", ".join(sorted(subject(kind_of(body), body.name) for body in users))
    text = f"{subject(*key)} cannot be removed: referenced by {names}"
    remedy = "remove them first, or make them refer to another object"
    return result.Failure(Failure(ErrorKind.FORBIDDEN, text, remedy))


def unserved(bodies: Iterable[Body]) -> set[str]:
    """Return the services without an admitted target in a domain that is in."""
    bodies = list(bodies)
    domains = {b.name for b in bodies if isinstance(b, Domain)}
    domains -= {b.name for b in bodies if b == Domain(b.name, DomainState.OUT)}
    served = {
        body.service
        for body in bodies
        if isinstance(body, Target)
        and body.state is TargetState.ADMITTED
        and body.domain in domains
    }
    return {b.name for b in bodies if isinstance(b, Service)} - served


def _check_references(body, names):
    object_id = subject(kind_of(body), body.name)
    field_errors = []
    for field, (kind, name) in references(body).items():
        if name not in names[kind]:
            hint = (
                suggest_nearest(name, names[kind]) if names[kind] else "none exists yet"
            )
            allowed = f"there is no {kind} of that name; {hint}"
            field_errors.append(FieldError(object_id, field, repr(name), allowed))
    return field_errors


def _check_unique(bodies, cls, fields):
    seen, field_errors = {}, []
    for body in bodies:
        if not isinstance(body, cls):
            continue
        field_values = tuple(getattr(body, field) for field in fields)
        other = seen.setdefault(field_values, body)
        if other is not body:
            object_id = subject(kind_of(body), body.name)
            found = ", ".join(str(part) for part in field_values)
            allowed = f"already used by {subject(kind_of(body), other.name)}"
            field_errors.append(FieldError(object_id, "/".join(fields), found, allowed))
    return field_errors
