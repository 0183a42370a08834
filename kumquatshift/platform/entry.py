"""Entry process for the users' platform: wires all components together."""

from __future__ import annotations

import gc
import os
import signal
import socket
from collections import deque
from typing import TYPE_CHECKING

from ..adapters.epoll import EpollReactor
from ..adapters.http_server import PageResponse, PageServer
from ..direct.events import Event
from ..direct.feed import Feed, FeedTiming
from ..direct.lifecycle import Lifecycle
from ..direct.placement import Placement
from ..direct.settings import DirectSettings, SettingsError
from ..direct.site import Site
from ..direct.steering import Steering
from ..direct.warmup import Warmup
from ..eventlog import EventLog
from . import objects
from .feed_listeners import feed_listeners
from .packets import flow_text
from .port import PacketPort
from .store import StoreReader

if TYPE_CHECKING:
    from ..adapters.entry_metrics import EntryMetrics
    from ..adapters.peer_service import PeerService

# Delay before contacting peers, so that packets queued during startup are forwarded
# first.
PEERING_DELAY_S = 0.2

# Peers are contacted after this time at the latest, since an entry that cannot
# reach the store depends on them.
PEERING_DEADLINE_S = 1.0

READY_PATH = b"/api/ready"
METRICS_PATH = b"/metrics"
DUMP_PATH = b"/dump"

# Event loop delay samples kept until metrics are next collected, one per second.
MAX_DELAY_SAMPLES = 600

SWEEP_INTERVAL_S = 1.0

# How often flows of ended targets are reset. Callers of idle flows send their next
# request within about a second, and should get the reset before that.
LOST_FLOWS_INTERVAL_S = 0.1
STOP_CHECK_INTERVAL_S = 0.1


class Entry:
    """One entry with all its components, from settings to sockets."""

    def __init__(
        self,
        settings: DirectSettings,
        settings_path: str,
        sock: socket.socket,
        reactor: EpollReactor,
    ):
        self._settings = settings
        self._settings_path = settings_path
        self._settings_version = _file_version(settings_path)
        self._reactor = reactor
        self._log = EventLog(reactor, settings.name, flow_text)
        reactor.on_error = self._log_error
        bounds = settings.bounds
        warmup = Warmup(bounds.warmup, settings.domain)
        placement = Placement(settings.domain, warmup)
        self._site = Site(placement, self._log)
        self._steering = Steering(
            self._site.routes, self._site.targets, placement, self._log
        )
        self._lifecycle = Lifecycle(bounds.stop_s)
        self._was_ready = False
        self._metrics: EntryMetrics | None = None
        self._loop_delays: deque[float] = deque(maxlen=MAX_DELAY_SAMPLES)
        self._sweep_due = reactor.seconds() + SWEEP_INTERVAL_S
        self._readers: dict[str, StoreReader] = {}
        self._feeds: dict[str, Feed] = {}
        self._warmup = warmup
        self._peering: PeerService | None = None
        self._port = PacketPort(reactor, sock, self._steering, self._log)
        self._accepts_packets = False

    def start(self) -> None:
        """Open all ports and start reading the store."""
        pages = {
            READY_PATH: self._ready_page,
            METRICS_PATH: lambda query: PageResponse(
                200, self._load_metrics().metrics_page()
            ),
            DUMP_PATH: lambda query: PageResponse(
                200, self._load_metrics().dump_page()
            ),
        }
        PageServer(self._reactor, self._settings.readiness, pages)
        host, _ = self._settings.readiness
        try:
            PageServer(self._reactor, (host, self._settings.metrics_port), pages)
        except OSError as exc:
            # The same pages are on the readiness port.
            port = self._settings.metrics_port
            self._log.emit(Event.METRICS_PORT_TAKEN, port=port, error=str(exc))
        self._read_store()
        self._reactor.callLater(PEERING_DEADLINE_S, self._start_peering)
        self._reactor.on_signal(signal.SIGTERM, self._stop)
        self._reactor.on_signal(signal.SIGINT, self._stop)
        self._reactor.on_signal(signal.SIGHUP, self._reload)
        self._reactor.callLater(SWEEP_INTERVAL_S, self._sweep)
        self._reactor.callLater(LOST_FLOWS_INTERVAL_S, self._end_lost_flows)
        self._log.emit(Event.STARTED, domain=self._settings.domain)

    def _read_store(self) -> None:
        bounds = self._settings.bounds
        shortest_s = min(bounds.drain_s, bounds.config_s, bounds.evacuate_s)
        self._timing = FeedTiming.from_bounds(bounds.stable_window_s, shortest_s)
        for kind, listener in feed_listeners(self._site, self._log).items():
            feed = self._feeds[kind] = Feed(kind, self._timing, listener, self._log)
            feed.on_update = self._announce_update
            reader = StoreReader(self._reactor, self._settings.store, feed)
            self._readers[kind] = reader
            reader.start()
        self._steering.targets_known_until = self._feeds[objects.TARGETS].known_until
        config = self._feeds[objects.CONFIGURATIONS]
        self._steering.knows_all_routes = lambda now: config.is_current

    def _start_peering(self) -> None:
        """Start exchanging heartbeats with peers, and read updates from them."""
        if self._peering is None:
            from .peering import start_peering  # noqa: PLC0415 (not needed to forward)

            self._peering = start_peering(
                self._reactor,
                self._settings,
                self._steering.failure_detector,
                self._feeds,
                self._warmup,
                self._lifecycle,
                self._log,
            )
        self._peering.follow(self._feeds, self._readers, self._timing)

    def _announce_update(self) -> None:
        """Announce new revisions to peers; accept packets once the site is known."""
        if self._peering is not None:
            self._peering.announce_changes()
        if self._site.is_known and not self._accepts_packets:
            self._accepts_packets = True
            self._port.open()
            self._reactor.callLater(PEERING_DELAY_S, self._start_peering)

    def _ready_page(self, query: bytes) -> PageResponse:
        ready = self._site.is_known and not self._lifecycle.is_stopping
        if ready != self._was_ready:
            self._was_ready = ready
            self._log.emit(Event.READY if ready else Event.UNREADY)
        return PageResponse(200 if ready else 503)

    def _load_metrics(self) -> EntryMetrics:
        """Return metrics and dump pages; imports their dependencies on first use."""
        if self._metrics is None:
            from ..adapters import entry_metrics  # noqa: PLC0415 (see its module)

            sources = entry_metrics.MetricSources(
                name=self._settings.name,
                site=self._site,
                steering=self._steering,
                log=self._log,
                feeds=self._feeds,
                drops=self._port.drops,
                refusals=self._port.refusals,
                store_outcomes=self._store_outcomes,
                drain_times=lambda: {
                    entry_metrics.ANSWERS: _drain(self._steering.answer_latencies),
                    entry_metrics.LOOP_DELAY: _drain(self._loop_delays),
                    entry_metrics.STORE_LISTS: [
                        each
                        for reader in self._readers.values()
                        for each in _drain(reader.call_latencies)
                    ],
                },
                is_ready=lambda: self._was_ready,
                members=self._member_names,
            )
            self._metrics = entry_metrics.EntryMetrics(self._reactor, sources)
        return self._metrics

    def _store_outcomes(self) -> dict[str, int]:
        total: dict[str, int] = {}
        for reader in self._readers.values():
            for outcome, count in reader.outcomes.items():
                total[outcome] = total.get(outcome, 0) + count
        return total

    def _member_names(self) -> list[str]:
        if self._peering is None:
            return [self._settings.name]
        return self._peering.names()

    def _sweep(self) -> None:
        now = self._reactor.seconds()
        self._loop_delays.append(max(0.0, now - self._sweep_due))
        self._sweep_due = now + SWEEP_INTERVAL_S
        self._reactor.callLater(SWEEP_INTERVAL_S, self._sweep)
        self._steering.expire(self._reactor.seconds())
        self._log.flush()
        if _file_version(self._settings_path) != self._settings_version:
            self._reload()

    def _end_lost_flows(self) -> None:
        self._reactor.callLater(LOST_FLOWS_INTERVAL_S, self._end_lost_flows)
        self._port.end_lost_flows()

    def _reload(self) -> None:
        self._settings_version = _file_version(self._settings_path)
        try:
            settings = DirectSettings.load(self._settings_path)
        except SettingsError as exc:
            self._log.emit(Event.SETTINGS_REJECTED, problems=exc.problems)
            return
        changed = settings != self._settings
        self._log.emit(Event.SETTINGS_RELOADED, changed=changed)
        if settings.store != self._settings.store:
            self._settings = settings
            for reader in self._readers.values():
                reader.stop()
            self._readers = {}
            self._read_store()
            self._start_peering()
        self._settings = settings

    def _log_error(self, exc: BaseException) -> None:
        frames, tb = [], exc.__traceback__
        while tb is not None:
            frames.append(f"{tb.tb_frame.f_code.co_qualname}:{tb.tb_lineno}")
            tb = tb.tb_next
        self._log.emit(Event.INTERNAL_ERROR, error=repr(exc), calls=frames)

    def _stop(self) -> None:
        if not self._lifecycle.is_stopping:
            self._log.emit(Event.STOPPING, flows=len(self._steering.flows))
            self._lifecycle.begin_stop(self._reactor.seconds())
            if self._peering is not None:
                self._peering.send_heartbeat_now()
            self._check_stop()

    def _check_stop(self) -> None:
        now = self._reactor.seconds()
        if self._lifecycle.may_end(self._port.last_packet_at, now):
            self._log.emit(Event.STOPPED, packets=self._port.packets)
            self._reactor.stop()
            return
        self._reactor.callLater(STOP_CHECK_INTERVAL_S, self._check_stop)


def run(settings: DirectSettings, settings_path: str, sock: socket.socket) -> None:
    """Run an entry on its open packet socket until it is stopped."""
    reactor = EpollReactor()
    Entry(settings, settings_path, sock, reactor).start()
    gc.freeze()
    gc.enable()
    reactor.run()


def _drain(times: deque[float]) -> list[float]:
    """Return the collected samples and clear them."""
    samples = list(times)
    times.clear()
    return samples


def _file_version(path: str) -> tuple[float, int]:
    """Return the modification time and size, to detect changes of a file."""
    try:
        status = os.stat(path)
    except OSError:
        return 0.0, 0
    return status.st_mtime, status.st_size
