"""Simulated domain of entries that share store updates, on a fake clock.

Feeds, their calls, members and peer updates use the real code, on simulated
connections to the stand-in of the store. Calls are answered after 4 ms, or fail as the
test selects. Heartbeats are lost with the probability ``loss``.
"""

import random

from twisted.internet.task import Clock

from kumquatshift.adapters.peers import PeerUpdateCodec
from kumquatshift.direct.feed import Feed, FeedTiming
from kumquatshift.direct.members import (
    HEARTBEAT_INTERVAL_S,
    READER_HEARTBEAT_INTERVAL_S,
    Member,
    Members,
    PeerHeartbeat,
)
from kumquatshift.direct.peer_updates import PeerSelector, TransferLimiter
from kumquatshift.platform.store import StoreReader
from kumquatshift.standins.metadata_store import MetadataStore
from tests.support.direct_site import Recorder
from tests.support.simulated_connection import (
    STEP_S,
    STORE_ADDRESS,
    SimulatedConnection,
)

KIND = "servers"


class SuspendableClock:
    """Steady clock of one machine, which stands still while it is suspended."""

    def __init__(self, clock):
        self._clock = clock
        self._suspended_s = 0.0
        self._since = None
        self._due = []

    def seconds(self):
        now = self._clock.seconds() if self._since is None else self._since
        return now - self._suspended_s

    def callLater(self, delay, call, *args):  # noqa: N802
        due_at = self.seconds() + delay

        def fire():
            if self._since is not None:
                self._due.append(fire)
                return
            remaining_s = due_at - self.seconds()
            if remaining_s > STEP_S / 10:
                self._clock.callLater(remaining_s, fire)
            else:
                call(*args)

        return self._clock.callLater(delay, fire)

    def suspend(self):
        self._since = self._clock.seconds()

    def resume(self):
        """Continue; return how long the machine was suspended."""
        gap_s = self._clock.seconds() - self._since
        self._suspended_s += gap_s
        self._since = None
        due, self._due = self._due, []
        for fire in due:
            fire()
        return gap_s


class RecordingListener:
    """Feed listener that records the objects, and losses and restores of the store."""

    def __init__(self, node):
        self.node = node
        self.values = {}
        self.known_at = {}
        self.reverted = False
        self.losses = 0
        self.restores = 0

    def handle_list(self, items, after_loss, now):
        self.losses += after_loss
        self.values = {item.name: item.value for item in items}
        for known in self.values.items():
            self.known_at.setdefault(known, now)
        self.node.announce_changes()

    def handle_change(self, change, now):
        name, value = change.item.name, change.item.value
        if change.is_deleted:
            self.values.pop(name, None)
        else:
            if isinstance(value, int):
                self.reverted |= self.values.get(name, -1) > value
            self.values[name] = value
            self.known_at.setdefault((name, value), now)
        self.node.announce_changes()

    def handle_store_loss(self, now):
        self.losses += 1

    def handle_store_restore(self, now):
        self.restores += 1


class Node:
    """One entry: its feed, the driver of its calls, and its heartbeats."""

    def __init__(self, domain, name):
        self.domain = domain
        self.clock = SuspendableClock(domain.clock)
        self.events = Recorder()
        number = len(domain.nodes) + 1
        self.me = Member(name, "north-a", ("10.0.0.1", number))
        self.members = Members(self.me, (), self.events)
        self.listener = RecordingListener(self)
        timing = domain.timing
        self.feed = Feed(KIND, timing, self.listener, self.events)
        self.feed.follow(self.members, PeerSelector(KIND, timing.fresh_s, self.members))
        self.is_up = True
        self.is_paused = False
        self.own_store_fault = None
        self.calls = []
        self.connections = []
        self.codec = PeerUpdateCodec()
        self.reader = StoreReader(self.clock, STORE_ADDRESS, self.feed, self._connect)
        self.reader.codec = self.codec
        self.long_answers = []
        self.transfer_limiter = TransferLimiter(domain.link_bytes_per_s)
        self._heartbeat_timer = None
        self._announced = None
        self.reader.start()
        self._send()

    def suspend(self):
        """Suspend the machine; its open watch never answers."""
        self.is_paused = True
        self.own_store_fault = "is silent"
        self.clock.suspend()

    def resume(self):
        """Resume the machine; calls from now on are answered."""
        self.is_paused = False
        gap_s = self.clock.resume()
        self.feed.note_suspension(gap_s)
        self.domain.clock.callLater(0.05, setattr, self, "own_store_fault", None)

    def announce_changes(self):
        """Send a heartbeat to the peers early if the feed has changed."""
        if self.feed.changed != self._announced:
            self._announced = self.feed.changed
            if self._heartbeat_timer.active():
                self._heartbeat_timer.cancel()
            self._heartbeat_timer = self.clock.callLater(0.01, self._send)

    def _send(self):
        if not self.is_up:
            return
        if self.is_paused:
            self._heartbeat_timer = self.clock.callLater(0.1, self._send)
            return
        now = self.clock.seconds()
        self.members.expire(now)
        status = self.feed.status(now)
        statuses = (status,) if status else ()
        reaches = self.feed.reaches_store(now)
        heartbeat = PeerHeartbeat(*self.me, 1, False, reaches, statuses, (), ())
        for other in self.domain.nodes:
            if other is not self and not self.domain.rng.random() < self.domain.loss:
                self.clock.callLater(0.001, other.receive_heartbeat, heartbeat)
        wait_s = (
            READER_HEARTBEAT_INTERVAL_S if self.feed.is_reader else HEARTBEAT_INTERVAL_S
        )
        self._heartbeat_timer = self.clock.callLater(wait_s, self._send)

    def receive_heartbeat(self, heartbeat):
        if not self.is_up or self.is_paused:
            return
        self.members.receive_heartbeat(heartbeat, self.clock.seconds())
        for status in heartbeat.statuses:
            if self.feed.lacks(status):
                self.reader.wake(status.changed)

    def silence(self, kinds):
        """Let open connections to the ``store``, to ``peers`` or ``all`` go silent."""
        for conn in self.connections:
            is_to_store = conn.address == STORE_ADDRESS
            if conn.is_open and (kinds == "all" or is_to_store == (kinds == "store")):
                conn.is_silent = True

    def _connect(self, clock, address):
        conn = SimulatedConnection(self, address)
        self.connections.append(conn)
        return conn


class FeedDomain:
    """All entries of one failure domain and their store."""

    def __init__(self, timing=None, seed=3):
        self.clock = Clock()
        self.clock.advance(100)
        self.rng = random.Random(seed)
        self.timing = timing or FeedTiming.from_bounds(4.0, 3.0)
        self.store = MetadataStore()
        self.nodes = []
        self.loss = 0.0
        self.trouble = None
        self.breaks_watches = False
        self.answer_bytes = 300
        self.link_bytes_per_s = 125e6
        self.peer_update_calls = 0
        self.snapshots_sent = 0

    def add(self, count):
        for _ in range(count):
            self.nodes.append(Node(self, f"entry-{len(self.nodes)}"))

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def restore_store(self, copy, away_s=0.0):
        """Let the store be away, and come back from a copy; return what was lost.

        Open watches break then if ``breaks_watches`` is set; else they hang.
        """
        lost = self.values()
        self.store.restore(copy)
        if away_s:
            self.trouble = "refuses"
            self.run(away_s)
            self.trouble = None
        return lost

    def write_again(self, lost):
        """Write what the store has lost once more, in another order."""
        for name in self.values().keys() - lost.keys():
            self.store.delete(KIND, name)
        for name in self.rng.sample(sorted(lost), len(lost)):
            self.store.put(KIND, name, lost[name])

    def values(self):
        """Return the objects of the store by name."""
        return {name: obj["spec"] for (_, name), obj in self.store.objects.items()}

    def silence(self, kinds, share=1.0):
        """Let open connections of a share of the entries fall silent for good."""
        count = round(share * len(self.nodes))
        for node in self.rng.sample(self.nodes, count):
            node.silence(kinds)

    def readers(self):
        return [node for node in self.nodes if node.is_up and node.feed.is_reader]

    def run_until_known(self, name, value, nodes, limit_s):
        """Run until all nodes have the value; return how long that took in seconds."""
        started_at = self.clock.seconds()
        while any(node.listener.values.get(name) != value for node in nodes):
            took_s = self.clock.seconds() - started_at
            assert took_s < limit_s, [
                n.me.name for n in nodes if n.listener.values.get(name) != value
            ]
            self.run(STEP_S)
        return self.clock.seconds() - started_at
