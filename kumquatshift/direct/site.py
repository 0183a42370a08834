"""State of the site as known to an entry: routes, targets, evacuated domains.

Updates arrive from the platform's store or from peers in any order; a newer
configuration is never replaced by an older one.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from .events import Event
from .placement import RELIST_GRACE_S, Placement
from .routes import Configuration, RouteTable
from .targets import LiveTarget, Report, TargetTable

if TYPE_CHECKING:
    from .calls import Revision
    from .events import EventSink


class Site:
    """The state on which decisions about flows are based."""

    def __init__(self, placement: Placement, events: EventSink):
        self.routes = RouteTable()
        self.targets = TargetTable()
        self.placement = placement
        self._events = events
        self._has_configuration = False
        self._has_targets = False
        self._has_evacuations = False
        self._settled_at = float("-inf")

    @property
    def is_known(self) -> bool:
        """Whether routes, targets and evacuations have all been received."""
        known = self._has_configuration and self._has_targets
        return known and self._has_evacuations

    def put_configuration(self, cfg: Configuration, revision: Revision) -> bool:
        """Activate a configuration; return False if it is not newer.

        ``revision`` is that of the store's object, for the log.
        """
        self._has_configuration = True
        before = self.routes.destinations()
        if not self.routes.put(cfg):
            return False
        self.targets.forget_destinations(before - self.routes.destinations())
        self._events.emit(
            Event.CONFIG_IN_FORCE,
            version=cfg.version,
            routes=len(cfg.routes),
            revision=revision,
        )
        return True

    def list_targets(self, reports: Iterable[Report], now: float) -> None:
        """Replace the list of targets; targets missing from it are removed."""
        self._has_targets = True
        names = set()
        for report in reports:
            names.add(report.name)
            self.put_target(report, now)
        for target in self.targets.retain(names, now):
            self._log_gone(target, now)

    def put_target(self, report: Report, now: float) -> None:
        """Add or update one target from its report."""
        known = self.targets.get(report.name)
        if known is not None and now < self._settled_at and known.is_ahead_of(report):
            return
        was_draining = known is not None and known.draining
        target = self.targets.put(report, now)
        if target is not known:
            self._events.emit(
                Event.TARGET_LISTED,
                target=target.name,
                service=target.service,
                domain=target.domain,
                incarnation=target.incarnation,
                cold_s=report.warmup_left_s,
            )
        if target.draining and not was_draining:
            self._events.emit(
                Event.TARGET_DRAINING, target=target.name, flows=target.flows
            )

    def remove_target(self, name: str, now: float) -> None:
        """Remove a target from the list."""
        target = self.targets.remove(name, now)
        if target is not None:
            self._log_gone(target, now)

    def list_evacuations(self, domains: Iterable[str]) -> None:
        """Replace the list of evacuated domains, which get no new flows."""
        self._has_evacuations = True
        domains = frozenset(domains)
        for domain in domains - self.placement.evacuated:
            self._events.emit(Event.DOMAIN_EVACUATED, domain=domain)
        for domain in self.placement.evacuated - domains:
            self._events.emit(Event.DOMAIN_RETURNED, domain=domain)
        self.placement.evacuated = domains

    def evacuate(self, domain: str) -> None:
        """Stop sending new flows to a domain."""
        self.placement.kept_evacuated |= {domain}
        self.list_evacuations(self.placement.evacuated | {domain})

    def restore_domain(self, domain: str) -> None:
        """Resume sending new flows to a domain."""
        self.placement.kept_evacuated -= {domain}
        self.list_evacuations(self.placement.evacuated - {domain})

    def note_relisting(self, now: float) -> None:
        """Record that the list of targets was unreachable until now.

        Live targets may be missing from it until they have reported again.
        """
        self.placement.relisting_since = now

    def note_targets_restored(self, now: float) -> None:
        """Record that the list of targets is from an older copy.

        Targets may be missing from it, or listed with an older report, until they
        have reported again.
        """
        self.note_relisting(now)
        self._settled_at = now + RELIST_GRACE_S

    def note_evacuations_restored(self, now: float) -> None:
        """Record that the list of evacuated domains is from an older copy.

        The domains evacuated until now stay so while operators write again.
        """
        self.placement.keep_evacuated(now)

    def _log_gone(self, target: LiveTarget, now: float) -> None:
        self._events.emit(
            Event.TARGET_GONE,
            target=target.name,
            flows=target.flows,
            was_draining=target.draining,
            answered_s_ago=round(now - target.last_answer_at, 3),
            kept_on=self.placement.is_present(target, now),
        )
