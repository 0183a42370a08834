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


def find_mistakes(bodies: Iterable[Body]) -> list[FieldError]:
    """Return all missing references and duplicates of a whole configuration."""
    bodies = sorted(bodies, key=key_of)
    names = {kind: {b.name for b in bodies if kind_of(b) is kind} for kind in Kind}
    mistakes = []
    for body in bodies:
        mistakes += _check_references(body, names)
    mistakes += _check_unique(bodies, Service, ("address", "port", "protocol"))
    mistakes += _check_unique(bodies, Target, ("service", "host", "port"))
    return mistakes


def check_change(
    standing: Iterable[Body], changed: Iterable[Body]
) -> Result[tuple[Body, ...], Failure]:
    """Check a change, and return all objects as they would be after it.

    Mistakes that existed before are ignored, so that one of them can be corrected
    without the others.
    """
    before = {key_of(body): body for body in standing}
    after = before | {key_of(body): body for body in changed}
    known_mistakes = set(find_mistakes(before.values()))
    new_mistakes = [
        mistake
        for mistake in find_mistakes(after.values())
        if mistake not in known_mistakes
    ]
    if new_mistakes:
        return result.Failure(bad_input(new_mistakes))
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


def check_removal(standing: Iterable[Body], key: Key) -> Result[Key, Failure]:
    """Refuse to remove an object that others refer to."""
    users = [body for body in standing if key in references(body).values()]
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
    mistakes = []
    for field, (kind, name) in references(body).items():
        if name not in names[kind]:
            hint = (
                suggest_nearest(name, names[kind]) if names[kind] else "none exists yet"
            )
            allowed = f"there is no {kind} of that name; {hint}"
            mistakes.append(FieldError(object_id, field, repr(name), allowed))
    return mistakes


def _check_unique(bodies, cls, fields):
    seen, mistakes = {}, []
    for body in bodies:
        if not isinstance(body, cls):
            continue
        place = tuple(getattr(body, field) for field in fields)
        other = seen.setdefault(place, body)
        if other is not body:
            object_id = subject(kind_of(body), body.name)
            found = ", ".join(str(part) for part in place)
            allowed = f"already used by {subject(kind_of(body), other.name)}"
            mistakes.append(FieldError(object_id, "/".join(fields), found, allowed))
    return mistakes
