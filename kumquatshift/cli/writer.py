"""Conditional writes whose outcome is determined even if the answer is lost."""

import re
import uuid
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from returns import result
from returns.pipeline import is_successful
from returns.result import Result, Success
from twisted.internet import defer
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from ..engine.objects import Versioned
from ..errors import ErrorKind, Failure
from ..platform_port import Conflict, Platform
from .changes import Change, differences
from .constants import OPERATOR_VARIABLES

READ_BACK_TRIES = 4
READ_BACK_WAIT_S = 0.5
HISTORY_TIMEOUT_S = 6.0
OWN_WRITE_UNKNOWN = "whether your own write took effect first is unknown"
OWN_WRITE_PENDING = (
    "your write has not taken effect, but may still do so if the request is delayed"
    " and the object is removed"
)
UNKNOWN_OUTCOME_KINDS = (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.TIMEOUT)


def new_operation(variables: Mapping[str, str]) -> str:
    """Return a new operation id that begins with the operator's name."""
    names = [variables[key] for key in OPERATOR_VARIABLES if variables.get(key)]
    operator = re.sub(r"[^A-Za-z0-9._-]", "", names[0])[:32] if names else ""
    return f"{operator or 'operator'}-{uuid.uuid4().hex[:12]}"


@dataclass(frozen=True)
class WriteResult:
    """A write that took effect; ``answer_lost`` if only a read-back showed it."""

    version: int
    operation: str
    answer_lost: bool = False


class Writer:
    """Writes changes, each conditional on the version read, with a unique id.

    Repeating a conditional write is safe: it takes effect at most once, and a
    conflict with its own operation id shows that it already has.
    """

    def __init__(self, platform: Platform, clock, make_operation: Callable[[], str]):
        self._platform = platform
        self._clock = clock
        self._make_operation = make_operation

    async def write(self, change: Change) -> Result[WriteResult, Failure]:
        """Write one change, or return why it failed; never overwrite another write."""
        operation = self._make_operation()
        answer = await self._send(change, operation)
        if is_successful(answer):
            return Success(WriteResult(answer.unwrap().version, operation))
        failure = answer.failure()
        if failure.kind in UNKNOWN_OUTCOME_KINDS:
            return await self._resolve_outcome(change, operation)
        if isinstance(failure, Conflict):
            failure = conflict(change, failure.current)
        return result.Failure(failure)

    async def _resolve_outcome(self, change, operation):
        """Determine the outcome of a write whose answer was lost."""
        for _ in range(READ_BACK_TRIES):
            await deferLater(self._clock, READ_BACK_WAIT_S)
            answer = await self._read_back(change, operation)
            if is_successful(answer):
                return Success(WriteResult(answer.unwrap().version, operation, True))
            failure = answer.failure()
            if isinstance(failure, Conflict):
                return await self._resolve_conflict(change, operation, failure.current)
        return result.Failure(_outcome_unknown(change, operation))

    def _send(self, change, operation):
        if change.after is None:
            return self._platform.delete_object(
                change.kind, change.name, change.version, operation
            )
        return self._platform.write_object(change.after, change.version, operation)

    async def _read_back(self, change, operation):
        """Return our write if it is the current version; otherwise send it again."""
        found = await self._platform.read_object(change.kind, change.name)
        if is_successful(found) and found.unwrap().operation == operation:
            return found
        if not is_successful(found) and found.failure().kind is not ErrorKind.NOT_FOUND:
            return found
        return await self._send(change, operation)

    async def _resolve_conflict(self, change, operation, current):
        """Distinguish a conflict with another write from one with our own."""
        if current is not None and current.operation == operation:
            return Success(WriteResult(current.version, operation, True))
        up_to_version = current.version if current else 0
        for _ in range(READ_BACK_TRIES):
            own_write = await self._find_in_history(change, operation, up_to_version)
            if own_write is not OWN_WRITE_UNKNOWN:
                break
        return result.Failure(conflict(change, current, own_write))

    async def _find_in_history(self, change, operation, up_to_version):
        """Return a message on whether our write is among the changes since our read."""
        done = Deferred()

        def on_event(event):
            if isinstance(event, Versioned) and event.operation == operation:
                _callback_once(
                    done, f"your write took effect before it, as {event.version}"
                )
            elif event.version >= up_to_version:
                _callback_once(done, _own_write_missing(change))

        def on_end(_):
            _callback_once(done, OWN_WRITE_UNKNOWN)

        watch = self._platform.watch_objects(change.version, on_event, on_end)
        done.addTimeout(HISTORY_TIMEOUT_S, self._clock)
        try:
            return await done
        except defer.TimeoutError:
            return OWN_WRITE_UNKNOWN
        finally:
            watch.stop()


def conflict(
    change: Change, current: Versioned | None, own_write: str = "nothing was written"
) -> Conflict:
    """Return a conflict that describes the other write, field by field."""
    text = f"{change.subject}: {_describe_change(change, current)}; {own_write}"
    remedy = f"show it with: kumquat-ctl {change.kind} show {change.name}"
    return Conflict(ErrorKind.CONFLICT, text, remedy, current)


def _own_write_missing(change):
    """Return a message that our write is not among the changes so far.

    A change that requires an outdated version can no longer take effect. A creation
    only requires that the object does not exist, which is true again once the
    object is removed.
    """
    return "your write did not take effect" if change.version else OWN_WRITE_PENDING


def _describe_change(change, current):
    if current is None or current.body is None:
        by = f" by operation {current.operation}" if current else ""
        return f"it was removed by another{by}, after you read version {change.version}"
    before = change.before.body if change.before else None
    fields = "; ".join(str(diff) for diff in differences(before, current.body))
    operation = current.operation or "unnamed"
    return (
        f"another change came first, version {current.version}"
        f" by operation {operation}: {fields or 'no field differs'}"
    )


def _outcome_unknown(change, operation):
    text = (
        f"{change.subject}: whether the write took effect is unknown;"
        f" the platform did not answer. Its operation id is {operation}"
    )
    remedy = f"check later with: kumquat-ctl {change.kind} show {change.name}"
    return Failure(ErrorKind.OUTCOME_UNKNOWN, text, remedy)


def _callback_once(fut, value):
    if not fut.called:
        fut.callback(value)
