"""Route each packet to a target, to the caller, or to another entry.

The flow's primary decides on every packet of a flow. Whenever the flow record has
to be replicated or confirmed, the primary forwards the packet through the standbys:
when the flow opens, after the ring has changed, and every third of the idle
timeout. Records are therefore replicated along with the packets they belong to.
Shortly after a change of the ring, an opening is forwarded through additional
entries, since one of them may hold an earlier record of the flow; the preferred
record found on the path determines the target.
"""

from dataclasses import replace

from .actions import Action, DropReason, SendCaller, SendPeer, SendTarget
from .flows import NEVER_S, STALE_S, prefer
from .messages import Direction, Record, RecordBatch, Relay
from .node import Node
from .packets import (
    PROTOCOL_TCP,
    TCP_FIN,
    TCP_RST,
    TCP_SYN,
    check,
    destination,
    flow_key,
    reverse_key,
    source,
    tcp_flags,
)
from .request_router import RequestRouter
from .resets import reset_caller, reset_target
from .ring import bucket_of
from .silence import SilenceDetector

MAX_LOOKUP_HOPS = 8
MAX_REDIRECTS = 3
TENTATIVE_TIMEOUT_S = 0.25
MAX_REPLICATION_ATTEMPTS = 3
REFRESHES_PER_IDLE_TIMEOUT = 3
# Standbys may see packets of a flow only when its record is refreshed.
STANDBY_IDLE_FACTOR = 1 + 1 / REFRESHES_PER_IDLE_TIMEOUT

_TCP_CHANGES = TCP_SYN | TCP_FIN | TCP_RST


class Router:
    """Routes the packets that one entry receives."""

    def __init__(self, node: Node, requests: RequestRouter):
        self._node = node
        self._requests = requests
        self._silence_detector = SilenceDetector(node)

    def packet(self, data: bytes, now: float) -> list[Action]:
        """Route a packet received from the fabric."""
        node = self._node
        reason = check(data)
        if reason is not None:
            return [node.drop(reason)]
        if node.resuming:
            return [node.drop(DropReason.RESUMING)]
        by_address = node.store.by_address
        view = by_address.get(destination(data))
        if view is not None:
            return self._from_caller(view, data, now)
        view = by_address.get(source(data))
        if view is not None:
            return self._route_answer(view, data, (), now)
        return [node.drop(DropReason.UNKNOWN_SERVICE)]

    def relay(self, relay: Relay, now: float) -> list[Action]:
        """Route a packet that another entry relayed to this one."""
        node = self._node
        data = relay.data
        reason = check(data)
        if reason is not None:
            return [node.drop(reason)]
        if node.resuming:
            return [node.drop(DropReason.RESUMING)]
        if relay.direction is Direction.TO_CALLER:
            view = node.store.by_address.get(source(data))
            return self._route_answer(view, data, relay.visited, now)
        view = node.store.by_address.get(destination(data))
        if view is None:
            return [node.drop(DropReason.UNKNOWN_SERVICE)]
        if relay.record is not None and view.takes_requests:
            return self._requests.adopt_and_relay(relay, view, now)
        if relay.record is not None:
            return self._forward_along_path(relay, view, now)
        return self._redirect(relay, view, now)

    def records(self, peer: str, batch: RecordBatch, now: float) -> list[Action]:
        """Merge replicated records; reply with local ones that are preferred."""
        preferred = []
        for record in batch.records:
            if record.detail:
                self._requests.adopt(record, now)
                continue
            own = self._valid_flow(record.key)
            best = prefer(own and own.record, record)
            if own is not None and best is own.record:
                if _differ(best, record):
                    preferred.append(best)
                continue
            self._store_record(best, now)
        return [SendPeer(peer, RecordBatch(tuple(preferred)))] if preferred else []

    def _from_caller(self, view, data, now):
        node = self._node
        key = flow_key(data)
        flow = node.flows.get(key)
        bucket = bucket_of(key) if flow is None else flow.bucket
        holders = node.members.ring.holders(bucket)
        if not holders:
            return [node.drop(DropReason.DOMAIN_OUT)]
        primary = self._primary(view, holders)
        if primary == node.name:
            return self._decide_as_primary(view, flow, key, holders, data, now)
        # Only the ring's holders are notified of a preferred record, so a surplus
        # copy on any other entry may be outdated.
        standby = any(holder.name == node.name for holder in holders)
        if flow is not None and standby and not _changes_state(data):
            target = node.usable(flow.record, view)
            if target is not None and self._is_current(flow, view, holders, now):
                flow.last_seen = now
                return [self._send(target, data)]
        return [
            SendPeer(primary, Relay(data, Direction.TO_TARGET, "", (), (node.name,)))
        ]

    def _redirect(self, relay, view, now):
        """Decide as the primary, or forward the packet to the primary."""
        node = self._node
        data = relay.data
        key = flow_key(data)
        flow = node.flows.get(key)
        bucket = bucket_of(key) if flow is None else flow.bucket
        holders = node.members.ring.holders(bucket)
        if not holders:
            return [node.drop(DropReason.DOMAIN_OUT)]
        primary = self._primary(view, holders)
        visited = relay.visited
        looped = primary in visited or len(visited) >= MAX_REDIRECTS
        if primary == node.name or looped:
            return self._decide_as_primary(view, flow, key, holders, data, now)
        return [SendPeer(primary, replace(relay, visited=(*visited, node.name)))]

    def _decide_as_primary(self, view, flow, key, holders, data, now):
        """Route a caller's packet as the flow's primary."""
        node = self._node
        if view.takes_requests:
            return self._requests.from_caller(view, data, now)
        if flow is None:
            if _is_mid_connection(data) and node.is_partitioned():
                # An entry across the partition may hold the record. The caller
                # will retransmit.
                return [node.drop(DropReason.NO_RECORD)]
            return self._open(view, key, data, now, epoch=0)
        target = node.usable(flow.record, view)
        if target is None:
            return self._replace_unusable(flow, view, data, now)
        changes = _changes_state(data)
        if flow.closing and changes and tcp_flags(data) & TCP_SYN:
            return self._open(view, key, data, now, flow.record.epoch + 1)
        if not flow.answered and self._opened_towards_unreachable(flow, target, view):
            return self._open(view, key, data, now, flow.record.epoch + 1)
        if self._silence_detector.is_silent(flow, view, now):
            return self._end_silent(flow, view, data, now)
        self._silence_detector.note_packet(flow, now)
        if changes or not self._is_current(flow, view, holders, now):
            return self._replicate(flow, view, data, now)
        flow.last_seen = now
        return [self._send(target, data)]

    def _open(self, view, key, data, now, epoch, avoid=""):
        """Choose a target for a new flow and replicate its record."""
        node = self._node
        usable = [
            target
            for target in node.candidate_targets(view)
            if target.name != avoid and node.has_capacity(target)
        ]
        if len(node.flows) >= node.limits.max_flows:
            usable = []
        target = node.chooser.pick(view, usable, node.flows.held, key, now)
        if target is None:
            return self._refuse(data, DropReason.NO_TARGET)
        born_ms = int(now * 1000)
        tentative = not node.settled(now)
        record = Record(key, target.name, view.created, born_ms, epoch, tentative)
        flow = node.flows.put(record, bucket_of(key), now)
        flow.tentative_until = now + TENTATIVE_TIMEOUT_S
        flow.opened_here = True
        node.counters["opened"] += 1
        self._silence_detector.note_packet(flow, now)
        return self._replicate(flow, view, data, now)

    def _replicate(self, flow, view, data, now):
        """Forward the packet through the standbys, so that they store the record."""
        node = self._node
        ring = node.members.ring
        holders = ring.holders(flow.bucket)
        standbys = tuple(h.name for h in holders if h.name != node.name)
        path = standbys
        if self._is_unconfirmed(flow, now):
            order = ring.order(flow.bucket) + node.members.leaving(now)
            path = tuple(n for n in order if n != node.name)[:MAX_LOOKUP_HOPS]
        self._count_replication(flow, holders)
        self._mark_replicated(flow, holders, data, now)
        if not path:
            return [self._send(node.usable(flow.record, view), data)]
        relay = Relay(
            data,
            Direction.TO_TARGET,
            node.name,
            path[1:],
            (),
            flow.record,
            len(standbys),
        )
        return [SendPeer(path[0], relay)]

    def _forward_along_path(self, relay, view, now):
        """Merge the relayed record with the local one and forward the packet."""
        node = self._node
        carried = relay.record
        if node.usable(carried, view) is None:
            return [node.drop(DropReason.DOMAIN_OUT)]
        own = self._valid_flow(carried.key)
        best = prefer(carried, own and own.record)
        actions = []
        if best is not carried and _differ(best, carried):
            actions = self._notify_holders(relay.primary, best)
        if relay.copies > 0 or own is not None:
            flow = self._store_record(best, now)
            self._mark_replicated(flow, flow.holders, relay.data, now)
            flow.fully_replicated = not relay.path
        found = best is not carried and not best.tentative
        if found or not relay.path:
            target = node.usable(best, view)
            return [*actions, self._send(target, relay.data)]
        copies = max(0, relay.copies - 1)
        forwarded = replace(relay, path=relay.path[1:], record=best, copies=copies)
        return [*actions, SendPeer(relay.path[0], forwarded)]

    def _notify_holders(self, primary, record):
        """Send the preferred record to the holders, which may have a superseded one."""
        node = self._node
        holders = node.members.ring.holders(bucket_of(record.key))
        names = {primary, *(holder.name for holder in holders)} - {node.name}
        batch = RecordBatch((record,))
        return [SendPeer(name, batch) for name in sorted(names)]

    def _route_answer(self, view, data, visited, now):
        """Handle a target's answer as the primary, or forward it to the primary."""
        node = self._node
        key = reverse_key(data)
        flow = node.flows.get(key)
        bucket = bucket_of(key) if flow is None else flow.bucket
        holders = node.members.ring.holders(bucket)
        if not holders or view is None:
            return self._handle_answer(view, flow, data, now)
        primary = self._primary(view, holders)
        looped = primary in visited or len(visited) >= MAX_REDIRECTS
        if primary == node.name or looped:
            return self._handle_answer(view, flow, data, now)
        forwarded = Relay(data, Direction.TO_CALLER, "", (), (*visited, node.name))
        return [SendPeer(primary, forwarded)]

    def _primary(self, view, holders):
        if view.takes_requests:
            return self._requests.primary(view)
        return holders[0].name

    def _handle_answer(self, view, flow, data, now):
        if view is not None and view.takes_requests:
            return self._requests.from_target(data, now)
        if flow is not None:
            flow.last_seen = now
            flow.fully_replicated = True
            flow.opened_here = False
            flow.replication_attempts = 0
            self._silence_detector.note_answer(flow, now)
            if data[9] == PROTOCOL_TCP and tcp_flags(data) & (TCP_FIN | TCP_RST):
                flow.closing = True
        return [SendCaller(data)]

    def _valid_flow(self, key):
        """Return the local flow of this key if its record is still valid, else None."""
        node = self._node
        flow = node.flows.get(key)
        if flow is None:
            return None
        view = node.store.by_address.get(key[4:8] + key[10:13])
        if view is None or node.usable(flow.record, view) is None:
            return None
        return flow

    def _store_record(self, record, now):
        node = self._node
        bucket = bucket_of(record.key)
        flow = node.flows.put(record, bucket, now)
        flow.holders = node.members.ring.holders(bucket)
        flow.replicated_at = STALE_S
        return flow

    def _is_current(self, flow, view, holders, now):
        """Return whether packets can go straight to the flow's target.

        Otherwise the record has to be replicated or confirmed first.
        """
        refresh_s = view.profile.idle_timeout_s / REFRESHES_PER_IDLE_TIMEOUT
        if flow.holders != holders or now - flow.replicated_at > refresh_s:
            return False
        if not flow.fully_replicated or flow.record.tentative:
            return False
        return flow.last_seen >= self._node.resumed_at

    def _confirm_if_due(self, flow, now):
        """Confirm a tentative record if no preferred one turned up in time.

        The record is then replicated again, since the standbys still hold it as
        tentative.
        """
        if flow.record.tentative and now >= flow.tentative_until:
            flow.record = replace(flow.record, tentative=False)
            flow.tentative_until = NEVER_S
            flow.replicated_at = STALE_S

    def _is_unconfirmed(self, flow, now):
        if flow.record.tentative and flow.tentative_until == NEVER_S:
            flow.tentative_until = now + TENTATIVE_TIMEOUT_S
        self._confirm_if_due(flow, now)
        possibly_outdated = flow.last_seen < self._node.resumed_at
        return flow.record.tentative or possibly_outdated

    def _count_replication(self, flow, holders):
        """Count a packet that carries the record, until an answer confirms delivery.

        Such a packet may be lost between entries, and only the last holder on the
        path sends it to the target. So an answer proves that every holder has the
        record. Since some flows never get answers, the record also counts as
        delivered after `MAX_REPLICATION_ATTEMPTS` packets.
        """
        if flow.holders != holders:
            flow.replication_attempts = 0
        flow.replication_attempts += 1
        flow.fully_replicated = flow.replication_attempts >= MAX_REPLICATION_ATTEMPTS

    def _mark_replicated(self, flow, holders, data, now):
        flow.holders = holders
        flow.replicated_at = STALE_S if flow.record.tentative else now
        flow.last_seen = now
        if tcp_flags(data) & (TCP_FIN | TCP_RST):
            flow.closing = True

    def _send(self, target, data):
        self._node.sent[target.name] += 1
        return SendTarget(target.host, target.port, data)

    def _refuse(self, data, reason):
        """Drop a packet; a TCP sender also gets a reset, so that it stops retrying."""
        drop = self._node.drop(reason)
        reset = reset_caller(data)
        return [drop] if reset is None else [drop, SendCaller(reset)]

    def _replace_unusable(self, flow, view, data, now):
        """Handle a packet of a flow whose target or service is no longer valid.

        The flow is reopened at another target, unless the packet belongs to an
        established TCP connection of the same service; that one is reset.
        """
        node = self._node
        epoch = flow.record.epoch + 1
        same_service = flow.record.service == view.created
        opening = data[9] != PROTOCOL_TCP or tcp_flags(data) & TCP_SYN
        if same_service and not opening:
            return self._refuse(data, DropReason.GIVEN_UP)
        node.flows.remove(flow.record.key)
        return self._open(view, flow.record.key, data, now, epoch)

    def _opened_towards_unreachable(self, flow, target, view):
        """Return whether a flow was opened to a domain that had become unreachable.

        A network partition is detected with a delay. Flows opened in the meantime
        have not reached their target and can be reopened at a reachable one.
        """
        node = self._node
        domain = target.domain
        if node.is_reachable(domain):
            return False
        if not any(
            node.is_reachable(other.domain) for other in node.candidate_targets(view)
        ):
            return False
        opened_s = flow.record.born_ms / 1000
        heartbeat_s = node.timers.heartbeat_s
        if opened_s > node.members.last_heard(domain) + heartbeat_s:
            return True
        detection_s = node.timers.suspect_s + heartbeat_s
        return flow.opened_here and opened_s > node.ring_changed_at - detection_s

    def _end_silent(self, flow, view, data, now):
        """Reset a silent TCP flow at both ends; reopen a datagram flow elsewhere."""
        node = self._node
        target = node.usable(flow.record, view)
        epoch = flow.record.epoch + 1
        node.counters[DropReason.SILENT.value] += 1
        if data[9] != PROTOCOL_TCP:
            key, lost = flow.record.key, target.name
            return self._open(view, key, data, now, epoch, avoid=lost)
        flow.closing = True
        flow.unanswered = 0
        actions = []
        to_caller, to_target = reset_caller(data), reset_target(data)
        if to_caller is not None:
            actions.append(SendCaller(to_caller))
        if to_target is not None:
            actions.append(self._send(target, to_target))
        return actions


def _changes_state(data):
    return data[9] == PROTOCOL_TCP and tcp_flags(data) & _TCP_CHANGES


def _is_mid_connection(data):
    """Return whether a packet belongs to a TCP connection opened by an earlier one."""
    return data[9] == PROTOCOL_TCP and not tcp_flags(data) & TCP_SYN


def _differ(one, other):
    return (one.target, one.epoch, one.service) != (
        other.target,
        other.epoch,
        other.service,
    )
