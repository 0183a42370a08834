"""Carry out what an entry's engine decides, on the network."""

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
from .datagrams import PacketPort, PeerPort, Sealing
from .envelope import encode
from .watcher import PlatformWatch, VmPoller

MERGE_DELAY_S = 0.01
QUIET_S = 1.0
DRAIN_CHECK_S = 0.2
ENTRY_ROLE = "entry"

log = logger_for(Part.ENTRY)


class EntryDriver:
    """One entry's engine on real ports; also what its admin port shows."""

    def __init__(
        self,
        cfg: EntrySettings,
        engine: EntryEngine,
        reactor,
        sealer: Sealing,
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
        self._limited = RateLimited(logger_for(Part.PACKETS), reactor)
        self._calls_limited = RateLimited(logger_for(Part.CONTROL), reactor)
        self._packets = PacketPort(
            cfg.fabric.allowed_sources, self._take_packet, self._refuse
        )
        self._peers = PeerPort(sealer, self._take_message, self._refuse)
        self._watch: PlatformWatch | None = None
        self._poller: VmPoller | None = None
        self._arrived: list[Versioned] = []
        self._syncing: set[str] = set()
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = reactor
        self._request_ticker = task.LoopingCall(self._request_tick)
        self._request_ticker.clock = reactor
        self._show_gauges()

    def start(self) -> None:
        """Open the UDP ports and begin to take part."""
        entry = self._cfg.entry
        listen = self._reactor.listenUDP
        listen(entry.packet_port, self._packets, entry.address, maxPacketSize=65535)
        listen(entry.peer_port, self._peers, entry.address, maxPacketSize=65535)
        self._ticker.start(TICK_S)
        self._request_ticker.start(REQUEST_TICK_S)
        log.info("{} starts in {}.", entry.name, entry.domain)

    def use_platform(self, platform) -> None:
        """Take configuration and VMs from the platform while we are a reader."""
        known = self._engine.node.store.objects
        self._watch = PlatformWatch(platform, self._reactor, self._arrive, known)
        self._poller = VmPoller(platform, self._reactor, self._take_vms)

    def servicer(self) -> ControlServicer:
        """Return what answers the control calls of other entries."""
        return ControlServicer(self._engine.config_since, self._take_message)

    def drain(self) -> Deferred:
        """Leave: hand flows over and go on relaying until nothing comes.

        Fires when done, or when the time allowed for it has passed.
        """
        log.info("{} leaves and hands its flows over.", self._cfg.entry.name)
        self._carry_out(self._engine.leave())
        done = Deferred()
        deadline = self._reactor.seconds() + self._cfg.timers.drain_s
        self._check_drained(done, deadline)
        return done

    def ready(self) -> bool:
        """Whether the fabric should hand packets to this entry."""
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
        """Return the version in force of each object."""
        return self._engine.node.store.versions()

    def _show_gauges(self):
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

    def _take_packet(self, data):
        self._carry_out(self._engine.packet(data))

    def _take_message(self, peer, message):
        self._carry_out(self._engine.message(peer, message))

    def _refuse(self, reason, source):
        self._drops.add(reason)
        self._limited.warning(
            reason, "A datagram from {} was dropped: {}.", source, reason.value
        )

    def _tick(self):
        for profile, seconds in self._engine.latencies():
            self._metrics.record_latency(profile, seconds)
        self._carry_out(self._engine.tick())

    def _request_tick(self):
        self._carry_out(self._engine.request_tick())

    def _carry_out(self, actions: list[Action]) -> None:
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
                self._hold_watch(action.hold)

    def _send_peer(self, peer: str, message: Message) -> None:
        member = self._engine.node.members.members.get(peer)
        if member is None:
            self._drops.add(DropReason.UNKNOWN_PEER)
            return
        leaving = self._engine.node.state is EntryState.LEAVING
        if leaving and isinstance(message, RecordBatch):
            self._hand_over(member.address, message)
            return
        encoded = encode(self._cfg.entry.name, message)
        size = self._peers.send(encoded, member.address, self._cfg.entry.peer_port)
        kind = type(message).__name__
        self._wire_bytes[kind] = self._wire_bytes.get(kind, 0) + size

    def _hand_over(self, address, batch):
        call = self._control.copy(self._place(address), self._cfg.entry.name, batch)
        self._run_call(call, address)

    def _start_sync(self, peer):
        member = self._engine.node.members.members.get(peer)
        if member is None or peer in self._syncing:
            return
        self._syncing.add(peer)
        self._run_call(self._sync(peer, self._place(member.address)), peer)

    async def _sync(self, peer, place):
        digests = self._engine.node.store.bucket_digests()
        try:
            objects = await self._control.sync(place, digests)
        finally:
            self._syncing.discard(peer)
        self._carry_out(self._engine.objects(objects))

    def _run_call(self, call, peer):
        fut = asyncio.ensure_future(call)
        fut.add_done_callback(lambda done: self._call_ended(done, peer))

    def _call_ended(self, fut, peer):
        if fut.cancelled() or fut.exception() is None:
            return
        exc = fut.exception()
        told = exc.code().name if isinstance(exc, grpc.RpcError) else repr(exc)
        self._calls_limited.warning(peer, "A call to {} failed: {}.", peer, told)

    def _place(self, address):
        return f"{address}:{self._cfg.entry.control_port}"

    def _hold_watch(self, hold):
        if self._watch is not None:
            self._watch.hold(hold)
            self._poller.hold(hold)

    def _arrive(self, obj):
        """Gather objects that come together, so that peers are told once."""
        if not self._arrived:
            self._reactor.callLater(MERGE_DELAY_S, self._merge_arrived)
        self._arrived.append(obj)

    def _merge_arrived(self):
        objects, self._arrived = self._arrived, []
        self._carry_out(self._engine.objects(objects))

    def _take_vms(self, vms: tuple[PlatformVm, ...]) -> None:
        entries = [
            Vm(vm.name, vm.domain, vm.address, vm.state is VmState.LEAVING)
            for vm in vms
            if vm.role == ENTRY_ROLE
        ]
        self._carry_out(self._engine.vms(entries))

    def _check_drained(self, done, deadline):
        now = self._reactor.seconds()
        if self._engine.drained(QUIET_S) or now >= deadline:
            log.info("{} has handed over and ends.", self._cfg.entry.name)
            done.callback(None)
            return
        self._reactor.callLater(DRAIN_CHECK_S, self._check_drained, done, deadline)


def new_incarnation() -> int:
    """Return a number that grows with each start of an entry."""
    return time.time_ns() // 1_000_000
