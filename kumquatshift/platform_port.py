"""Interface to the platform: its objects, their changes, and its VMs."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from twisted.internet.defer import Deferred

from .engine.objects import Body, Kind, Versioned
from .errors import Failure


class VmState(StrEnum):
    """State of a VM according to the platform, whose list may be outdated."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Vm:
    """One VM of the platform's list; entries have the ``role`` ``entry``."""

    name: str
    domain: str
    role: str
    address: str
    state: VmState


@dataclass(frozen=True)
class Listing:
    """All objects that existed at ``version`` of the platform's counter.

    ``skipped`` names objects that exist but could not be decoded.
    """

    version: int
    items: tuple[Versioned, ...]
    skipped: tuple[tuple[Kind, str], ...] = ()


@dataclass(frozen=True)
class Conflict(Failure):
    """Another write came first; ``current`` is the current object, if any."""

    current: Versioned | None = None


@dataclass(frozen=True)
class Progress:
    """Event of a watch: all changes up to ``version`` have been reported."""

    version: int


@dataclass(frozen=True)
class Expired(Failure):
    """The platform no longer has the changes since the requested version."""


WatchEvent = Versioned | Progress


class Watch(Protocol):
    """An open watch."""

    def stop(self) -> None:
        """Close the watch without a call of ``on_end``."""
        ...


class Platform(Protocol):
    """The platform's object API; every call ends within a timeout."""

    def list_objects(self, kind: Kind | None = None) -> Deferred:
        """Fire with ``Result[Listing, Failure]``."""
        ...

    def read_object(self, kind: Kind, name: str) -> Deferred:
        """Fire with ``Result[Versioned, Failure]``; may be a tombstone."""
        ...

    def write_object(self, body: Body, version: int, operation: str) -> Deferred:
        """Write if ``version`` is the current version (0: the object is new).

        Fires with ``Result[Versioned, Failure]``: a `Conflict` if another write
        came first, OUTCOME_UNKNOWN if the answer was lost.
        """
        ...

    def delete_object(
        self, kind: Kind, name: str, version: int, operation: str
    ) -> Deferred:
        """Delete if ``version`` is the current one; fires as `write_object` does."""
        ...

    def watch_objects(
        self,
        since: int,
        on_event: Callable[[WatchEvent], None],
        on_end: Callable[[Failure], None],
    ) -> Watch:
        """Report every change after ``since`` until the watch is stopped or ends."""
        ...

    def list_vms(self) -> Deferred:
        """Fire with ``Result[tuple[Vm, ...], Failure]``."""
        ...
