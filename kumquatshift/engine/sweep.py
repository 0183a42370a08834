"""Walk over the held flows a few at a time: forget the idle, copy the rest.

A flow whose holders have changed is copied to the new ones in the background,
so that flows without packets survive the next failure too. The first of the
earlier holders that is still there sends the copy. Copies are paced by a budget
of bytes a second, except at an entry that leaves. The first pass after a change
of the ring copies only the flows with a single copy left, at a higher pace.
"""

from collections import defaultdict

from .actions import Action, SendPeer
from .flows import STALE_S
from .messages import EntryState, RecordBatch
from .node import BATCH_WIRE_BYTES, RECORD_WIRE_BYTES, Node
from .router import COPIED_IDLE_FACTOR

FLOWS_PER_STEP = 4000
CALM_FLOWS_PER_STEP = 250
CALM_PASS_S = 10.0
RECORDS_PER_BATCH = 40
CLOSE_LINGER_S = 30.0
SPARE_S = 60.0
SCARCE_COPY_FACTOR = 4.0
LEAVING_COPY_BYTES_PER_S = 1_000_000.0
MAX_BURST_S = 1.0


class Sweeper:
    """Expiry and background copy of one entry's flows."""

    def __init__(self, node: Node):
        self._node = node
        self._keys: list[bytes] = []
        self._budget_bytes = 0.0
        self._last_step = node.clock.seconds()
        self.passes_since_change = 0
        self._scarce_only = False
        self._began_settled = False
        self._calm = False
        self._pass_flows = 0

    def step(self, now: float) -> list[Action]:
        """Look at the next few flows; return the copies to send."""
        elapsed_s = now - self._last_step
        self._refill(now)
        copies: dict[tuple[str, int], list] = defaultdict(list)
        for _ in range(self._visits(elapsed_s)):
            if self._budget_bytes <= 0:
                break
            if not self._keys and not (self._start_pass(now) and self._keys):
                break
            self._visit(self._keys.pop(), copies, now)
        return [action for part in copies.items() for action in _batches(*part)]

    def ring_changed(self) -> None:
        """Start over, since any flow may have new holders now."""
        self._scarce_only = True
        self._began_settled = False
        self._calm = False
        self._keys = list(self._node.flows.flows)
        self.passes_since_change = -1

    def _refill(self, now):
        rate = self._node.limits.copy_bytes_per_s
        if self._scarce_only:
            rate *= SCARCE_COPY_FACTOR
        if self._node.state is EntryState.LEAVING:
            rate = LEAVING_COPY_BYTES_PER_S
        elapsed_s = now - self._last_step
        self._last_step = now
        earned = self._budget_bytes + rate * elapsed_s
        self._budget_bytes = min(rate * MAX_BURST_S, earned)

    def _visits(self, elapsed_s):
        """Return how many flows to look at; a calm pass takes `CALM_PASS_S`."""
        if not self._calm or self._node.state is EntryState.LEAVING:
            return FLOWS_PER_STEP
        share = int(self._pass_flows * elapsed_s / CALM_PASS_S)
        return min(FLOWS_PER_STEP, max(CALM_FLOWS_PER_STEP, share))

    def _start_pass(self, now):
        """Begin the next pass; the steps of a full one begin with the next tick.

        After a full pass that began with a settled ring every flow is where it
        belongs, and only expiry is left to look for.
        """
        again = self._scarce_only
        self._calm = self._began_settled
        self._began_settled = self._node.settled(now)
        self._scarce_only = False
        self.passes_since_change += 1
        self._keys = list(self._node.flows.flows)
        self._pass_flows = len(self._keys)
        return again

    def _visit(self, key, copies, now):
        flow = self._node.flows.get(key)
        if flow is None:
            return
        if self._expired(flow, now):
            self._node.flows.remove(key)
            return
        holders = self._node.members.ring.holders(flow.bucket)
        if flow.holders == holders or not holders:
            return
        if self._scarce_only and self._copies_left(flow) > 1:
            return
        if self._sends_copy(flow.holders):
            self._copy(flow, holders, copies)
        elif not self._node.settled(now):
            # The sender may fail before it gets to this flow.
            return
        flow.holders = holders
        flow.placed_at = STALE_S

    def _copies_left(self, flow):
        present = self._node.members.ring.present
        return sum(holder in present for holder in flow.holders)

    def _sends_copy(self, before):
        """Tell whether we are the first of the earlier holders still there."""
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
        """Tell whether the record was last passed along an entry that was gone.

        A failure is noticed late; a record that travelled in the meantime may
        have got lost on its way to the entries behind the failed one.
        """
        timers = self._node.timers
        notice_s = timers.suspect_s + timers.heartbeat_s
        return flow.placed_at > self._node.ring_changed_at - notice_s

    def _expired(self, flow, now):
        node = self._node
        idle_s = now - flow.last_seen
        if flow.closing:
            return idle_s > CLOSE_LINGER_S
        holders = node.members.ring.holders(flow.bucket)
        names = [holder.name for holder in holders]
        if node.name not in names and idle_s > SPARE_S and flow.holders == holders:
            return True
        key = flow.record.key
        view = node.store.by_address.get(key[4:8] + key[10:13])
        if view is None or view.created != flow.record.service:
            return True
        limit_s = view.profile.idle_timeout_s
        if names[:1] != [node.name]:
            limit_s *= COPIED_IDLE_FACTOR
        return idle_s > limit_s


def _batches(place, records):
    peer, _service = place
    return [
        SendPeer(peer, RecordBatch(tuple(records[start : start + RECORDS_PER_BATCH])))
        for start in range(0, len(records), RECORDS_PER_BATCH)
    ]
