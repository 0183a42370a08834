"""Recent changes of one kind of object, kept for peers that follow this entry.

A follower asks for what has changed since a revision. It needs the latest state of
each object only, so a change replaces the earlier ones of the same object. A
configuration that is rewritten for hours is therefore held once, whatever its size.
"""

from __future__ import annotations

from .calls import NO_REVISION, Change, Revision

# Objects whose latest change is kept, enough to cover one or two lost heartbeats.
MAX_CHANGED_OBJECTS = 400


class ChangeHistory:
    """Latest change of each object, complete after the revision ``since``.

    For example, after two writes of one object a follower gets the second one::

        history.append(Change(Item("main", first, old_value), False), first)
        history.append(Change(Item("main", second, value), False), second)
        assert [change.item.value for change in history.after(NO_REVISION)] == [value]
    """

    def __init__(self):
        self.since = NO_REVISION
        # Ordered by revision, since a further change moves its object to the end.
        self._latest: dict[str, tuple[Revision, Change]] = {}

    def __len__(self) -> int:
        return len(self._latest)

    def restart(self, revision: Revision) -> None:
        """Forget all changes up to ``revision``."""
        self._latest.clear()
        self.since = revision

    def append(self, change: Change, revision: Revision) -> None:
        """Add a change that was read at ``revision``.

        The content of a deleted object is dropped: followers only need its name.
        """
        if change.is_deleted:
            change = Change(change.item._replace(value=None), True)
        name = change.item.name
        self._latest.pop(name, None)
        self._latest[name] = revision, change
        if len(self._latest) > MAX_CHANGED_OBJECTS:
            self.since, _ = self._latest.pop(next(iter(self._latest)))

    def after(self, revision: Revision) -> tuple[Change, ...]:
        """Return the latest change of each object that changed after ``revision``."""
        return tuple(change for at, change in self._latest.values() if at > revision)
