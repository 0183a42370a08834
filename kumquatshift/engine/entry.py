"""The decisions of one entry: events in, actions out.

The object does no I/O and reads no clock but the one that it was given, so the
same code runs in the programs, under a paused clock, and in a bench::

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
PAUSE_S = 1.5
JOIN_S = 2.5
MAX_JOIN_S = 5.0
READERS_PER_DOMAIN = 2


@dataclass(frozen=True)
class EntryConfig:
    """What an entry's engine is made from."""

    me: Vm
    peers: tuple[Vm, ...] = ()
    timers: MemberTimers = MemberTimers()
    limits: Limits = Limits()


class EntryEngine:
    """One entry of the system."""

    def __init__(self, node: Node):
        self.node = node
        self._requests = RequestRouter(node)
        self._router = Router(node, self._requests)
        self._sweeper = Sweeper(node)
        self._sequence = 0
        self._started_at = node.clock.seconds()
        self._last_event = self._started_at
        self._next_beat = self._started_at
        self._resume_until = 0.0
        self.watching = False
        self._last_packet = self._started_at

    @classmethod
    def from_config(
        cls, cfg: EntryConfig, clock: Clock, rng: Randomness, incarnation: int
    ) -> "EntryEngine":
        """Make an engine; ``incarnation`` must grow with each start of an entry."""
        node = Node(cfg.me, incarnation, clock, rng, cfg.timers, cfg.limits)
        engine = cls(node)
        node.members.list_vms(cfg.peers, clock.seconds())
        return engine

    @property
    def ready(self) -> bool:
        """Whether the fabric should hand packets to this entry."""
        node = self.node
        serving = node.state is EntryState.LIVE and not node.resuming
        return serving and node.store.domain_in(node.me.domain)

    def packet(self, data: bytes) -> list[Action]:
        """Take a packet from the fabric."""
        now = self._advance()
        self._last_packet = now
        return self._router.packet(data, now)

    def message(self, peer: str, message: Message) -> list[Action]:
        """Take an authentic message from another entry."""
        now = self._advance()
        if isinstance(message, Relay):
            return self._router.relay(message, now)
        if isinstance(message, RecordBatch):
            return self._router.records(peer, message, now)
        return self._heartbeat(message, now)

    def objects(self, objects: Iterable[Versioned]) -> list[Action]:
        """Take configuration objects, from the platform or from a peer."""
        now = self._advance()
        before = self._domains_in()
        news = self.node.store.merge(objects)
        if not news:
            return []
        self.node.counters["objects-merged"] += len(news)
        self._note_targets(before, now)
        actions = self._requests.configure(now)
        self._refresh_ring(now)
        return actions + self._beats(now)

    def vms(self, vms: Iterable[Vm]) -> list[Action]:
        """Take the platform's list of VMs, which may lag or be wrong."""
        now = self._advance()
        self.node.members.list_vms(vms, now)
        return []

    def tick(self) -> list[Action]:
        """Do what is due; to be called every `TICK_S` seconds."""
        now = self._advance()
        self._finish_joining(now)
        self._finish_resuming(now)
        self._refresh_ring(now)
        actions = self._requests.tick(now)
        actions += self._sweeper.step(now)
        actions += self._watch()
        if now >= self._next_beat:
            actions += self._beats(now)
        return actions

    def request_tick(self) -> list[Action]:
        """Do what waiting requests need; to be called every `REQUEST_TICK_S`."""
        return self._requests.tick(self._advance())

    def leave(self) -> list[Action]:
        """Start to leave: hand over what is held, and take no new part."""
        now = self._advance()
        self.node.state = EntryState.LEAVING
        self._refresh_ring(now)
        return self._beats(now)

    def drained(self, quiet_s: float) -> bool:
        """Whether a leaving entry has handed over and gets no more packets."""
        if self.node.state is not EntryState.LEAVING:
            return False
        handed_over = self._sweeper.passes_since_change > 0
        now = self.node.clock.seconds()
        return handed_over and now - self._last_packet > quiet_s

    @property
    def quiet_time_over(self) -> dict[str, bool]:
        """For each request service, whether we know which requests are new."""
        return self._requests.quiet_times_over(self.node.clock.seconds())

    def latencies(self) -> list[tuple[str, float]]:
        """Return profile and seconds of each request answered since the last call."""
        return self._requests.latencies()

    def counters(self) -> dict[str, int]:
        """Return what was counted, by cause."""
        return dict(self.node.counters) | self._requests.counts

    def config_since(self, digests: tuple[int, ...]) -> list[Versioned]:
        """Return what a peer lacks whose bucket digests are given."""
        return self.node.store.differing(digests)

    def _advance(self):
        """Return the time; notice a gap in which this process did not run."""
        now = self.node.clock.seconds()
        gap_s = now - self._last_event
        self._last_event = now
        if gap_s > PAUSE_S:
            self._resume(now, gap_s)
        return now

    def _resume(self, now, gap_s):
        """Doubt all that was known before a pause; others have gone on."""
        node = self.node
        node.counters["resumed"] += 1
        node.resumed_at = now
        node.ring_changed_at = now
        node.resuming = True
        self._resume_until = now + MAX_JOIN_S
        node.members.excuse(gap_s)
        for flow in node.flows.flows.values():
            flow.unanswered = 0

    def _finish_resuming(self, now):
        node = self.node
        if not node.resuming:
            return
        waited_s = now - node.resumed_at
        caught_up = waited_s > node.timers.heartbeat_s + TICK_S and self._in_step(now)
        if caught_up or now > self._resume_until:
            node.resuming = False

    def _finish_joining(self, now):
        node = self.node
        if node.state is not EntryState.JOINING:
            return
        waited_s = now - self._started_at
        has_config = bool(node.store.objects())
        alone = not node.members.members
        in_step = waited_s > JOIN_S and (alone or self._in_step(now))
        if has_config and (in_step or waited_s > MAX_JOIN_S):
            node.state = EntryState.LIVE

    def _in_step(self, now):
        """Tell whether a peer heard from lately has the configuration we have."""
        node = self.node
        return any(
            member.digest == node.store.digest
            for member in node.members.members.values()
            if node.members.alive(member, now) and member.last_heard > self._since()
        )

    def _since(self):
        return max(self._started_at, self.node.resumed_at)

    def _heartbeat(self, beat: Heartbeat, now: float) -> list[Action]:
        node = self.node
        known = node.members.members.get(beat.name)
        is_new = known is None or known.incarnation != beat.incarnation
        was_away = known is not None and not node.members.recent(known, now)
        if not node.members.heard(beat, now):
            return []
        self._refresh_ring(now)
        actions = []
        if is_new or was_away:
            # So that it learns at once that we hear it.
            actions.append(SendPeer(beat.name, self._beat(now)))
        if beat.digest != node.store.digest:
            actions.append(SyncConfig(beat.name))
        return actions

    def _refresh_ring(self, now):
        node = self.node
        if node.state is EntryState.LIVE and node.members.unheard(now):
            # The others go on without us, and what we hold grows old.
            node.resuming = True
            node.resumed_at = now
            self._resume_until = now + MAX_JOIN_S
        include_me = node.state is EntryState.LIVE
        if not node.members.refresh(now, include_me):
            return
        node.ring_changed_at = now
        self._sweeper.ring_changed()
        self._requests.ring_changed()

    def _beats(self, now):
        self._next_beat = now + self.node.timers.heartbeat_s
        beat = self._beat(now)
        return [SendPeer(name, beat) for name in self.node.members.members]

    def _beat(self, now):
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
            node.members.heard_names(now),
        )

    def _watch(self):
        """Hold the platform's watches if we are among the domain's readers."""
        hold = self._is_reader()
        if hold == self.watching:
            return []
        self.watching = hold
        return [WatchPlatform(hold)]

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

    def _domains_in(self):
        domains = self.node.store.domains
        return {name for name in domains if self.node.store.domain_in(name)}

    def _note_targets(self, before, now):
        node = self.node
        first = now - self._started_at < JOIN_S
        node.chooser.observe(node.store.targets, now, warm=first)
        for name in self._domains_in() - before:
            if node.store.get(Kind.DOMAIN, name).version and not first:
                node.chooser.chill(name, node.store.targets, now)
