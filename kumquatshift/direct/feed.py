"""State machine that keeps one kind of object in sync with the store.

A feed lists all objects of its kind once. It then follows the updates of peers
in its domain while these are fresh, or watches the store itself; it lists again
when the store's history has expired or the store was unreachable. It does no
I/O: the driver asks for the next call, makes it and passes the result back. The
length of a watch is limited by the deadlines for reacting to a change, since a
dead connection looks the same as one without changes.

An answer of a new era tells that the store came back from an older copy. The feed
then lists again: the list lacks what was written since the copy, until that is
written again, and nothing of it compares with the revisions known before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from .calls import (
    NO_REVISION,
    Change,
    Changes,
    Failure,
    FeedStatus,
    Item,
    ListCall,
    Page,
    PeerUpdate,
    PeerUpdateCall,
    Revision,
    WatchCall,
)
from .events import Event
from .history import ChangeHistory

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Protocol

    from .events import EventSink
    from .members import Members
    from .peer_updates import PeerSelector, Source

    class FeedListener(Protocol):
        """Receives the objects and changes that a feed reads."""

        def handle_list(
            self, items: tuple[Item, ...], after_loss: bool, now: float
        ) -> None:
            """Process the full list; ``after_loss`` if the store was unreachable."""
            ...

        def handle_change(self, change: Change, now: float) -> None:
            """Process one change."""
            ...

        def handle_store_loss(self, now: float) -> None:
            """Process that the store was unreachable for the domain's readers."""
            ...

        def handle_store_restore(self, now: float) -> None:
            """Process that the list that follows is from an older copy."""
            ...


# Changes within this time are fetched in one call, which saves calls in bursts
# such as rolling releases. It is well below the deadlines for reacting.
BATCH_S = 0.5

# A list is normally answered within milliseconds; a store that is slower by a
# factor of a hundred still answers within the first timeout.
FIRST_TIMEOUT_S = 0.8
MAX_TIMEOUT_S = 3.0
TIMEOUT_GROWTH = 1.5

# Retry delays after a failure: short enough to notice quickly that the store is
# back, long enough not to flood a store that refuses calls.
RETRY_S = 0.3
RETRY_OVERLOADED_S = 1.0

# Followers also retry the store occasionally, since it may refuse only the
# readers.
RETRY_FOLLOWER_S = 1.2

# How often a feed that follows peers, or waits for its retry, looks for its next call
# if no heartbeat announces changes.
FOLLOW_POLL_S = 0.25

# Time that a follower needs to read the store itself once its peers' updates are
# stale: one full list from a store of normal speed.
SELF_READ_S = 0.6

# Two heartbeat intervals of a reader, so that one heartbeat may be lost.
HEARTBEAT_MARGIN_S = 1.0

# Part of the allowed age of updates that is reserved for the store's response
# time to a reader.
READER_ANSWER_MARGIN_S = 0.2

# Time to recover from a watch that went silent: one list.
WATCH_MARGIN_S = 0.4

# The store's last answer shows for this long that it can be reached. After that, the
# first call is answered without waiting for changes, so that it soon ends if the
# connection is dead.
PROOF_TTL_S = 1.0

# Lower limits, however short the deadlines are: calls at a higher rate would cost
# more than they gain.
MIN_WATCH_S = 0.5
MIN_FRESH_S = 1.5

# A peer in the domain normally answers within milliseconds.
PEER_CALL_TIMEOUT_S = 0.5

# When a peer has used up its bandwidth for updates, the next attempt comes after
# this delay, at that peer or at another one that has the update by then. The
# number of entries that have it doubles with each round, so an update reaches a
# domain of a hundred entries within two seconds.
BUSY_RETRY_S = 0.15
BUSY_GIVE_UP_S = 2.0

# Time after which a store that refused this entry counts as reachable again, so
# that the entry may become a reader.
REFUSAL_TTL_S = 10.0

# Time for a change to arrive on an open watch: store response plus network delay.
WATCH_DELIVERY_S = 0.1

# An open call to the store is given up when a peer has had changes for this long that
# are not known here: a watch would have delivered them, and a list can be had from a
# reader.
UPDATE_GRACE_S = 0.5

# Time that a watch may take beyond the requested wait: a store that is slower by
# a factor of a hundred answers in 0.4 s.
WATCH_GRACE_S = 0.5


class FeedTiming(NamedTuple):
    """Durations of watches and the allowed age of updates, all in seconds.

    ``watch_s`` applies to an entry that reads only for itself. A reader for the
    domain renews its watch every ``reader_watch_s`` to prove that it works, and
    peers follow it while its updates are no older than ``fresh_s``.
    """

    watch_s: float
    reader_watch_s: float = 1.2
    fresh_s: float = 2.4

    @classmethod
    def from_bounds(cls, stable_window_s: float, shortest_s: float) -> FeedTiming:
        """Derive the durations from the shortest deadline for reacting to a change.

        A change must take effect within its deadline, or once the store has been
        healthy for the stable window, whichever is later. Both periods may start
        just after a watch has gone silent.
        """
        fresh_s = max(MIN_FRESH_S, shortest_s - SELF_READ_S)
        reader_watch_s = max(
            MIN_WATCH_S, fresh_s - HEARTBEAT_MARGIN_S - READER_ANSWER_MARGIN_S
        )
        due_s = max(stable_window_s, shortest_s)
        watch_s = max(MIN_WATCH_S, due_s - WATCH_GRACE_S - WATCH_MARGIN_S)
        return cls(watch_s, reader_watch_s, fresh_s)


class Feed:
    """Keeps one kind of object up to date.

    ``on_update`` is called after the listener has processed something new.
    """

    def __init__(
        self, kind: str, timing: FeedTiming, listener: FeedListener, events: EventSink
    ):
        self.kind = kind
        self.is_current = False
        self.confirmed_at = 0.0
        self._timing = timing
        self._listener = listener
        self._events = events
        self.on_update: Callable[[], None] | None = None
        self._members: Members | None = None
        self._peers: PeerSelector | None = None
        self.is_reader = False
        # For the log: the reader that is followed, and the peer called for an update.
        self._followed: tuple[str, int] | None = None
        self._updater: tuple[str, int] | None = None
        self._is_listed = False
        self._known_revision = NO_REVISION
        self.changed = NO_REVISION
        self._items: dict[str, Item] = {}
        self._history = ChangeHistory()
        self._pages: list[Item] = []
        self._first_revision = NO_REVISION
        self._next_call_at = 0.0
        self._retry_at = 0.0
        self._timeout_s = FIRST_TIMEOUT_S
        self._lost_at: float | None = None
        self._failed_at = 0.0
        # Whether the last call failed for another reason than a dead connection.
        self._is_refused = False
        # The open call to the store, if there is one.
        self._call: ListCall | WatchCall | None = None
        self._called_at = 0.0
        # The latest change that a peer has announced, and the one for which a call was
        # last given up.
        self._announced = NO_REVISION
        self._abandoned_for = NO_REVISION
        self._answered_at = float("-inf")
        self._peer_failed_at = -1.0
        self._busy_tries = 0
        self._busy_since = 0.0

    def follow(self, members: Members, peers: PeerSelector) -> None:
        """Read updates from other entries too."""
        self._members = members
        self._peers = peers

    def reaches_store(self, now: float) -> bool:
        """Return whether the store is presumed reachable from this entry."""
        return not self._is_refused or now - self._failed_at > REFUSAL_TTL_S

    def status(self, now: float) -> FeedStatus | None:
        """Return the feed's revision and age, or None before its first list."""
        if self._known_revision == NO_REVISION:
            return None
        age_s = round(now - self.confirmed_at, 3)
        since = self._history.since
        return FeedStatus(
            self.kind, self.is_reader, since, self.changed, self._known_revision, age_s
        )

    def history_length(self) -> int:
        """Return how many changes are kept for followers."""
        return len(self._history)

    def note_suspension(self, seconds: float) -> None:
        """Record that the machine was suspended, which its steady clock leaves out."""
        self.confirmed_at -= seconds
        self._events.emit(
            Event.SUSPENDED, kind=self.kind, suspended_s=round(seconds, 3)
        )

    def lacks(self, status: FeedStatus) -> bool:
        """Return whether a peer has changes that are not known here."""
        return status.changed > self._known_revision

    def known_until(self, now: float) -> float:
        """Return the time up to which every change is known.

        With an open watch that is not overdue, this is the present minus the
        delivery delay; otherwise it is when the store last confirmed the state. So
        it is if a peer has changes that the watch has not delivered.
        """
        if self._announced > self._known_revision:
            return self.confirmed_at
        watched_s = now - self.confirmed_at
        if (
            isinstance(self._call, WatchCall)
            and watched_s < self._timing.watch_s + WATCH_GRACE_S
        ):
            return now - WATCH_DELIVERY_S
        return self.confirmed_at

    def wait_s(self, now: float) -> float:
        """Return how long to wait before the next call."""
        return max(0.0, self._next_call_at - now)

    def poll_s(self, now: float) -> float:
        """Return how long to wait if there is no call to make now."""
        retry_s = self._retry_at - now
        return min(retry_s, FOLLOW_POLL_S) if retry_s > 0 else FOLLOW_POLL_S

    def next_call(self, now: float) -> ListCall | WatchCall | PeerUpdateCall | None:
        """Return the call to make now.

        None means that a followed peer has no changes, or that it is too early to
        try the store again; until then peers are still listened to.
        """
        uses_readers = self._members is not None and self._members.uses_readers()
        self._update_reader_role(
            uses_readers and self._members.is_reader(self.kind, self.reaches_store(now))
        )
        is_unknown = self._known_revision == NO_REVISION
        if is_unknown and self._lost_at is not None and self._may_call_peers(now):
            source = self._peers.freshest(now)
            if source is not None:
                return self._call_peer(source, NO_REVISION)
        source = self._reader_to_follow(now)
        if source is not None:
            return self._follow_reader(source, now)
        if now < self._retry_at:
            return None
        self._called_at = now
        self._call = self._watch_call(now) if self._is_listed else self._list_call()
        return self._call

    def _may_call_peers(self, now: float) -> bool:
        return self._peers is not None and now - self._peer_failed_at > RETRY_S

    def _reader_to_follow(self, now: float) -> Source | None:
        """Return the reader that this entry follows, or None if it reads the store."""
        is_unknown = self._known_revision == NO_REVISION
        if self.is_reader or is_unknown or not self._may_call_peers(now):
            return None
        if not self._members.uses_readers():
            return None
        return self._peers.reader_to_follow(self._known_revision, now)

    def _list_call(self) -> ListCall:
        """Return the request for the next page."""
        after = self._pages[-1].name if self._pages else ""
        return ListCall(self.kind, after, self._timeout_s)

    def _watch_call(self, now: float) -> WatchCall:
        """Return a watch that ends in time, counted from the store's last answer.

        A connection may have died just after that answer.
        """
        proven_s = now - self._answered_at
        if proven_s > PROOF_TTL_S:
            wait_s, timeout_s = 0.0, self._timeout_s
        else:
            timing = self._timing
            watch_s = timing.reader_watch_s if self.is_reader else timing.watch_s
            wait_s = max(MIN_WATCH_S, watch_s - proven_s)
            timeout_s = wait_s + WATCH_GRACE_S
        return WatchCall(self.kind, self._known_revision, wait_s, timeout_s)

    def note_announcement(self, changed: Revision) -> None:
        """Record that a peer has changes up to ``changed``."""
        self._announced = max(self._announced, changed)

    def abandon_call(self, now: float) -> bool:
        """Give the open call to the store up if peers had changes all the while.

        Returns whether the call is over. It is given up once for each change, so that
        a slow store is not called in a loop.
        """
        known = max(self._known_revision, self._abandoned_for)
        is_needless = _is_long(self._call) or self._may_follow_instead(now)
        if self._call is None or self._announced <= known or not is_needless:
            return False
        self._events.emit(
            Event.STORE_CALL_ABANDONED,
            kind=self.kind,
            call=_name(self._call),
            open_s=round(now - self._called_at, 3),
            announced=self._announced,
            known=self._known_revision,
        )
        self._abandoned_for = self._announced
        self._call = None
        self._pages = []
        self._answered_at = float("-inf")
        return True

    def _may_follow_instead(self, now: float) -> bool:
        """Return whether a reader has what the open call is for.

        A call that was made because a peer had failed is not given up for another.
        """
        if self._called_at - self._peer_failed_at < RETRY_S:
            return False
        return self._reader_to_follow(now) is not None

    def handle_page(self, page: Page, now: float) -> None:
        """Process a page; the last one completes the list."""
        self._call = None
        if page.revision.era < self._known_revision.era:
            detail = f"era {page.revision.era} after {self._known_revision.era}"
            self.handle_failure(Failure.UNREADABLE, detail, now)
            return
        if not self._pages:
            # The first watch starts here and repeats changes made between pages.
            self._first_revision = page.revision
        elif page.revision.era != self._first_revision.era:
            self._pages = []  # Of two states of the store: start again.
            return
        self._pages.extend(page.items)
        if page.has_more and page.items:
            return
        items, self._pages = tuple(self._pages), []
        self._is_listed = True
        self._events.emit(
            Event.STORE_LISTED,
            kind=self.kind,
            revision=self._first_revision,
            known=self._known_revision,
            objects=len(items),
        )
        self._apply_list(items, self._first_revision, now)

    def handle_changes(self, changes: Changes, now: float) -> None:
        """Process the result of a watch."""
        self._call = None
        if changes.revision.era != self._known_revision.era:
            # Its numbers do not follow on the known ones, even if nothing is missing.
            self._is_listed = False
            return
        if changes.changes:
            self._events.emit(
                Event.STORE_CHANGED,
                kind=self.kind,
                revision=changes.revision,
                known=self._known_revision,
                changes=len(changes.changes),
            )
        self._known_revision = changes.revision
        self._note_store_answer(now)
        self._apply_changes(changes.changes, changes.revision, now)
        if changes.changes:
            self._next_call_at = now + BATCH_S

    def handle_peer_update(self, update: PeerUpdate, now: float) -> None:
        """Process an update from a peer."""
        self._busy_tries = 0
        status = update.status
        self._events.emit(
            Event.PEER_UPDATED,
            kind=self.kind,
            peer=self._updater,
            revision=status.revision,
            changed=status.changed,
            known=self._known_revision,
            age_s=status.age_s,
            is_snapshot=update.is_snapshot,
            changes=len(update.changes),
        )
        if status.revision < self._known_revision:
            return
        if now - self.confirmed_at > self._timing.fresh_s:
            # The readers had lost the store too, and now pass on its new list.
            self._listener.handle_store_loss(now)
        if update.is_snapshot:
            self._apply_snapshot(update.items, update.status.changed, now)
        else:
            self._apply_changes(update.changes, update.status.changed, now)
        self._known_revision = update.status.revision
        self.changed = max(self.changed, update.status.changed)
        self.confirmed_at = max(self.confirmed_at, now - update.status.age_s)

    def handle_peer_busy(self, now: float) -> None:
        """Schedule a retry, since a peer was busy answering others."""
        if not self._busy_tries:
            self._busy_since = now
        elif now - self._busy_since > BUSY_GIVE_UP_S:
            self._busy_tries = 0
            self.handle_peer_failure(Failure.OVERLOADED, "peers stayed busy", now)
            return
        self._busy_tries += 1
        self._next_call_at = now + BUSY_RETRY_S

    def handle_peer_failure(self, failure: str, detail: str, now: float) -> None:
        """Record that a peer did not answer; the store is read instead."""
        self._peer_failed_at = now
        self._events.emit(
            Event.NEWS_FAILED, kind=self.kind, failure=failure, detail=detail
        )

    def updates_since(self, revision: Revision, now: float) -> PeerUpdate | None:
        """Return the update for a peer that knows everything up to ``revision``."""
        status = self.status(now)
        if status is None:
            return None
        if revision < self._history.since:
            return PeerUpdate(True, tuple(self._items.values()), (), status)
        return PeerUpdate(False, (), self._history.after(revision), status)

    def handle_failure(self, failure: str, detail: str, now: float) -> None:
        """Record that a call to the store failed; the feed lists again.

        A watch that times out tells nothing of the store, since its connection may
        have died. The list that follows at once is made on a new one.
        """
        call, self._call = self._call, None
        self._failed_at = now
        self._is_listed = False
        self._pages = []
        if failure == Failure.EXPIRED:
            self._events.emit(Event.STORE_HISTORY_GONE, kind=self.kind)
            return
        is_hung = _is_long(call) and failure == Failure.TIMEOUT
        self._is_refused = not is_hung
        self._retry_at = now if is_hung else now + self._retry_delay_s(failure)
        if self._lost_at is None:
            self._lost_at = now
            self._events.emit(
                Event.STORE_LOST,
                kind=self.kind,
                failure=failure,
                detail=detail,
                confirmed_s_ago=round(now - self.confirmed_at, 3),
                call=_name(call),
                open_s=round(now - self._called_at, 3),
            )
        self.is_current = False
        if failure == Failure.TIMEOUT and not is_hung:
            increased_s = self._timeout_s * TIMEOUT_GROWTH
            self._timeout_s = min(MAX_TIMEOUT_S, increased_s)

    def _retry_delay_s(self, failure: str) -> float:
        """Return the delay; that of followers is longer from the second failure on."""
        uses_readers = self._members is not None and self._members.uses_readers()
        if self._lost_at is not None and uses_readers and not self.is_reader:
            return RETRY_FOLLOWER_S
        return RETRY_OVERLOADED_S if failure == Failure.OVERLOADED else RETRY_S

    def _update_reader_role(self, is_reader: bool) -> None:
        if is_reader != self.is_reader:
            self.is_reader = is_reader
            event = Event.READER_TAKEN if is_reader else Event.READER_LEFT
            self._events.emit(event, kind=self.kind)

    def _follow_reader(self, source: Source, now: float) -> PeerUpdateCall | None:
        self._pages = []  # What is known may pass them before the rest is read.
        status = source.status
        if source.address != self._followed:
            self._followed = source.address
            self._events.emit(
                Event.READER_FOLLOWED,
                kind=self.kind,
                peer=source.address,
                revision=status.revision,
                changed=status.changed,
                known=self._known_revision,
                age_s=round(status.age_s, 3),
            )
        if self.lacks(status):
            alternate = self._peers.alternate(
                source, self._known_revision, self._busy_tries
            )
            return self._call_peer(alternate, self._known_revision)
        self._known_revision = max(self._known_revision, status.revision)
        self.confirmed_at = max(self.confirmed_at, now - status.age_s)
        self.is_current = True
        return None

    def _call_peer(self, source: Source, since: Revision) -> PeerUpdateCall:
        self._updater = source.address
        return PeerUpdateCall(self.kind, source.address, since, PEER_CALL_TIMEOUT_S)

    def _apply_list(
        self, items: tuple[Item, ...], revision: Revision, now: float
    ) -> None:
        after_loss = self._lost_at is not None
        self._replace_items(items, revision, now)
        self._known_revision = revision
        self._note_store_answer(now)
        self._listener.handle_list(items, after_loss, now)
        self._notify_update()

    def _apply_snapshot(
        self, items: tuple[Item, ...], changed: Revision, now: float
    ) -> None:
        """Process a full snapshot from a peer."""
        self._replace_items(items, changed, now)
        self._listener.handle_list(items, self._lost_at is not None, now)
        self._notify_update()

    def _replace_items(
        self, items: tuple[Item, ...], revision: Revision, now: float
    ) -> None:
        """Replace all items, and add the differences to the history.

        A history never spans two eras: a follower may know changes of the earlier
        one that this entry has not seen, so it needs a full snapshot.
        """
        before = self._items
        self._items = {item.name: item for item in items}
        if revision.era != self._known_revision.era:
            self._history.restart(revision)
            self.changed = revision
            if self._known_revision != NO_REVISION:
                self._note_restore(revision, now)
            return
        for name, item in self._items.items():
            old = before.get(name)
            if old is None or old.revision < item.revision:
                self._add_to_history(Change(item, False), revision)
        for name in before.keys() - self._items.keys():
            self._add_to_history(Change(before[name], True), revision)

    def _apply_changes(
        self, changes: tuple[Change, ...], revision: Revision, now: float
    ) -> None:
        has_newer = False
        for change in changes:
            if self._is_newer(change.item):
                has_newer = True
                self._record_change(change, revision)
                self._listener.handle_change(change, now)
        if has_newer:
            self._notify_update()

    def _notify_update(self) -> None:
        if self.on_update is not None:
            self.on_update()

    def _is_newer(self, item: Item) -> bool:
        """Return False for changes already known, such as from a later page."""
        known = self._items.get(item.name)
        return known is None or item.revision >= known.revision

    def _record_change(self, change: Change, revision: Revision) -> None:
        if change.is_deleted:
            self._items.pop(change.item.name, None)
        else:
            self._items[change.item.name] = change.item
        self._add_to_history(change, revision)

    def _add_to_history(self, change: Change, revision: Revision) -> None:
        """Add a change to the history that followers are served from."""
        self.changed = revision
        self._history.append(change, revision)

    def _note_restore(self, revision: Revision, now: float) -> None:
        self._events.emit(
            Event.STORE_RESTORED,
            kind=self.kind,
            revision=revision,
            known=self._known_revision,
            confirmed_s_ago=round(now - self.confirmed_at, 3),
        )
        self._listener.handle_store_restore(now)

    def _note_store_answer(self, now: float) -> None:
        if self._lost_at is not None:
            self._events.emit(
                Event.STORE_REGAINED,
                kind=self.kind,
                after_s=round(now - self._lost_at, 3),
            )
            self._lost_at = None
        self._is_refused = False
        self.is_current = True
        self.confirmed_at = self._answered_at = now
        self._timeout_s = FIRST_TIMEOUT_S


def _name(call: ListCall | WatchCall | None) -> str:
    """Return the name of a call to the store for the log."""
    return "watch" if isinstance(call, WatchCall) else "list"


def _is_long(call: ListCall | WatchCall | None) -> bool:
    """Return whether a call waits for changes, so that its connection may die."""
    return isinstance(call, WatchCall) and call.wait_s > 0
