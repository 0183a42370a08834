"""Carry the request policy's decisions between entries, callers and targets.

The flow's primary asks the policy; what the policy decides travels past the
other holders, which adopt it, before a target or the caller sees it. A holder
that knows otherwise lets the packet go no further.

All requests of a service have the same holders, so that one entry gives out the
slots of the service's targets, and no two count on the same slot. Who these are
is worked out in `holders`.
"""

from .actions import Action, DropReason, SendCaller, SendPeer, SendTarget
from .decisions import Decision, Forward, Pass, Refuse, Return
from .holders import RequestHolders
from .messages import Direction, Record, RecordBatch, Relay
from .node import Node
from .packets import KEY_BYTES, flow_key, reverse_key
from .refusals import note_of
from .requests import RequestPolicy
from .slots import SlotPool
from .store import ServiceView

RECORDS_PER_BATCH = 20
RECORDS_PER_TICK = 200


class RequestRouter:
    """Requests of one entry."""

    def __init__(self, node: Node):
        self._node = node
        self._holders = RequestHolders(node)
        now = node.clock.seconds()
        self._pool = SlotPool.from_config({}, [], now)
        self._policy = RequestPolicy.from_config(
            {}, self._pool, self._holders, node.rng
        )
        self._usable: frozenset[str] = frozenset()
        self._rings = (node.members.known, node.members.ring)
        self._to_copy: list[tuple[str, Record]] = []

    @property
    def counts(self) -> dict[str, int]:
        """Packets that went no further and refusals, by cause."""
        stopped = {f"requests-{c}": n for c, n in self._policy.counts.items()}
        refused = {
            f"refused-{kind}-{cause}": n
            for (kind, cause), n in self._policy.refused.items()
        }
        return stopped | refused

    def latencies(self) -> list[tuple[str, float]]:
        """Return profile and seconds of each request answered since the last call."""
        by_name = self._node.store.by_name
        taken = [
            (by_name[each.service].profile.name, each.seconds)
            for each in self._policy.latencies
            if each.service in by_name
        ]
        self._policy.latencies.clear()
        return taken

    def configure(self, now: float) -> list[Action]:
        """Take the configuration in force, and give up targets that are gone."""
        node = self._node
        views = node.store.by_name.values()
        requests = {
            view.service.name: view.profile for view in views if view.takes_requests
        }
        targets = [
            target
            for target in node.store.targets.values()
            if target.service in requests and node.store.domain_in(target.domain)
        ]
        self._pool.configure(requests, targets, now)
        self._policy.configure(requests)
        names = frozenset(target.name for target in targets)
        lost, self._usable = self._usable - names, names
        decisions = [d for name in lost for d in self._policy.lose_target(name, now)]
        return self._carry_out(decisions)

    def primary(self, view: ServiceView) -> str:
        """Return the entry that decides on a service's requests, "" if none does."""
        return self._holders.primary(view)

    def quiet_times_over(self, now: float) -> dict[str, bool]:
        """Tell for each request service whether we know which requests are new."""
        return {
            name: self._holders.quiet_time_over(view, now)
            for name, view in self._node.store.by_name.items()
            if view.takes_requests
        }

    def from_caller(self, view: ServiceView, data: bytes, now: float) -> list[Action]:
        """Decide as the flow's primary on a packet from a caller."""
        decisions = self._policy.request(view.service.name, flow_key(data), data, now)
        return self._carry_out(decisions)

    def from_target(self, data: bytes, now: float) -> list[Action]:
        """Decide as the flow's primary on a packet from a target."""
        return self._carry_out(self._policy.response(reverse_key(data), data, now))

    def hold(self, relay: Relay, view: ServiceView, now: float) -> list[Action]:
        """Adopt what the primary decided, and pass the packet on."""
        record = relay.record
        name = view.service.name
        if record.service != view.created:
            return [self._node.drop(DropReason.UNKNOWN_SERVICE)]
        adopted = self._policy.adopt(name, record, now)
        counted_on = relay.copies > 0
        if not adopted or (counted_on and not self._holders.quiet_time_over(view, now)):
            return [self._node.drop(DropReason.CONTRADICTED)]
        return self._along(relay.path, record, relay.data, relay.copies - 1)

    def adopt(self, record: Record, now: float) -> None:
        """Hold a record that was copied outside the packet path."""
        view = self._holders.view(record.key)
        if view is not None and view.created == record.service:
            self._policy.adopt(view.service.name, record, now)

    def tick(self, now: float) -> list[Action]:
        """Decide what time alone decides; to be called every 50 ms or so."""
        self._pool.cut_off = self._cut_off()
        return self._carry_out(self._policy.tick(now)) + self._copies()

    def ring_changed(self) -> None:
        """Copy open exchanges to their present holders, a few with each tick.

        Whoever decided before the change sends them, and who decides now, since
        the one of before may have failed.
        """
        members, holders = self._node.members, self._holders
        before, self._rings = self._rings, (members.known, members.ring)
        for exchange in self._policy.exchanges.open():
            if not exchange.target:
                continue
            flow = exchange.flow
            if holders.is_primary(flow) or holders.was_primary(flow, *before):
                record = self._record(note_of(exchange))
                names = holders.witnesses(flow) + holders.newcomers(flow)
                self._to_copy += [(name, record) for name in names]

    def _copies(self):
        """Take the next few exchanges to copy, in one message for each entry."""
        due, self._to_copy = (
            self._to_copy[:RECORDS_PER_TICK],
            self._to_copy[RECORDS_PER_TICK:],
        )
        by_peer: dict[str, list[Record]] = {}
        for name, record in due:
            by_peer.setdefault(name, []).append(record)
        return [
            SendPeer(name, RecordBatch(tuple(each[start : start + RECORDS_PER_BATCH])))
            for name, each in by_peer.items()
            for start in range(0, len(each), RECORDS_PER_BATCH)
        ]

    def _cut_off(self):
        """Return the failure domains with targets that we do not reach."""
        node = self._node
        domains = {target.domain for target in self._pool.targets.values()}
        return frozenset(name for name in domains if not node.reaches(name))

    def _record(self, note):
        view = self._holders.view(note.key)
        created = view.created if view is not None else 0
        return Record(
            note.key, note.target, created, note.born_ms, note.epoch, False, note.detail
        )

    def _carry_out(self, decisions: list[Decision]) -> list[Action]:
        actions = []
        for decision in decisions:
            actions += self._action(decision)
        return actions

    def _action(self, decision):
        if isinstance(decision, Return):
            return [SendCaller(decision.data)]
        if isinstance(decision, Pass):
            return self._to_target(decision.target, decision.data)
        if isinstance(decision, Forward) or (
            isinstance(decision, Refuse) and decision.note
        ):
            record = self._record(decision.note)
            flow = decision.note.key[:KEY_BYTES]
            witnesses = self._holders.witnesses(flow)
            path = witnesses + self._holders.newcomers(flow)
            return self._along(path, record, decision.data, len(witnesses))
        if isinstance(decision, Refuse):
            return [SendCaller(decision.data)]
        return []

    def _along(self, path, record, data, witnesses):
        """Take a record past the other holders, and then its packet to its end.

        The first ``witnesses`` of the path have to be such.
        """
        if path:
            relay = Relay(
                data,
                Direction.TO_TARGET,
                self._node.name,
                path[1:],
                (),
                record,
                max(0, witnesses),
            )
            return [SendPeer(path[0], relay)]
        if record.target:
            return self._to_target(record.target, data)
        return [SendCaller(data)]

    def _to_target(self, name, data):
        node = self._node
        target = node.store.targets.get(name)
        if target is None or not node.store.domain_in(target.domain):
            return [node.drop(DropReason.DOMAIN_OUT)]
        node.sent[name] += 1
        return [SendTarget(target.host, target.port, data)]
