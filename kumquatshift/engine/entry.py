"""The engine of one entry, which turns events into actions.

The engine does no I/O and reads only the clock that it is given, so the same code
runs in the programs, under a simulated clock, and in a bench::

    engine = EntryEngine.from_config(cfg, clock, random.Random(1), incarnation=1)
    for action in engine.packet(data):
        driver.carry_out(action)
"""

from collections.abc import Iterable
from dataclasses import dataclass

from .actions import Action, SendPeer, SyncConfig, WatchPlatform
from .members import MemberTimers, Vm
from .messages import EntryState, Heartbeat, Message, RecordBatch, Relay
from .node import Limits, Node
from .objects import Kind, Versioned
from .ports import Clock, Randomness
from .request_router import RequestRouter
from .ring import score
from .router import Router
from .sweep import Sweeper

TICK_S = 0.25
REQUEST_TICK_S = 0.05
MIN_PAUSE_S = 1.5
MIN_JOIN_S = 2.5
MAX_JOIN_S = 5.0
READERS_PER_DOMAIN = 2


@dataclass(frozen=True)
class EntryConfig:
    """Configuration of an entry's engine."""

    me: Vm
    peers: tuple[Vm, ...] = ()
    timers: MemberTimers = MemberTimers()
    limits: Limits = Limits()


class EntryEngine:
    """The engine of one entry; each event returns the actions to carry out."""

    def __init__(self, node: Node):
        self.node = node
        self._requests = RequestRouter(node)
        self._router = Router(node, self._requests)
        self._sweeper = Sweeper(node)
        self._sequence = 0
        self._started_at = node.clock.seconds()
        self._last_event = self._started_at
        self._next_heartbeat = self._started_at
        self._resume_until = 0.0
        self.watching = False
        self._last_packet = self._started_at

    @classmethod
    def from_config(
        cls, cfg: EntryConfig, clock: Clock, rng: Randomness, incarnation: int
    ) -> "EntryEngine":
        """Create an engine; ``incarnation`` must grow with each start of an entry."""
        node = Node(cfg.me, incarnation, clock, rng, cfg.timers, cfg.limits)
        engine = cls(node)
        node.members.list_vms(cfg.peers, clock.seconds())
        return engine

    @property
    def ready(self) -> bool:
        """Whether the fabric should send packets to this entry."""
        node = self.node
        serving = node.state is EntryState.LIVE and not node.resuming
        return serving and node.store.domain_in_service(node.me.domain)

    def packet(self, data: bytes) -> list[Action]:
        """Handle a packet from the fabric."""
        now = self._advance()
        self._last_packet = now
        return self._router.packet(data, now)

    def message(self, peer: str, message: Message) -> list[Action]:
        """Handle an authenticated message from another entry."""
        now = self._advance()
        if isinstance(message, Relay):
            return self._router.relay(message, now)
        if isinstance(message, RecordBatch):
            return self._router.records(peer, message, now)
        return self._receive_heartbeat(message, now)

    def objects(self, objects: Iterable[Versioned]) -> list[Action]:
        """Handle configuration objects from the platform or from a peer."""
        now = self._advance()
        before = self._domains_in_service()
        changed = self.node.store.merge(objects)
        if not changed:
            return []
        self.node.counters["objects-merged"] += len(changed)
        self._update_targets(before, now)
        actions = self._requests.configure(now)
        self._refresh_ring(now)
        return actions + self._send_heartbeats(now)

    def vms(self, vms: Iterable[Vm]) -> list[Action]:
        """Handle the platform's list of VMs, which may lag or be wrong."""
        now = self._advance()
        self.node.members.list_vms(vms, now)
        return []

    def tick(self) -> list[Action]:
        """Run the periodic work; to be called every `TICK_S` seconds."""
        now = self._advance()
        self._finish_joining(now)
        self._finish_resuming(now)
        self._refresh_ring(now)
        actions = self._requests.tick(now)
        actions += self._sweeper.step(now)
        actions += self._update_watches()
        if now >= self._next_heartbeat:
            actions += self._send_heartbeats(now)
        return actions

    def request_tick(self) -> list[Action]:
        """Run the timers of waiting requests; to be called every `REQUEST_TICK_S`."""
        return self._requests.tick(self._advance())

    def leave(self) -> list[Action]:
        """Start to leave: hand over the flows held here and leave the ring."""
        now = self._advance()
        self.node.state = EntryState.LEAVING
        self._refresh_ring(now)
        return self._send_heartbeats(now)

    def drained(self, quiet_s: float) -> bool:
        """Return whether this entry is leaving and has nothing left to do.

        That is so once it has handed over its flows and has had no packets for more
        than ``quiet_s``.
        """
        if self.node.state is not EntryState.LEAVING:
            return False
        handed_over = self._sweeper.passes_since_change > 0
        now = self.node.clock.seconds()
        return handed_over and now - self._last_packet > quiet_s

    @property
    def quiet_time_over(self) -> dict[str, bool]:
        """For each request service, whether this entry's quiet time is over.

        After its quiet time, the entry can tell new requests from repeated ones.
        """
        return self._requests.quiet_times_over(self.node.clock.seconds())

    def latencies(self) -> list[tuple[str, float]]:
        """Return profile and latency of each request answered since the last call.

        Latencies are in seconds.
        """
        return self._requests.latencies()

    def counters(self) -> dict[str, int]:
        """Return all event counters by name."""
        return dict(self.node.counters) | self._requests.counts

    def config_since(self, digests: tuple[int, ...]) -> list[Versioned]:
        """Return the objects in which a peer with these bucket digests may differ."""
        return self.node.store.differing(digests)

    def _advance(self):
        """Return the current time; resume first if this process was paused."""
        now = self.node.clock.seconds()
        gap_s = now - self._last_event
        self._last_event = now
        if gap_s > MIN_PAUSE_S:
            self._resume(now, gap_s)
        return now

    def _resume(self, now, gap_s):
        """Distrust the state from before a pause, as the other entries went on."""
        node = self.node
        node.counters["resumed"] += 1
        node.resumed_at = now
        node.ring_changed_at = now
        node.resuming = True
        self._resume_until = now + MAX_JOIN_S
        node.members.discount_pause(gap_s)
        for flow in node.flows.flows.values():
            flow.unanswered = 0

    def _finish_resuming(self, now):
        node = self.node
        if not node.resuming:
            return
        waited_s = now - node.resumed_at
        caught_up = (
            waited_s > node.timers.heartbeat_s + TICK_S and self._config_in_sync(now)
        )
        if caught_up or now > self._resume_until:
            node.resuming = False

    def _finish_joining(self, now):
        node = self.node
        if node.state is not EntryState.JOINING:
            return
        waited_s = now - self._started_at
        has_config = bool(node.store.objects())
        alone = not node.members.members
        in_sync = waited_s > MIN_JOIN_S and (alone or self._config_in_sync(now))
        if has_config and (in_sync or waited_s > MAX_JOIN_S):
            node.state = EntryState.LIVE

    def _config_in_sync(self, now):
        """Return whether some peer has the same configuration as this entry.

        Only peers heard since this entry started or resumed count.
        """
        node = self.node
        return any(
            member.digest == node.store.digest
            for member in node.members.members.values()
            if node.members.alive(member, now)
            and member.last_heard > self._fresh_since()
        )

    def _fresh_since(self):
        return max(self._started_at, self.node.resumed_at)

    def _receive_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[Action]:
        node = self.node
        known = node.members.members.get(heartbeat.name)
        is_new = known is None or known.incarnation != heartbeat.incarnation
        was_away = known is not None and not node.members.is_recently_heard(known, now)
        if not node.members.record_heartbeat(heartbeat, now):
            return []
        self._refresh_ring(now)
        actions = []
        if is_new or was_away:
            # Reply at once, so that the peer learns that its heartbeats arrive.
            actions.append(SendPeer(heartbeat.name, self._make_heartbeat(now)))
        if heartbeat.digest != node.store.digest:
            actions.append(SyncConfig(heartbeat.name))
        return actions

    def _refresh_ring(self, now):
        node = self.node
        if node.state is EntryState.LIVE and node.members.is_unheard_by_peers(now):
            # The others have removed this entry from their rings, so its flow
            # records and configuration become outdated.
            node.resuming = True
            node.resumed_at = now
            self._resume_until = now + MAX_JOIN_S
        include_self = node.state is EntryState.LIVE
        if not node.members.refresh(now, include_self):
            return
        node.ring_changed_at = now
        self._sweeper.ring_changed()
        self._requests.ring_changed()

    def _send_heartbeats(self, now):
        self._next_heartbeat = now + self.node.timers.heartbeat_s
        heartbeat = self._make_heartbeat(now)
        return [SendPeer(name, heartbeat) for name in self.node.members.members]

    def _make_heartbeat(self, now):
        node = self.node
        self._sequence += 1
        return Heartbeat(
            node.name,
            node.me.domain,
            node.members.incarnation,
            self._sequence,
            node.state,
            node.store.digest,
            node.me.address,
            node.members.recently_heard_names(now),
        )

    def _update_watches(self):
        """Watch the platform if this entry is one of its domain's readers."""
        is_reader = self._is_reader()
        if is_reader == self.watching:
            return []
        self.watching = is_reader
        return [WatchPlatform(is_reader)]

    def _is_reader(self):
        node = self.node
        if node.state is EntryState.LEAVING:
            return False
        now = node.clock.seconds()
        members = node.members
        names = [
            member.name
            for member in members.members.values()
            if member.domain == node.me.domain and members.alive(member, now)
        ]
        bucket = 0
        ranked = sorted([*names, node.name], key=lambda name: score(bucket, name))
        return node.name in ranked[:READERS_PER_DOMAIN]

    def _domains_in_service(self):
        domains = self.node.store.domains
        return {name for name in domains if self.node.store.domain_in_service(name)}

    def _update_targets(self, before, now):
        node = self.node
        starting = now - self._started_at < MIN_JOIN_S
        node.chooser.update_targets(node.store.targets, now, warm=starting)
        for name in self._domains_in_service() - before:
            if node.store.get(Kind.DOMAIN, name).version and not starting:
                node.chooser.restart_warm_up(name, node.store.targets, now)
