"""When to list and when to watch: one feed for each kind of object.

A feed lists its kind once, then watches for changes, and starts over when the
history is gone or the store was out of reach. It makes no call itself: the
driver asks for the next one and tells what came of it. A watch is never longer
than the bounds on reacting to a change allow, since a connection that has gone
silent looks just like one on which nothing happens.
"""

from __future__ import annotations

from typing import NamedTuple

from .events import Event

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Protocol

    from .events import Events

    class FeedTarget(Protocol):
        """Who takes in what a feed brings."""

        def take_list(
            self, items: tuple[Item, ...], after_loss: bool, now: float
        ) -> None:
            """Take in all objects; ``after_loss`` if the store was out of reach."""
            ...

        def take_change(self, change: Change, now: float) -> None:
            """Take in one change."""
            ...


# Changes that come in a burst, such as a rolling release, cost one call for all
# that happen within this time. It is well below the bounds on reacting.
BATCH_S = 0.5

# A list is answered within milliseconds; a store that is slow by a factor of
# a hundred still makes the first time-out.
FIRST_TIMEOUT_S = 0.8
LONGEST_TIMEOUT_S = 3.0
TIMEOUT_GROWTH = 1.5

# After a failure: soon enough that a store that is back is used at once, and
# few enough calls while it refuses them.
RETRY_S = 0.3
RETRY_OVERLOADED_S = 1.0

# What a watch may take beyond the time that it asked for.
WATCH_GRACE_S = 0.8


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


class Failure:
    """Why a call brought nothing: the closed list."""

    EXPIRED = "history gone"
    OVERLOADED = "too many calls"
    UNAVAILABLE = "unavailable"
    TIMEOUT = "timed out"
    BROKEN = "connection broken"
    UNREADABLE = "answer unreadable"


class Feed:
    """One kind of object, kept up to date."""

    def __init__(self, kind: str, watch_s: float, target: FeedTarget, events: Events):
        self.kind = kind
        self.is_current = False
        self.confirmed_at = 0.0
        self._watch_s = watch_s
        self._target = target
        self._events = events
        self._revision: int | None = None
        self._pages: list[Item] = []
        self._first_revision = 0
        self._not_before = 0.0
        self._timeout_s = FIRST_TIMEOUT_S
        self._lost_at: float | None = None
        self._revisions: dict[str, int] = {}

    def is_complete(self, now: float) -> bool:
        """Tell whether a change that happened a moment ago would be known.

        That is so while a watch is open, not while a batch gathers.
        """
        return self.is_current and now - self._not_before > BATCH_S

    def wait_s(self, now: float) -> float:
        """Return how long to wait before the next call."""
        return max(0.0, self._not_before - now)

    def next_call(self) -> ListCall | WatchCall:
        """Return the call to make now."""
        if self._revision is None:
            after = self._pages[-1].name if self._pages else ""
            return ListCall(self.kind, after, self._timeout_s)
        timeout_s = self._watch_s + WATCH_GRACE_S
        return WatchCall(self.kind, self._revision, self._watch_s, timeout_s)

    def take_page(self, page: Page, now: float) -> None:
        """Take in a page; the last one completes the list."""
        if not self._pages:
            # Changes between two pages come again with the first watch.
            self._first_revision = page.revision
        self._pages.extend(page.items)
        if page.has_more and page.items:
            return
        items, self._pages = tuple(self._pages), []
        self._revision = self._first_revision
        self._revisions = {item.name: item.revision for item in items}
        after_loss = self._lost_at is not None
        self._note_answer(now)
        self._target.take_list(items, after_loss, now)

    def take_changes(self, changes: Changes, now: float) -> None:
        """Take in what a watch brought."""
        self._revision = changes.revision
        self._note_answer(now)
        for change in changes.changes:
            if self._is_news(change.item):
                self._target.take_change(change, now)
        if changes.changes:
            self._not_before = now + BATCH_S

    def take_failure(self, failure: str, detail: str, now: float) -> None:
        """Note that a call failed; the feed lists anew."""
        self._revision = None
        self._pages = []
        if failure == Failure.EXPIRED:
            self._events.emit(Event.STORE_HISTORY_GONE, kind=self.kind)
            return
        if self._lost_at is None:
            self._lost_at = now
            self._events.emit(
                Event.STORE_LOST,
                kind=self.kind,
                failure=failure,
                detail=detail,
                confirmed_s_ago=round(now - self.confirmed_at, 3),
            )
        self.is_current = False
        overloaded = failure == Failure.OVERLOADED
        self._not_before = now + (RETRY_OVERLOADED_S if overloaded else RETRY_S)
        if failure == Failure.TIMEOUT:
            longer_s = self._timeout_s * TIMEOUT_GROWTH
            self._timeout_s = min(LONGEST_TIMEOUT_S, longer_s)

    def _is_news(self, item: Item) -> bool:
        """Pass over changes that a later page of the list had already."""
        if item.revision < self._revisions.get(item.name, 0):
            return False
        self._revisions[item.name] = item.revision
        return True

    def _note_answer(self, now: float) -> None:
        if self._lost_at is not None:
            self._events.emit(
                Event.STORE_REGAINED,
                kind=self.kind,
                after_s=round(now - self._lost_at, 3),
            )
            self._lost_at = None
        self.is_current = True
        self.confirmed_at = now
        self._timeout_s = FIRST_TIMEOUT_S
