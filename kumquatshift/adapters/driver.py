"""Runs the engine of an entry on real sockets and timers."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import asdict

import grpc
from twisted.internet import task
from twisted.internet.defer import Deferred

from ..engine.actions import (
    Action,
    Drop,
    DropReason,
    SendCaller,
    SendPeer,
    SendTarget,
    SyncConfig,
    WatchPlatform,
)
from ..engine.dump import dump
from ..engine.entry import REQUEST_TICK_S, TICK_S, EntryEngine
from ..engine.members import Vm
from ..engine.messages import EntryState, Message, RecordBatch
from ..engine.objects import Versioned
from ..logs import Part, RateLimited, logger_for
from ..metrics import Metrics
from ..platform_port import Vm as PlatformVm, VmState
from ..settings import EntrySettings
from .control import ControlClient, ControlServicer
from .datagrams import DatagramSealer, PacketPort, PeerPort
from .envelope import encode
from .watcher import PlatformWatch, VmPoller

COALESCE_S = 0.01
DRAIN_QUIET_S = 1.0
DRAIN_CHECK_S = 0.2
ENTRY_ROLE = "entry"

log = logger_for(Part.ENTRY)


class EntryDriver:
    """Executes the actions of an entry's engine, and feeds it with events.

    It is also the source of the pages of the admin port.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        engine: EntryEngine,
        reactor,
        sealer: DatagramSealer,
        control: ControlClient,
    ):
        self._cfg = cfg
        self._engine = engine
        self._reactor = reactor
        self._control = control
        self._fabric = (cfg.fabric.address, cfg.fabric.packet_port)
        self._metrics = Metrics(reactor)
        self._drops = self._metrics.counter(
            "kumquatshift_drops_total", "Packets that went no further.", DropReason
        )
        self._wire_bytes: dict[str, int] = {}
        self._packet_log = RateLimited(logger_for(Part.PACKETS), reactor)
        self._call_log = RateLimited(logger_for(Part.CONTROL), reactor)
        self._packets = PacketPort(
            cfg.fabric.allowed_sources, self._on_packet, self._record_drop
        )
        self._peers = PeerPort(sealer, self._on_message, self._record_drop)
        self._watch: PlatformWatch | None = None
        self._poller: VmPoller | None = None
        self._collected: list[Versioned] = []
        self._syncing: set[str] = set()
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = reactor
        self._request_ticker = task.LoopingCall(self._request_tick)
        self._request_ticker.clock = reactor
        self._register_gauges()

    def start(self) -> None:
        """Open the UDP ports and start the timers."""
        entry = self._cfg.entry
        listen = self._reactor.listenUDP
        listen(entry.packet_port, self._packets, entry.address, maxPacketSize=65535)
        listen(entry.peer_port, self._peers, entry.address, maxPacketSize=65535)
        self._ticker.start(TICK_S)
        self._request_ticker.start(REQUEST_TICK_S)
        log.info("Entry {} started in domain {}.", entry.name, entry.domain)

    def use_platform(self, platform) -> None:
        """Set the platform from which objects and VMs are read.

        It is read only while the engine asks for it (`WatchPlatform`).
        """
        known = self._engine.node.store.objects
        self._watch = PlatformWatch(
            platform, self._reactor, self._collect_object, known
        )
        self._poller = VmPoller(platform, self._reactor, self._on_vms)

    def servicer(self) -> ControlServicer:
        """Return the gRPC servicer for control calls of other entries."""
        return ControlServicer(self._engine.config_since, self._on_message)

    def drain(self) -> Deferred:
        """Leave: hand flows over, and relay packets until none arrive.

        The result fires when the entry is drained, or after ``drain_s``.
        """
        log.info("Entry {} is leaving; handing over its flows.", self._cfg.entry.name)
        self._execute(self._engine.leave())
        done = Deferred()
        deadline = self._reactor.seconds() + self._cfg.timers.drain_s
        self._check_drained(done, deadline)
        return done

    def ready(self) -> bool:
        """Whether the fabric should send packets to this entry."""
        return self._engine.ready

    def dump(self) -> dict:
        """Return the whole state."""
        state = asdict(dump(self._engine))
        return state | {
            "wire_bytes": dict(sorted(self._wire_bytes.items())),
            "metrics": asdict(self._metrics.snapshot()),
        }

    def metrics(self) -> str:
        """Return the metrics page."""
        return self._metrics.page()

    def versions(self) -> dict[str, int]:
        """Return the current version of each object."""
        return self._engine.node.store.versions()

    def _register_gauges(self):
        node = self._engine.node
        gauges: tuple[tuple[str, str, Callable[[], float]], ...] = (
            ("kumquatshift_flows", "Flows held.", lambda: len(node.flows)),
            (
                "kumquatshift_ring_entries",
                "Entries that take part.",
                lambda: len(node.members.ring.names),
            ),
            (
                "kumquatshift_ready",
                "1 if packets are taken.",
                lambda: float(self._engine.ready),
            ),
        )
        for name, text, read in gauges:
            self._metrics.gauge(name, text, read)

    def _on_packet(self, data):
        self._execute(self._engine.packet(data))

    def _on_message(self, peer, message):
        self._execute(self._engine.message(peer, message))

    def _record_drop(self, reason, source):
        self._drops.add(reason)
        self._packet_log.warning(
            reason, "Dropped a datagram from {}: {}.", source, reason.value
        )

    def _tick(self):
        for profile, seconds in self._engine.latencies():
            self._metrics.record_latency(profile, seconds)
        self._execute(self._engine.tick())

    def _request_tick(self):
        self._execute(self._engine.request_tick())

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            kind = type(action)
            if kind is SendTarget:
                self._packets.transport.write(action.data, (action.host, action.port))
            elif kind is SendPeer:
                self._send_peer(action.peer, action.message)
            elif kind is SendCaller:
                self._packets.transport.write(action.data, self._fabric)
            elif kind is Drop:
                self._drops.add(action.reason)
            elif kind is SyncConfig:
                self._start_sync(action.peer)
            elif kind is WatchPlatform:
                self._set_watch_active(action.hold)

    def _send_peer(self, peer: str, message: Message) -> None:
        member = self._engine.node.members.members.get(peer)
        if member is None:
            self._drops.add(DropReason.UNKNOWN_PEER)
            return
        leaving = self._engine.node.state is EntryState.LEAVING
        if leaving and isinstance(message, RecordBatch):
            self._transfer_records(member.address, message)
            return
        encoded = encode(self._cfg.entry.name, message)
        size = self._peers.send(encoded, member.address, self._cfg.entry.peer_port)
        kind = type(message).__name__
        self._wire_bytes[kind] = self._wire_bytes.get(kind, 0) + size

    def _transfer_records(self, address, batch):
        call = self._control.copy(
            self._control_endpoint(address), self._cfg.entry.name, batch
        )
        self._run_call(call, address)

    def _start_sync(self, peer):
        member = self._engine.node.members.members.get(peer)
        if member is None or peer in self._syncing:
            return
        self._syncing.add(peer)
        self._run_call(self._sync(peer, self._control_endpoint(member.address)), peer)

    async def _sync(self, peer, endpoint):
        digests = self._engine.node.store.bucket_digests()
        try:
            objects = await self._control.sync(endpoint, digests)
        finally:
            self._syncing.discard(peer)
        self._execute(self._engine.objects(objects))

    def _run_call(self, call, peer):
        fut = asyncio.ensure_future(call)
        fut.add_done_callback(lambda done: self._on_call_done(done, peer))

    def _on_call_done(self, fut, peer):
        if fut.cancelled() or fut.exception() is None:
            return
        exc = fut.exception()
        reason_text = exc.code().name if isinstance(exc, grpc.RpcError) else repr(exc)
        self._call_log.warning(
            peer, "Control call to {} failed: {}.", peer, reason_text
        )

    def _control_endpoint(self, address):
        return f"{address}:{self._cfg.entry.control_port}"

    def _set_watch_active(self, active):
        if self._watch is not None:
            self._watch.hold(active)
            self._poller.hold(active)

    def _collect_object(self, obj):
        """Collect objects for a short time, so that peers are notified once."""
        if not self._collected:
            self._reactor.callLater(COALESCE_S, self._merge_collected)
        self._collected.append(obj)

    def _merge_collected(self):
        objects, self._collected = self._collected, []
        self._execute(self._engine.objects(objects))

    def _on_vms(self, vms: tuple[PlatformVm, ...]) -> None:
        entries = [
            Vm(vm.name, vm.domain, vm.address, vm.state is VmState.LEAVING)
            for vm in vms
            if vm.role == ENTRY_ROLE
        ]
        self._execute(self._engine.vms(entries))

    def _check_drained(self, done, deadline):
        now = self._reactor.seconds()
        if self._engine.drained(DRAIN_QUIET_S) or now >= deadline:
            log.info("Entry {} has handed over; exiting.", self._cfg.entry.name)
            done.callback(None)
            return
        self._reactor.callLater(DRAIN_CHECK_S, self._check_drained, done, deadline)


def new_incarnation() -> int:
    """Return a number that increases with each start of an entry."""
    return time.time_ns() // 1_000_000
