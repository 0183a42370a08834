"""The metrics and dump pages of an entry with direct return.

Imported on the first request for a page: the libraries take longer to import than
the rest of an entry, and forwarding packets needs none of them. Until then counts
are plain integers, and times wait in bounded queues.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass

from ..direct.admission import Admission
from ..direct.events import Event
from ..direct.feed import Feed
from ..direct.site import Site
from ..direct.steering import Steering
from ..eventlog import EventLog
from ..metrics import CounterValues, Metrics, MetricsSnapshot, render_page

ANSWERS = "first-answer"
STORE_LISTS = "store-list"
LOOP_DELAY = "loop-delay"


@dataclass(frozen=True)
class MetricSources:
    """Where an entry's metrics are read from.

    ``store_outcomes`` and ``drain_times`` are called for each page; the latter
    returns each time only once.
    """

    name: str
    site: Site
    steering: Steering
    log: EventLog
    feeds: dict[str, Feed]
    drops: dict
    refusals: dict
    store_outcomes: Callable[[], dict[str, int]]
    drain_times: Callable[[], dict[str, list[float]]]
    is_ready: Callable[[], bool]
    members: Callable[[], list[str]]


class EntryMetrics:
    """Renders the metrics and the state of one entry."""

    def __init__(self, clock, sources: MetricSources):
        self._clock = clock
        self._sources = sources
        self._metrics = Metrics(clock)
        self._add_gauges()

    def metrics_page(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        for name, times in self._sources.drain_times().items():
            for seconds in times:
                self._metrics.record_latency(name, seconds)
        snapshot = self._metrics.snapshot()
        counters = (*self._counters(), *snapshot.counters)
        return render_page(
            MetricsSnapshot(counters, snapshot.gauges, snapshot.latencies)
        ).encode()

    def dump_page(self) -> bytes:
        """Return the whole state as one JSON object."""
        now = self._clock.seconds()
        src = self._sources
        state = {
            "name": src.name,
            "ready": src.is_ready(),
            "members": src.members(),
            "configuration": {
                "version": src.site.routes.version,
                "routes": len(src.site.routes),
            },
            "evacuated": sorted(src.site.placement.evacuated),
            "flows": len(src.steering.flows),
            "limits": _limits_state(src.site.placement.admission),
            "feeds": {kind: _feed_state(feed, now) for kind, feed in src.feeds.items()},
            "targets": {t.name: _target_state(t, now) for t in src.site.targets},
            "events": {event.value: n for event, n in src.log.counts.items() if n},
        }
        return json.dumps(state, indent=1).encode()

    def _counters(self) -> list[CounterValues]:
        src = self._sources
        drops = [(reason.value, n) for reason, n in src.drops.items()]
        refusals = [(reason.value, n) for reason, n in src.refusals.items()]
        events = [(event.value, src.log.counts[event]) for event in Event]
        return [
            CounterValues("kumquatshift_drops_total", "Dropped packets.", tuple(drops)),
            CounterValues(
                "kumquatshift_refusals_total", "Refused flows.", tuple(refusals)
            ),
            CounterValues("kumquatshift_events_total", "Decisions.", tuple(events)),
            CounterValues(
                "kumquatshift_store_calls_total",
                "Calls to the store by outcome.",
                tuple(src.store_outcomes().items()),
            ),
        ]

    def _add_gauges(self) -> None:
        src, add = self._sources, self._metrics.gauge
        targets = src.site.targets
        add("kumquatshift_ready", "1 if packets are taken.", lambda: src.is_ready())
        add("kumquatshift_flows", "Flows seen.", lambda: len(src.steering.flows))
        add(
            "kumquatshift_flows_evicted",
            "Flows forgotten since the table was full.",
            lambda: src.steering.flows.evicted,
        )
        add("kumquatshift_targets", "Targets listed.", lambda: len(targets))
        add(
            "kumquatshift_targets_suspected",
            "Targets that have stopped to answer.",
            lambda: sum(target.suspected for target in targets),
        )
        add(
            "kumquatshift_configuration_version",
            "Version in force.",
            lambda: src.site.routes.version,
        )
        add(
            "kumquatshift_domain_entries",
            "Entries of the domain that are heard, this one included.",
            lambda: len(src.members()),
        )
        add(
            "kumquatshift_log_lines_left_out",
            "Log lines beyond their budget.",
            lambda: src.log.lines_left_out,
        )
        for kind, feed in src.feeds.items():
            add(
                f"kumquatshift_{kind}_age_seconds",
                "Since the store last confirmed what is known.",
                lambda feed=feed: self._clock.seconds() - feed.confirmed_at,
            )
            add(
                f"kumquatshift_{kind}_era",
                "Era of the store from which a kind is known.",
                lambda feed=feed: feed.changed.era,
            )
            add(
                f"kumquatshift_{kind}_revision",
                "Revision of the last change of a kind that is known.",
                lambda feed=feed: feed.changed.number,
            )
            add(
                f"kumquatshift_{kind}_history_changes",
                "Changes of a kind that are kept for peers.",
                lambda feed=feed: feed.history_length(),
            )


def _feed_state(feed: Feed, now: float) -> dict:
    status = feed.status(now)
    return {
        "current": feed.is_current,
        "reader": feed.is_reader,
        "era": status.revision.era if status else None,
        "revision": status.revision.number if status else None,
        "age_s": status.age_s if status else None,
        "history_changes": feed.history_length(),
    }


def _limits_state(admission: Admission) -> dict[str, float]:
    """Return the limits of requests in progress per slot."""
    return {
        f"{service} in {domain}": round(limit, 3)
        for (service, domain), limit in admission.limits().items()
    }


def _target_state(target, now: float) -> dict:
    return {
        "service": target.service,
        "domain": target.domain,
        "draining": target.draining,
        "cold_s": round(max(0.0, target.cold_until - now), 3),
        "suspected": target.suspected,
        "complaints": target.complaints,
        "answered_s_ago": round(now - target.last_answer_at, 3),
        "flows": target.flows,
        "busy": target.busy,
    }
