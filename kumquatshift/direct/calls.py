"""Calls to the store and to peers, and their results."""

from __future__ import annotations

from typing import NamedTuple


class Revision(NamedTuple):
    """Position in the history of the store; the higher of two is the later one.

    ``number`` increases with each change. When the store comes back from an older
    copy, numbers go back and are given out again, and ``era`` rises::

        >>> Revision(era=2, number=480) > Revision(era=1, number=500)
        True
    """

    era: int
    number: int


# Lower than every revision of a store.
NO_REVISION = Revision(-1, -1)


class ListCall(NamedTuple):
    """Request a page of objects with names after ``after``."""

    kind: str
    after: str
    timeout_s: float


class WatchCall(NamedTuple):
    """Request changes after ``revision``, waiting ``wait_s`` at most."""

    kind: str
    revision: Revision
    wait_s: float
    timeout_s: float


class PeerUpdateCall(NamedTuple):
    """Request a peer's changes after ``since``; `NO_REVISION` for all objects."""

    kind: str
    address: tuple[str, int]
    since: Revision
    timeout_s: float


class Item(NamedTuple):
    """One object of the store; ``value`` is its content decoded by the adapter.

    The era of ``revision`` is the one in which the object was read.
    """

    name: str
    revision: Revision
    value: object


class Page(NamedTuple):
    """One page of a list; ``revision`` is the store's revision when it was read."""

    items: tuple[Item, ...]
    has_more: bool
    revision: Revision


class Change(NamedTuple):
    """One object that was written or deleted."""

    item: Item
    is_deleted: bool


class Changes(NamedTuple):
    """All changes up to ``revision`` since the one requested."""

    changes: tuple[Change, ...]
    revision: Revision


class FeedStatus(NamedTuple):
    """Synchronisation status of an entry for one kind of object.

    All changes up to ``revision`` are known. ``changed`` is the revision of the
    last change, and ``since`` the one after which the history is complete.
    ``age_s`` is how long ago the store last confirmed this state.
    """

    kind: str
    is_reader: bool
    since: Revision
    changed: Revision
    revision: Revision
    age_s: float


class PeerUpdate(NamedTuple):
    """Response of a peer: all items, or the requested changes."""

    is_snapshot: bool
    items: tuple[Item, ...]
    changes: tuple[Change, ...]
    status: FeedStatus


class Failure:
    """All reasons why a call can fail."""

    EXPIRED = "history gone"
    OVERLOADED = "too many calls"
    UNAVAILABLE = "unavailable"
    TIMEOUT = "timed out"
    BROKEN = "connection broken"
    UNREADABLE = "answer unreadable"
