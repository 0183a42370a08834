"""The targets known to an entry, indexed by name, service and cookie."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from .failure_detector import Suspect

# Cookies of unlisted targets are kept this long so that their open flows are
# still recognised: flows may live for a minute, and then stay idle for a while.
GONE_TARGET_TTL_S = 90.0


class Report(NamedTuple):
    """State that one incarnation of a target reports about itself.

    ``incarnation`` differs for each start under the same name, ``key`` holds the
    bytes that address this target in a datagram, and ``warmup_left_s`` is its
    remaining warm-up time. ``sequence`` increases with each report of an
    incarnation. A draining target keeps its flows and gets no new
    ones.
    """

    name: str
    key: bytes
    incarnation: int
    service: str
    domain: str
    address: tuple[str, int]
    slots: int
    drains: bool = False
    warmup_left_s: float = 0.0
    sequence: int = 0


class LiveTarget:
    """One incarnation of a target, and what this entry has observed of it.

    ``last_answer_at`` is when a packet last proved that the target answers.
    ``complaints`` counts flows that have retransmitted without progress since
    then, and ``open_complaints`` those of them that were open; these have been
    unanswered since ``unanswered_since``. ``peer_reports`` has what peers report.
    ``probe_sent_at`` is when a suspected target was first sent a packet that
    requires an answer, after the latest concurrent silence of other targets.
    ``busy`` counts its flows with a request in progress, or just answered.
    """

    __slots__ = (
        "address",
        "busy",
        "cold_until",
        "complaints",
        "cookies",
        "domain",
        "draining",
        "flows",
        "incarnation",
        "key",
        "last_picked",
        "listed",
        "name",
        "next_cold_flow",
        "next_probe_at",
        "open_complaints",
        "peer_reports",
        "last_answer_at",
        "service",
        "silent_since",
        "slots",
        "suspected",
        "suspected_at",
        "probe_sent_at",
        "sequence",
        "unanswered_since",
        "unlisted_at",
    )

    def __init__(self, report: Report, now: float):
        self.name = report.name
        self.key = report.key
        self.incarnation = report.incarnation
        self.cookies: dict[bytes, int] = {}
        self.flows = 0
        self.busy = 0
        self.complaints = 0
        self.open_complaints = 0
        self.unanswered_since = now
        self.peer_reports: dict[str, Suspect] = {}
        self.last_answer_at = now
        self.silent_since = now
        self.suspected = False
        self.suspected_at = now
        self.probe_sent_at = now
        self.last_picked = 0
        self.next_cold_flow = now
        self.next_probe_at = now
        self.cold_until = now
        self.update(report, now)

    def update(self, report: Report, now: float) -> None:
        """Apply a newer report of the same incarnation."""
        self.address = report.address
        self.service = report.service
        self.domain = report.domain
        self.slots = report.slots
        self.draining = report.drains
        self.sequence = report.sequence
        self.cold_until = now + report.warmup_left_s
        self.listed = True
        self.unlisted_at = now

    def cookie(self, destination: bytes) -> int:
        """Return the cookie of this target's flows to ``destination``; never 0.

        All entries compute the same cookie. It depends on the incarnation, and on
        the destination: a cookie is valid only for the destination for which an
        entry has chosen the target.
        """
        cookie = self.cookies.get(destination)
        if cookie is None:
            text = f"{self.name}/{self.incarnation}/".encode()
            cookie = xxhash.xxh32_intdigest(text + destination) or 1
            self.cookies[destination] = cookie
        return cookie

    def is_ahead_of(self, report: Report) -> bool:
        """Return whether more is known than a report from an older copy tells."""
        known = self.incarnation, self.sequence
        return known > (report.incarnation, report.sequence)

    def is_cold(self, now: float) -> bool:
        """Return whether the target is still warming up after its start."""
        return now < self.cold_until


class TargetTable:
    """The listed targets, and those unlisted within `GONE_TARGET_TTL_S`."""

    def __init__(self):
        self._listed: dict[str, LiveTarget] = {}
        self._remembered: dict[tuple[str, int], LiveTarget] = {}
        self._by_cookie: dict[bytes, dict[int, LiveTarget]] = {}
        self._by_service: dict[str, tuple[LiveTarget, ...]] = {}
        self._by_domain: dict[tuple[str, str], tuple[LiveTarget, ...]] = {}
        self._domains: dict[str, tuple[str, ...]] = {}
        self._gone: set[LiveTarget] = set()
        self._services_stale = False

    def __len__(self) -> int:
        return len(self._listed)

    def __iter__(self) -> Iterator[LiveTarget]:
        return iter(self._listed.values())

    def gone(self) -> set[LiveTarget]:
        """Return the targets that are still remembered but no longer listed."""
        return self._gone

    def get(self, name: str) -> LiveTarget | None:
        """Return the listed target of this name, or None."""
        return self._listed.get(name)

    def by_cookie(self, destination: bytes, cookie: int) -> LiveTarget | None:
        """Return the listed or remembered target of a cookie at a destination."""
        targets = self._by_cookie.get(destination)
        if targets is None:
            targets = {t.cookie(destination): t for t in self._remembered.values()}
            self._by_cookie[destination] = targets
        return targets.get(cookie)

    def of_service(self, service: str) -> tuple[LiveTarget, ...]:
        """Return the targets of a service, including remembered unlisted ones."""
        if self._services_stale:
            self._index_services()
        return self._by_service.get(service, ())

    def of_domain(self, service: str, domain: str) -> tuple[LiveTarget, ...]:
        """Return the targets of a service in one domain, unlisted ones included."""
        if self._services_stale:
            self._index_services()
        return self._by_domain.get((service, domain), ())

    def domains(self, service: str) -> tuple[str, ...]:
        """Return the domains that have targets of a service."""
        if self._services_stale:
            self._index_services()
        return self._domains.get(service, ())

    def put(self, report: Report, now: float) -> LiveTarget:
        """Add or update a target from its report; return its state here."""
        start = (report.name, report.incarnation)
        known = self._remembered.get(start)
        if known is not None:
            known.update(report, now)
        else:
            known = self._remembered[start] = LiveTarget(report, now)
            for destination, targets in self._by_cookie.items():
                targets[known.cookie(destination)] = known
        earlier = self._listed.get(known.name)
        if earlier is not None and earlier is not known:
            self._unlist(earlier, now)
        self._listed[known.name] = known
        self._gone.discard(known)
        self._services_stale = True
        return known

    def remove(self, name: str, now: float) -> LiveTarget | None:
        """Unlist a target; its cookie is remembered for `GONE_TARGET_TTL_S`."""
        target = self._listed.pop(name, None)
        if target is not None:
            self._unlist(target, now)
        return target

    def retain(self, names: Iterable[str], now: float) -> list[LiveTarget]:
        """Unlist all targets except these; return the unlisted ones."""
        gone = self._listed.keys() - set(names)
        return [self.remove(name, now) for name in gone]

    def forget(self, now: float) -> None:
        """Drop targets that were unlisted longer than `GONE_TARGET_TTL_S` ago."""
        for start, target in list(self._remembered.items()):
            if not target.listed and now - target.unlisted_at > GONE_TARGET_TTL_S:
                del self._remembered[start]
                self._gone.discard(target)
                self._by_cookie.clear()
                self._services_stale = True

    def forget_destinations(self, destinations: Iterable[bytes]) -> None:
        """Drop the cookies of destinations that are no longer routed."""
        for destination in destinations:
            self._by_cookie.pop(destination, None)
            for target in self._remembered.values():
                target.cookies.pop(destination, None)

    def _unlist(self, target: LiveTarget, now: float) -> None:
        target.listed = False
        self._gone.add(target)
        target.unlisted_at = now
        self._services_stale = True

    def _index_services(self) -> None:
        services: dict[str, list[LiveTarget]] = {}
        domains: dict[tuple[str, str], list[LiveTarget]] = {}
        for target in self._remembered.values():
            services.setdefault(target.service, []).append(target)
            domains.setdefault((target.service, target.domain), []).append(target)
        self._by_service = {name: tuple(each) for name, each in services.items()}
        self._by_domain = {pair: tuple(each) for pair, each in domains.items()}
        self._domains = {
            service: tuple(domain for name, domain in domains if name == service)
            for service in services
        }
        self._services_stale = False
