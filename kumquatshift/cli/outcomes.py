"""Outcomes of changes, individually and as a whole."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from ..errors import ErrorKind, Failure
from .changes import Change
from .writer import WriteResult


class ChangeResult(StrEnum):
    """Result of one change, as printed to the operator."""

    CREATED = "created"
    CHANGED = "changed"
    CONFIRMED = "confirmed"
    REMOVED = "removed"
    KEPT = "kept"
    PERHAPS_WRITTEN = "perhaps written"
    NOT_WRITTEN = "not written"


RESULT_BY_ACTION = {
    "create": ChangeResult.CREATED,
    "change": ChangeResult.CHANGED,
    "confirm": ChangeResult.CONFIRMED,
    "remove": ChangeResult.REMOVED,
    "keep": ChangeResult.KEPT,
}
WRITTEN = (
    ChangeResult.CREATED,
    ChangeResult.CHANGED,
    ChangeResult.CONFIRMED,
    ChangeResult.REMOVED,
)


@dataclass(frozen=True)
class Outcome:
    """Outcome of one change; ``version`` is the resulting version, if known.

    ``planned`` marks a change of a dry run, which has not been made.
    """

    subject: str
    fate: ChangeResult
    version: int | None = None
    operation: str = ""
    differences: tuple[str, ...] = ()
    answer_lost: bool = False
    planned: bool = False

    def __str__(self):
        would_be = "would be " if self.planned else ""
        version = f" version {self.version}" if self.version else ""
        lines = [f"{would_be}{self.fate} {self.subject}{version}"]
        lines += [f"    {line}" for line in self.differences]
        if self.answer_lost:
            lines.append("    (an answer was lost; the object was read back)")
        return "\n".join(lines)


def planned(change: Change) -> Outcome:
    """Return the outcome that a change would have."""
    fields = _fields(change)
    return Outcome(
        change.subject, RESULT_BY_ACTION[change.action], None, "", fields, planned=True
    )


def written(change: Change, done: WriteResult) -> Outcome:
    """Return the outcome of a write that took effect."""
    fate, fields = RESULT_BY_ACTION[change.action], _fields(change)
    return Outcome(
        change.subject, fate, done.version, done.operation, fields, done.answer_lost
    )


def kept(change: Change) -> Outcome:
    """Return the outcome of a change that needed no write."""
    return Outcome(change.subject, ChangeResult.KEPT, change.version)


def not_written(change: Change, failure: Failure | None = None) -> Outcome:
    """Return the outcome of a write that failed or was not attempted."""
    unknown = failure is not None and failure.kind is ErrorKind.OUTCOME_UNKNOWN
    fate = ChangeResult.PERHAPS_WRITTEN if unknown else ChangeResult.NOT_WRITTEN
    return Outcome(change.subject, fate, differences=_fields(change))


def partial(failure: Failure, outcomes: Sequence[Outcome]) -> Failure:
    """Extend a failure with the changes that were written and those that were not."""
    details = [f"written: {_names(outcomes, WRITTEN)}"]
    if any(outcome.fate is ChangeResult.PERHAPS_WRITTEN for outcome in outcomes):
        details.append(
            f"perhaps written: {_names(outcomes, (ChangeResult.PERHAPS_WRITTEN,))}"
        )
    details.append(f"not written: {_names(outcomes, (ChangeResult.NOT_WRITTEN,))}")
    text = f"{failure.message}\n" + "; ".join(details)
    remedy = "fix the cause and run the command again; objects already written are kept"
    if failure.remedy:
        remedy = f"{failure.remedy}; {remedy}"
    return Failure(failure.kind, text, remedy)


def _names(outcomes, results):
    found = [outcome.subject for outcome in outcomes if outcome.fate in results]
    return ", ".join(found) or "none"


def _fields(change):
    if change.after is None:
        return ()
    return tuple(str(difference) for difference in change.differences)
