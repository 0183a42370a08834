"""Calls to the store and to peers, and their results."""

from __future__ import annotations

from typing import NamedTuple


class ListCall(NamedTuple):
    """Request a page of objects with names after ``after``."""

    kind: str
    after: str
    timeout_s: float


class WatchCall(NamedTuple):
    """Request changes after ``revision``, waiting ``wait_s`` at most."""

    kind: str
    revision: int
    wait_s: float
    timeout_s: float


class PeerUpdateCall(NamedTuple):
    """Request a peer's changes after revision ``since``; -1 for all objects."""

    kind: str
    address: tuple[str, int]
    since: int
    timeout_s: float


class Item(NamedTuple):
    """One object of the store; ``value`` is its content decoded by the adapter."""

    name: str
    revision: int
    value: object


class Page(NamedTuple):
    """One page of a list; ``revision`` is the store's revision when it was read.

    ``era`` rises each time that the store comes back from an older copy.
    """

    items: tuple[Item, ...]
    has_more: bool
    revision: int
    era: int = 0


class Change(NamedTuple):
    """One object that was written or deleted."""

    item: Item
    is_deleted: bool


class Changes(NamedTuple):
    """All changes up to ``revision`` since the one requested; ``era`` as in `Page`."""

    changes: tuple[Change, ...]
    revision: int
    era: int = 0


class FeedStatus(NamedTuple):
    """Synchronisation status of an entry for one kind of object.

    All changes up to ``revision`` are known. ``changed`` is the revision of the
    last change, and ``since`` the one after which the history is complete.
    ``age_s`` is how long ago the store last confirmed this state.
    """

    kind: str
    is_reader: bool
    since: int
    changed: int
    revision: int
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
