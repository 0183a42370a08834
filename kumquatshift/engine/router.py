"""Decide where each packet goes.

Every packet of a flow is decided on by the flow's primary, which passes the
packet along the standbys whenever the record has to be placed or confirmed: at
the opening, after the ring has changed, and every third of the idle timeout. So
records travel with the packets they belong to. While the ring has changed
lately, an opening is passed along further entries, since an earlier holder may
be among them; the best record met on the way decides.
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
from .silence import Silence

LOOKUP_HOPS = 8
MAX_REDIRECTS = 3
TENTATIVE_S = 0.25
MAX_PLACINGS = 3
REFRESHES_PER_IDLE_TIMEOUT = 3
COPIED_IDLE_FACTOR = 1 + 1 / REFRESHES_PER_IDLE_TIMEOUT

_TCP_CHANGES = TCP_SYN | TCP_FIN | TCP_RST


class Router:
    """Packet decisions of one entry."""

    def __init__(self, node: Node, requests: RequestRouter):
        self._node = node
        self._requests = requests
        self._silence = Silence(node)

    def packet(self, data: bytes, now: float) -> list[Action]:
        """Decide on a packet that came from the fabric."""
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
            return self._take_answer(view, data, (), now)
        return [node.drop(DropReason.UNKNOWN_SERVICE)]

    def relay(self, relay: Relay, now: float) -> list[Action]:
        """Decide on a packet that another entry passed to us."""
        node = self._node
        data = relay.data
        reason = check(data)
        if reason is not None:
            return [node.drop(reason)]
        if node.resuming:
            return [node.drop(DropReason.RESUMING)]
        if relay.direction is Direction.TO_CALLER:
            view = node.store.by_address.get(source(data))
            return self._take_answer(view, data, relay.visited, now)
        view = node.store.by_address.get(destination(data))
        if view is None:
            return [node.drop(DropReason.UNKNOWN_SERVICE)]
        if relay.record is not None and view.takes_requests:
            return self._requests.hold(relay, view, now)
        if relay.record is not None:
            return self._pass_on(relay, view, now)
        return self._redirect(relay, view, now)

    def records(self, peer: str, batch: RecordBatch, now: float) -> list[Action]:
        """Take in copies of records; tell the sender of any that are better."""
        better = []
        for record in batch.records:
            if record.detail:
                self._requests.adopt(record, now)
                continue
            own = self._own(record.key)
            best = prefer(own and own.record, record)
            if own is not None and best is own.record:
                if _differ(best, record):
                    better.append(best)
                continue
            self._hold(best, now)
        return [SendPeer(peer, RecordBatch(tuple(better)))] if better else []

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
            return self._decide(view, flow, key, holders, data, now)
        # An entry that holds a spare copy is not told when a better one stands.
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
        """Act as the primary, or pass the packet to the one that is."""
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
            return self._decide(view, flow, key, holders, data, now)
        return [SendPeer(primary, replace(relay, visited=(*visited, node.name)))]

    def _decide(self, view, flow, key, holders, data, now):
        """Decide as the flow's primary."""
        node = self._node
        if view.takes_requests:
            return self._requests.from_caller(view, data, now)
        if flow is None:
            if _continues(data) and node.cut_off():
                # The other side may hold it; the caller sends it again.
                return [node.drop(DropReason.NO_RECORD)]
            return self._open(view, key, data, now, epoch=0)
        target = node.usable(flow.record, view)
        if target is None:
            return self._give_up(flow, view, data, now)
        changes = _changes_state(data)
        if flow.closing and changes and tcp_flags(data) & TCP_SYN:
            return self._open(view, key, data, now, flow.record.epoch + 1)
        if not flow.answered and self._opened_towards_cut(flow, target, view):
            return self._open(view, key, data, now, flow.record.epoch + 1)
        if self._silence.is_silent(flow, view, now):
            return self._end_silent(flow, view, data, now)
        self._silence.note_packet(flow, now)
        if changes or not self._is_current(flow, view, holders, now):
            return self._place(flow, view, data, now)
        flow.last_seen = now
        return [self._send(target, data)]

    def _open(self, view, key, data, now, epoch, avoid=""):
        """Choose a target for a new flow and place its record."""
        node = self._node
        usable = [
            target
            for target in node.choices(view)
            if target.name != avoid and node.has_room(target)
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
        flow.tentative_until = now + TENTATIVE_S
        flow.opened_here = True
        node.counters["opened"] += 1
        self._silence.note_packet(flow, now)
        return self._place(flow, view, data, now)

    def _place(self, flow, view, data, now):
        """Pass the packet along the standbys, so that they hold the record."""
        node = self._node
        ring = node.members.ring
        holders = ring.holders(flow.bucket)
        standbys = tuple(h.name for h in holders if h.name != node.name)
        path = standbys
        if self._unconfirmed(flow, now):
            order = ring.order(flow.bucket) + node.members.leaving(now)
            path = tuple(n for n in order if n != node.name)[:LOOKUP_HOPS]
        self._note_placing(flow, holders)
        self._mark_placed(flow, holders, data, now)
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

    def _pass_on(self, relay, view, now):
        """Merge the record on its way with ours, and pass the packet on."""
        node = self._node
        carried = relay.record
        if node.usable(carried, view) is None:
            return [node.drop(DropReason.DOMAIN_OUT)]
        own = self._own(carried.key)
        best = prefer(carried, own and own.record)
        actions = []
        if best is not carried and _differ(best, carried):
            actions = self._tell_holders(relay.primary, best)
        if relay.copies > 0 or own is not None:
            flow = self._hold(best, now)
            self._mark_placed(flow, flow.holders, relay.data, now)
            flow.proven = not relay.path
        found = best is not carried and not best.tentative
        if found or not relay.path:
            target = node.usable(best, view)
            return [*actions, self._send(target, relay.data)]
        copies = max(0, relay.copies - 1)
        onward = replace(relay, path=relay.path[1:], record=best, copies=copies)
        return [*actions, SendPeer(relay.path[0], onward)]

    def _tell_holders(self, primary, record):
        """Send a better record to those that may hold a worse one by now."""
        node = self._node
        holders = node.members.ring.holders(bucket_of(record.key))
        names = {primary, *(holder.name for holder in holders)} - {node.name}
        batch = RecordBatch((record,))
        return [SendPeer(name, batch) for name in sorted(names)]

    def _take_answer(self, view, data, visited, now):
        """Decide on an answer as its primary, or pass it to the one that is."""
        node = self._node
        key = reverse_key(data)
        flow = node.flows.get(key)
        bucket = bucket_of(key) if flow is None else flow.bucket
        holders = node.members.ring.holders(bucket)
        if not holders or view is None:
            return self._answer(view, flow, data, now)
        primary = self._primary(view, holders)
        looped = primary in visited or len(visited) >= MAX_REDIRECTS
        if primary == node.name or looped:
            return self._answer(view, flow, data, now)
        onward = Relay(data, Direction.TO_CALLER, "", (), (*visited, node.name))
        return [SendPeer(primary, onward)]

    def _primary(self, view, holders):
        if view.takes_requests:
            return self._requests.primary(view)
        return holders[0].name

    def _answer(self, view, flow, data, now):
        if view is not None and view.takes_requests:
            return self._requests.from_target(data, now)
        if flow is not None:
            flow.last_seen = now
            flow.proven = True
            flow.opened_here = False
            flow.placings = 0
            self._silence.note_answer(flow, now)
            if data[9] == PROTOCOL_TCP and tcp_flags(data) & (TCP_FIN | TCP_RST):
                flow.closing = True
        return [SendCaller(data)]

    def _own(self, key):
        """Return our flow of this key if its record still holds, else None."""
        node = self._node
        flow = node.flows.get(key)
        if flow is None:
            return None
        view = node.store.by_address.get(key[4:8] + key[10:13])
        if view is None or node.usable(flow.record, view) is None:
            return None
        return flow

    def _hold(self, record, now):
        node = self._node
        bucket = bucket_of(record.key)
        flow = node.flows.put(record, bucket, now)
        flow.holders = node.members.ring.holders(bucket)
        flow.placed_at = STALE_S
        return flow

    def _is_current(self, flow, view, holders, now):
        """Tell whether a packet can go straight to the flow's target."""
        refresh_s = view.profile.idle_timeout_s / REFRESHES_PER_IDLE_TIMEOUT
        if flow.holders != holders or now - flow.placed_at > refresh_s:
            return False
        if not flow.proven or flow.record.tentative:
            return False
        return flow.last_seen >= self._node.resumed_at

    def _confirm(self, flow, now):
        """End a proposal that no better record has met in time.

        The record is placed once more then, since the standbys hold it as a
        proposal still.
        """
        if flow.record.tentative and now >= flow.tentative_until:
            flow.record = replace(flow.record, tentative=False)
            flow.tentative_until = NEVER_S
            flow.placed_at = STALE_S

    def _unconfirmed(self, flow, now):
        if flow.record.tentative and flow.tentative_until == NEVER_S:
            flow.tentative_until = now + TENTATIVE_S
        self._confirm(flow, now)
        doubtful = flow.last_seen < self._node.resumed_at
        return flow.record.tentative or doubtful

    def _note_placing(self, flow, holders):
        """Doubt that a record has arrived until an answer proves it.

        A packet that carries the record may be lost on its way, and only the
        last holder sends it to the target. Flows without answers stop to doubt
        after a few packets.
        """
        if flow.holders != holders:
            flow.placings = 0
        flow.placings += 1
        flow.proven = flow.placings >= MAX_PLACINGS

    def _mark_placed(self, flow, holders, data, now):
        flow.holders = holders
        flow.placed_at = STALE_S if flow.record.tentative else now
        flow.last_seen = now
        if tcp_flags(data) & (TCP_FIN | TCP_RST):
            flow.closing = True

    def _send(self, target, data):
        self._node.sent[target.name] += 1
        return SendTarget(target.host, target.port, data)

    def _refuse(self, data, reason):
        """Refuse a packet for good; a stream that never ran gets a reset."""
        drop = self._node.drop(reason)
        reset = reset_caller(data)
        return [drop] if reset is None else [drop, SendCaller(reset)]

    def _give_up(self, flow, view, data, now):
        """End a flow whose target is gone, or whose service is another now."""
        node = self._node
        epoch = flow.record.epoch + 1
        same_service = flow.record.service == view.created
        opening = data[9] != PROTOCOL_TCP or tcp_flags(data) & TCP_SYN
        if same_service and not opening:
            return self._refuse(data, DropReason.GIVEN_UP)
        node.flows.remove(flow.record.key)
        return self._open(view, flow.record.key, data, now, epoch)

    def _opened_towards_cut(self, flow, target, view):
        """Tell whether a flow was opened towards a domain just cut off.

        A cut is noticed late; what was opened in the meantime has reached no
        target, and may be opened again at one that can be reached.
        """
        node = self._node
        domain = target.domain
        if node.reaches(domain):
            return False
        if not any(node.reaches(other.domain) for other in node.choices(view)):
            return False
        born = flow.record.born_ms / 1000
        heartbeat_s = node.timers.heartbeat_s
        if born > node.members.last_heard(domain) + heartbeat_s:
            return True
        notice_s = node.timers.suspect_s + heartbeat_s
        return flow.opened_here and born > node.ring_changed_at - notice_s

    def _end_silent(self, flow, view, data, now):
        """Reset a lost flow at both ends; a datagram flow opens anew."""
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


def _continues(data):
    """Tell whether a packet belongs to a flow that was opened before."""
    return data[9] == PROTOCOL_TCP and not tcp_flags(data) & TCP_SYN


def _differ(one, other):
    return (one.target, one.epoch, one.service) != (
        other.target,
        other.epoch,
        other.service,
    )
