"""What an operator asked for, as typed values; nothing has been done yet."""

from dataclasses import dataclass

from ..engine.objects import DomainState, Kind, TargetState


@dataclass(frozen=True)
class ChangeOptions:
    """How a change is made; ``wait_s`` is None if it is not waited for."""

    dry_run: bool = False
    wait_s: float | None = None
    as_json: bool = False


@dataclass(frozen=True)
class ListRequest:
    """All objects of one kind."""

    kind: Kind
    as_json: bool = False


@dataclass(frozen=True)
class ShowRequest:
    """One object."""

    kind: Kind
    name: str
    as_json: bool = False


@dataclass(frozen=True)
class ApplyRequest:
    """Make the objects of a file stand; ``kind`` bounds what it may hold."""

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
    """Give a target or a domain another state."""

    kind: Kind
    name: str
    state: TargetState | DomainState
    options: ChangeOptions


@dataclass(frozen=True)
class DiffRequest:
    """What `ApplyRequest` would change."""

    path: str
    as_json: bool = False


@dataclass(frozen=True)
class StatusRequest:
    """The whole site at a glance."""

    as_json: bool = False


@dataclass(frozen=True)
class DumpRequest:
    """The whole state of one entry."""

    entry: str


@dataclass(frozen=True)
class CheckRequest:
    """Whether a settings file of the command line is good."""

    path: str


@dataclass(frozen=True)
class ExplainRequest:
    """The story of a flow, a target, a second or all failures, from log files.

    Without a flow, a target and a second it is that of all failures. ``second``
    is when it begins, in seconds since 1970 as in the log.
    """

    path: str
    flow: str = ""
    target: str = ""
    second: int | None = None


@dataclass(frozen=True)
class WaitRequest:
    """Wait until the configuration that stands now is in force everywhere."""

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
