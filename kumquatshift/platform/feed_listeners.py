"""Feed listeners that decode objects and apply them to the site."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..direct.calls import Change, Item
from ..direct.events import Event
from ..direct.site import Site
from ..direct.targets import Report
from . import objects

if TYPE_CHECKING:
    from ..direct.events import EventSink
    from ..direct.feed import FeedListener


def feed_listeners(site: Site, events: EventSink) -> dict[str, FeedListener]:
    """Return the listener for each kind of object."""
    return {
        objects.CONFIGURATIONS: ConfigurationListener(site, events),
        objects.TARGETS: TargetListener(site, events),
        objects.EVACUATIONS: EvacuationListener(site),
    }


class ConfigurationListener:
    """Applies configurations to the site."""

    def __init__(self, site: Site, events: EventSink):
        self._site = site
        self._events = events

    def handle_list(
        self, items: tuple[Item, ...], after_loss: bool, now: float
    ) -> None:
        """Apply the configuration if it exists."""
        for item in items:
            self._apply(item)

    def handle_change(self, change: Change, now: float) -> None:
        """Apply a new configuration."""
        if not change.is_deleted:
            self._apply(change.item)

    def handle_store_loss(self, now: float) -> None:
        """Do nothing: the last known state stays in effect."""

    def handle_store_restore(self, now: float) -> None:
        """Do nothing: an older version never replaces a newer one."""

    def _apply(self, item: Item) -> None:
        if item.name != objects.CONFIGURATION_NAME:
            return
        try:
            cfg = objects.configuration_from(item.value)
        except objects.UnreadableError as exc:
            self._events.emit(Event.CONFIG_REJECTED, problem=str(exc))
            return
        if not self._site.put_configuration(cfg, item.revision):
            return
        ignored = objects.ignored_objectives(item.value)
        if ignored:
            route, objective_ms = next(iter(ignored.items()))
            self._events.emit(
                Event.OBJECTIVES_IGNORED,
                count=len(ignored),
                route=route,
                objective_ms=objective_ms,
            )


class TargetListener:
    """Applies target reports to the site."""

    def __init__(self, site: Site, events: EventSink):
        self._site = site
        self._events = events

    def handle_list(
        self, items: tuple[Item, ...], after_loss: bool, now: float
    ) -> None:
        """Apply the full list of targets; unreadable reports are left out."""
        if after_loss:
            self._site.note_relisting(now)
        reports = [self._report(item) for item in items]
        self._site.list_targets([r for r in reports if r is not None], now)

    def handle_change(self, change: Change, now: float) -> None:
        """Apply a change of one target; an unreadable report removes it."""
        report = None if change.is_deleted else self._report(change.item)
        if report is None:
            self._site.remove_target(change.item.name, now)
        else:
            self._site.put_target(report, now)

    def handle_store_loss(self, now: float) -> None:
        """Give live targets time to be listed again."""
        self._site.note_relisting(now)

    def handle_store_restore(self, now: float) -> None:
        """Give live targets time to report again."""
        self._site.note_targets_restored(now)

    def _report(self, item: Item) -> Report | None:
        try:
            return objects.report_from(item.name, item.value)
        except objects.UnreadableError as exc:
            self._events.emit(Event.OBJECT_UNREADABLE, problem=str(exc))
            return None


class EvacuationListener:
    """Applies domain evacuations to the site."""

    def __init__(self, site: Site):
        self._site = site

    def handle_list(
        self, items: tuple[Item, ...], after_loss: bool, now: float
    ) -> None:
        """Apply the full list of evacuated domains."""
        self._site.list_evacuations(item.name for item in items)

    def handle_change(self, change: Change, now: float) -> None:
        """Apply that a domain is evacuated or returned."""
        if change.is_deleted:
            self._site.restore_domain(change.item.name)
        else:
            self._site.evacuate(change.item.name)

    def handle_store_loss(self, now: float) -> None:
        """Do nothing: the last known state stays in effect."""

    def handle_store_restore(self, now: float) -> None:
        """Give operators time to write again."""
        self._site.note_evacuations_restored(now)
