"""Calls to the store and to other entries, and what comes of them."""

from __future__ import annotations

from typing import NamedTuple


class ListCall(NamedTuple):
    """Read a page of objects, those with names after ``after``."""

    kind: str
    after: str
    timeout_s: float


class WatchCall(NamedTuple):
    """Wait for changes after ``revision``, for ``wait_s`` at most."""

    kind: str
    revision: int
    wait_s: float
    timeout_s: float


class NewsCall(NamedTuple):
    """Ask another entry for what it knows beyond ``since``; -1 for all."""

    kind: str
    address: tuple[str, int]
    since: int
    timeout_s: float


class Item(NamedTuple):
    """One object as the store has it; ``value`` is what the adapter decoded."""

    name: str
    revision: int
    value: object


class Page(NamedTuple):
    """A part of a list; ``revision`` is the store's when it was read."""

    items: tuple[Item, ...]
    has_more: bool
    revision: int


class Change(NamedTuple):
    """One object that was written, or deleted."""

    item: Item
    is_deleted: bool


class Changes(NamedTuple):
    """What has happened up to ``revision``."""

    changes: tuple[Change, ...]
    revision: int


class Tick(NamedTuple):
    """How far an entry's knowledge of one kind of object goes.

    All changes up to ``revision`` are known; the last one came with
    ``changed``, and those after ``since`` can be told one by one. ``age_s`` is
    how long ago the store last confirmed that.
    """

    kind: str
    is_reader: bool
    since: int
    changed: int
    revision: int
    age_s: float


class NewsAnswer(NamedTuple):
    """What another entry knows: all items, or the changes asked for."""

    is_whole: bool
    items: tuple[Item, ...]
    changes: tuple[Change, ...]
    tick: Tick


class Failure:
    """Why a call brought nothing: the closed list."""

    EXPIRED = "history gone"
    OVERLOADED = "too many calls"
    UNAVAILABLE = "unavailable"
    TIMEOUT = "timed out"
    BROKEN = "connection broken"
    UNREADABLE = "answer unreadable"
