"""Requests of operators, as typed values that have not been executed yet."""

from dataclasses import dataclass

from ..engine.objects import DomainState, Kind, TargetState


@dataclass(frozen=True)
class ChangeOptions:
    """Options of a change; ``wait_s`` is None to return without waiting."""

    dry_run: bool = False
    wait_s: float | None = None
    as_json: bool = False


@dataclass(frozen=True)
class ListRequest:
    """List all objects of one kind."""

    kind: Kind
    as_json: bool = False


@dataclass(frozen=True)
class ShowRequest:
    """Show one object."""

    kind: Kind
    name: str
    as_json: bool = False


@dataclass(frozen=True)
class ApplyRequest:
    """Create or change the objects of a file; with ``kind``, all must be of it."""

    path: str
    kind: Kind | None
    options: ChangeOptions


@dataclass(frozen=True)
class RemoveRequest:
    """Delete one object."""

    kind: Kind
    name: str
    options: ChangeOptions


@dataclass(frozen=True)
class StateRequest:
    """Change the state of a target or a domain."""

    kind: Kind
    name: str
    state: TargetState | DomainState
    options: ChangeOptions


@dataclass(frozen=True)
class DiffRequest:
    """Show what `ApplyRequest` would change."""

    path: str
    as_json: bool = False


@dataclass(frozen=True)
class StatusRequest:
    """Show the state of the whole site."""

    as_json: bool = False


@dataclass(frozen=True)
class DumpRequest:
    """Print the whole state of one entry."""

    entry: str


@dataclass(frozen=True)
class CheckRequest:
    """Validate a settings file of kumquat-ctl."""

    path: str


@dataclass(frozen=True)
class ExplainRequest:
    """Explain a flow, a target, a second or all failures, from a log file.

    Without a flow, target or second, all failures are explained. ``second`` is in
    seconds since 1970, as in the log.
    """

    path: str
    flow: str = ""
    target: str = ""
    second: int | None = None


@dataclass(frozen=True)
class WaitRequest:
    """Wait until the current configuration is in force at all reachable entries."""

    seconds: float
    as_json: bool = False


Request = (
    ListRequest
    | ShowRequest
    | ApplyRequest
    | RemoveRequest
    | StateRequest
    | DiffRequest
    | StatusRequest
    | DumpRequest
    | CheckRequest
    | ExplainRequest
    | WaitRequest
)
