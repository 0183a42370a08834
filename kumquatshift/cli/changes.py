"""Computes the changes that bring the platform to the desired objects."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from returns import result
from returns.result import Result, Success

from ..codec import body_to_json, kind_of, subject
from ..consistency import check_change, check_removal, unserved
from ..engine.objects import Body, Kind, Versioned
from ..errors import ErrorKind, Failure
from .files import DesiredObject

ORDER = (Kind.PROFILE, Kind.SERVICE, Kind.DOMAIN, Kind.TARGET)


@dataclass(frozen=True)
class Difference:
    """A field before and after; None where the object does not exist."""

    field: str
    before: object
    after: object

    def __str__(self):
        if self.before is None:
            return f"{self.field} = {self.after}"
        if self.after is None:
            return f"{self.field} was {self.before}"
        return f"{self.field}: {self.before} -> {self.after}"


@dataclass(frozen=True)
class Change:
    """One object to write, or to delete if ``after`` is None.

    ``before`` is the object as read, or None if there was none. If ``confirm`` is
    set, the object is written even if it seems to be in the desired state already:
    the read may have been stale, and only a conditional write shows that it was
    not.
    """

    kind: Kind
    name: str
    before: Versioned | None
    after: Body | None
    confirm: bool = False

    @property
    def subject(self) -> str:
        """The name of the object in messages."""
        return subject(self.kind, self.name)

    @property
    def version(self) -> int:
        """The version that the write requires, 0 if the object must not exist."""
        return self.before.version if self.before else 0

    @property
    def action(self) -> str:
        """The action that this change takes."""
        if self.after is None:
            return "remove"
        if self.before is None:
            return "create"
        if self.before.body != self.after:
            return "change"
        return "confirm" if self.confirm else "keep"

    @property
    def differences(self) -> tuple[Difference, ...]:
        """The fields that change."""
        return differences(self.before and self.before.body, self.after)


@dataclass(frozen=True)
class Plan:
    """Changes in the order they are made; ``notes`` warn of their consequences."""

    changes: tuple[Change, ...]
    notes: tuple[str, ...] = ()

    @classmethod
    def of(cls, current: Sequence[Versioned], changes: Sequence[Change]) -> "Plan":
        """Return the plan, with a note for each service it leaves without targets."""
        before = {(obj.kind, obj.name): obj.body for obj in current if obj.body}
        after = before | {(item.kind, item.name): item.after for item in changes}
        lost = unserved(filter(None, after.values())) - unserved(before.values())
        known = {name for kind, name in before if kind is Kind.SERVICE}
        notes = [
            f"{subject(Kind.SERVICE, name)} has no target in service any more"
            for name in sorted(lost & known)
        ]
        return cls(tuple(changes), tuple(notes))


def differences(before: Body | None, after: Body | None) -> tuple[Difference, ...]:
    """Return the fields in which two bodies differ."""
    old = body_to_json(before) if before else {}
    new = body_to_json(after) if after else {}
    return tuple(
        Difference(field, old.get(field), new.get(field))
        for field in old | new
        if old.get(field) != new.get(field)
    )


def plan_apply(
    current: Sequence[Versioned], desired: Sequence[DesiredObject]
) -> Result[Plan, Failure]:
    """Return the changes in order of dependency; check the resulting configuration.

    A state that the file does not set is preserved, so that applying a file never
    puts back into service what operators have taken out.
    """
    live = {(obj.kind, obj.name): obj for obj in current if obj.body is not None}
    changes = []
    for item in sorted(desired, key=lambda item: ORDER.index(item.kind)):
        before = live.get((item.kind, item.body.name))
        stale = _check_version(item, before)
        if stale:
            return result.Failure(stale)
        after = _preserve_state(item, before)
        changes.append(Change(item.kind, item.body.name, before, after))
    bodies = [obj.body for obj in live.values()]
    checked = check_change(bodies, [change.after for change in changes])
    return checked.map(lambda _: Plan.of(current, changes))


def plan_state_change(
    current: Sequence[Versioned], kind: Kind, name: str, state
) -> Result[Plan, Failure]:
    """Return the plan that changes the state of one object."""

    def plan(obj):
        change = Change(kind, name, obj, replace(obj.body, state=state), True)
        return Plan.of(current, [change])

    return find_object(current, kind, name).map(plan)


def plan_remove(
    current: Sequence[Versioned], kind: Kind, name: str
) -> Result[Plan, Failure]:
    """Return the plan that removes one object; refuse it while others refer to it."""
    bodies = [obj.body for obj in current if obj.body is not None]

    def check(obj):
        allowed = check_removal(bodies, (kind, name))
        return allowed.map(lambda _: Plan.of(current, [Change(kind, name, obj, None)]))

    return find_object(current, kind, name).bind(check)


def find_object(
    current: Sequence[Versioned], kind: Kind, name: str
) -> Result[Versioned, Failure]:
    """Return one existing object by its name."""
    for obj in current:
        if (obj.kind, obj.name) == (kind, name) and obj.body is not None:
            return Success(obj)
    text = f"{subject(kind, name)} does not exist"
    remedy = f"list the names with: kumquat-ctl {kind} list"
    return result.Failure(Failure(ErrorKind.NOT_FOUND, text, remedy))


def _preserve_state(item, before):
    if (
        before is None
        or "state" in item.specified_fields
        or not hasattr(item.body, "state")
    ):
        return item.body
    return replace(item.body, state=before.body.state)


def _check_version(item, before):
    found = before.version if before else 0
    if item.version is None or item.version == found:
        return None
    subject_name = subject(kind_of(item.body), item.body.name)
    text = f"{subject_name}: the file is based on version {item.version}"
    text += (
        f", but the platform holds {f'version {found}' if found else 'no such object'}"
    )
    if before is not None:
        details = "; ".join(str(diff) for diff in differences(before.body, item.body))
        text += f" (operation {before.operation or 'unnamed'}); differences: {details}"
    remedy = (
        f"merge with the current object: kumquat-ctl {item.kind} show {item.body.name}"
    )
    return Failure(ErrorKind.CONFLICT, text, remedy)
