"""Expire idle flows and replicate the others in the background, in small steps.

When a flow's holders change, its record is copied to the new holders in the
background, so that flows without packets survive the next failure too. The first
previous holder that is still in the ring sends the copy. Copying is rate-limited
in bytes per second; an entry that leaves uses a much higher limit. The first pass
after a ring change copies only flows with a single copy left, at a higher rate.
"""

from collections import defaultdict

from .actions import Action, SendPeer
from .flows import STALE_S
from .messages import EntryState, RecordBatch
from .node import BATCH_WIRE_BYTES, RECORD_WIRE_BYTES, Node
from .router import STANDBY_IDLE_FACTOR

FLOWS_PER_STEP = 4000
MIN_EXPIRY_FLOWS_PER_STEP = 250
EXPIRY_PASS_S = 10.0
RECORDS_PER_BATCH = 40
CLOSE_LINGER_S = 30.0
SURPLUS_COPY_IDLE_TIMEOUT_S = 60.0
SINGLE_COPY_RATE_FACTOR = 4.0
LEAVING_COPY_BYTES_PER_S = 1_000_000.0
MAX_COPY_BURST_S = 1.0


class Sweeper:
    """Expires and replicates the flows of one entry."""

    def __init__(self, node: Node):
        self._node = node
        self._keys: list[bytes] = []
        self._budget_bytes = 0.0
        self._last_step = node.clock.seconds()
        self.passes_since_change = 0
        self._single_copies_only = False
        self._pass_began_settled = False
        self._only_expiry_left = False
        self._pass_flows = 0

    def step(self, now: float) -> list[Action]:
        """Process the next few flows; return the copies to send."""
        elapsed_s = now - self._last_step
        self._refill(now)
        copies: dict[tuple[str, int], list] = defaultdict(list)
        for _ in range(self._flows_this_step(elapsed_s)):
            if self._budget_bytes <= 0:
                break
            if not self._keys and not (self._start_pass(now) and self._keys):
                break
            self._process(self._keys.pop(), copies, now)
        return [action for part in copies.items() for action in _batches(*part)]

    def ring_changed(self) -> None:
        """Restart the pass, since any flow may have new holders."""
        self._single_copies_only = True
        self._pass_began_settled = False
        self._only_expiry_left = False
        self._keys = list(self._node.flows.flows)
        self.passes_since_change = -1

    def _refill(self, now):
        rate = self._node.limits.copy_bytes_per_s
        if self._single_copies_only:
            rate *= SINGLE_COPY_RATE_FACTOR
        if self._node.state is EntryState.LEAVING:
            rate = LEAVING_COPY_BYTES_PER_S
        elapsed_s = now - self._last_step
        self._last_step = now
        available = self._budget_bytes + rate * elapsed_s
        self._budget_bytes = min(rate * MAX_COPY_BURST_S, available)

    def _flows_this_step(self, elapsed_s):
        """Return how many flows to process; an expiry pass takes `EXPIRY_PASS_S`."""
        if not self._only_expiry_left or self._node.state is EntryState.LEAVING:
            return FLOWS_PER_STEP
        share = int(self._pass_flows * elapsed_s / EXPIRY_PASS_S)
        return min(FLOWS_PER_STEP, max(MIN_EXPIRY_FLOWS_PER_STEP, share))

    def _start_pass(self, now):
        """Start the next pass; return whether it starts within this step.

        A full pass follows a pass over single copies at once, and another full pass
        at the next tick. After a full pass that began with a settled ring, every
        flow is on its current holders, and later passes only expire flows.
        """
        starts_now = self._single_copies_only
        self._only_expiry_left = self._pass_began_settled
        self._pass_began_settled = self._node.settled(now)
        self._single_copies_only = False
        self.passes_since_change += 1
        self._keys = list(self._node.flows.flows)
        self._pass_flows = len(self._keys)
        return starts_now

    def _process(self, key, copies, now):
        flow = self._node.flows.get(key)
        if flow is None:
            return
        if self._expired(flow, now):
            self._node.flows.remove(key)
            return
        holders = self._node.members.ring.holders(flow.bucket)
        if flow.holders == holders or not holders:
            return
        if self._single_copies_only and self._remaining_copies(flow) > 1:
            return
        if self._sends_copy(flow.holders):
            self._copy(flow, holders, copies)
        elif not self._node.settled(now):
            # Check the flow again: the entry that sends its copy may fail first.
            return
        flow.holders = holders
        flow.replicated_at = STALE_S

    def _remaining_copies(self, flow):
        present = self._node.members.ring.present
        return sum(holder in present for holder in flow.holders)

    def _sends_copy(self, before):
        """Return whether this entry is the first previous holder still in the ring."""
        node = self._node
        for holder in before:
            if holder.name == node.name:
                return True
            if holder in node.members.ring.present:
                return False
        return True

    def _copy(self, flow, holders, copies):
        known = () if self._may_be_lost(flow) else flow.holders
        for holder in holders:
            if holder.name == self._node.name or holder in known:
                continue
            batch = copies[holder.name, flow.record.service]
            if not batch:
                self._budget_bytes -= BATCH_WIRE_BYTES
            batch.append(flow.record)
            self._budget_bytes -= RECORD_WIRE_BYTES

    def _may_be_lost(self, flow):
        """Return whether the last replication may have gone through a failed entry.

        Failures are detected with a delay. A record replicated in the meantime may
        not have reached the entries after the failed one on its path.
        """
        timers = self._node.timers
        detection_s = timers.suspect_s + timers.heartbeat_s
        return flow.replicated_at > self._node.ring_changed_at - detection_s

    def _expired(self, flow, now):
        node = self._node
        idle_s = now - flow.last_seen
        if flow.closing:
            return idle_s > CLOSE_LINGER_S
        holders = node.members.ring.holders(flow.bucket)
        names = [holder.name for holder in holders]
        if (
            node.name not in names
            and idle_s > SURPLUS_COPY_IDLE_TIMEOUT_S
            and flow.holders == holders
        ):
            return True
        key = flow.record.key
        view = node.store.by_address.get(key[4:8] + key[10:13])
        if view is None or view.created != flow.record.service:
            return True
        limit_s = view.profile.idle_timeout_s
        if names[:1] != [node.name]:
            limit_s *= STANDBY_IDLE_FACTOR
        return idle_s > limit_s


def _batches(destination, records):
    peer, _service = destination
    return [
        SendPeer(peer, RecordBatch(tuple(records[start : start + RECORDS_PER_BATCH])))
        for start in range(0, len(records), RECORDS_PER_BATCH)
    ]
