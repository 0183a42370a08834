"""The port to the platform: its objects, their changes, and its list of VMs."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from twisted.internet.defer import Deferred

from .engine.objects import Body, Kind, Versioned
from .errors import Failure


class VmState(StrEnum):
    """What the platform says of a VM; the list lags behind the truth."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Vm:
    """One VM of the platform's list; ``role`` is ``entry`` for the system's own."""

    name: str
    domain: str
    role: str
    address: str
    state: VmState


@dataclass(frozen=True)
class Listing:
    """All objects that stood at ``version`` of the platform's counter.

    ``skipped`` names objects that could not be read; they exist all the same.
    """

    version: int
    items: tuple[Versioned, ...]
    skipped: tuple[tuple[Kind, str], ...] = ()


@dataclass(frozen=True)
class Conflict(Failure):
    """Another write came first; ``standing`` is what it left, None if nothing."""

    standing: Versioned | None = None


@dataclass(frozen=True)
class Progress:
    """A sign of life of a watch: all changes up to ``version`` were told."""

    version: int


@dataclass(frozen=True)
class Expired(Failure):
    """The platform no longer knows the changes since the version asked for."""


WatchEvent = Versioned | Progress


class Watch(Protocol):
    """An open watch."""

    def stop(self) -> None:
        """Close it; ``on_end`` is not called any more."""
        ...


class Platform(Protocol):
    """The platform's object API; every answer arrives within a time-out."""

    def list_objects(self, kind: Kind | None = None) -> Deferred:
        """Give ``Result[Listing, Failure]``."""
        ...

    def read_object(self, kind: Kind, name: str) -> Deferred:
        """Give ``Result[Versioned, Failure]``; a tombstone if that is known."""
        ...

    def write_object(self, body: Body, version: int, operation: str) -> Deferred:
        """Write if ``version`` still stands (0: none does).

        Gives ``Result[Versioned, Failure]``: a `Conflict` if another write came
        first, OUTCOME_UNKNOWN if the answer was lost.
        """
        ...

    def delete_object(
        self, kind: Kind, name: str, version: int, operation: str
    ) -> Deferred:
        """Delete if ``version`` still stands; answers as `write_object` does."""
        ...

    def watch_objects(
        self,
        since: int,
        on_event: Callable[[WatchEvent], None],
        on_end: Callable[[Failure], None],
    ) -> Watch:
        """Tell every change after version ``since`` until stopped or ended."""
        ...

    def list_vms(self) -> Deferred:
        """Give ``Result[tuple[Vm, ...], Failure]``."""
        ...
