"""Simulated site on a manual clock, for requests: a caller, entries and targets.

Packets are method calls that the clock makes after a delay. Each one passes a named
hop, at which a test may inject a fault: lose, duplicate or delay the packet, or
kill its sender or receiver.
"""

import random
from itertools import count

from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type
from twisted.internet.task import Clock

from ..engine.decisions import (
    ForwardToTarget,
    Refuse,
    ReplicateAndForward,
    ReturnToCaller,
)
from ..engine.messages import Record
from ..engine.objects import Mode, Profile, Target
from ..engine.requests import RequestPolicy
from ..engine.slots import SlotPool
from .coap_packets import empty_message, endpoints, flow_of, read, reply, request

FLOW = flow_of()
SERVICE = "booking"
PROFILE = Profile("booking", mode=Mode.REQUEST, request_timeout_s=5.0)
STEP_S = 0.05
HOP_LATENCY_S = 0.002
SUSPECT_TIMEOUT_S = 1.0
HOLDERS = 3
QUORUM = 2
SLOTS = 1
RETRANSMIT_DELAYS_S = (2.0, 4.0)

#: Longer than the packets of one request can be in the network: an entry that has
#: run for this long has seen every open request that it holds.
QUIET_TIME_S = 7.0
MAX_EXTRA_DELAY_S = 2.0

EXCHANGE_LIFETIME_S = 5.5
HOPS = (
    "caller to entry",
    "entry to primary",
    "primary to standby",
    "standby to standby",
    "standby to target",
    "target to entry",
    "entry back to primary",
    "primary to caller",
)


def engine_policy(entry):
    """Create the real request policy of one entry."""
    targets = [
        Target(name, SERVICE, "north", "127.0.2." + name[1:], 6080, SLOTS)
        for name in entry.site.targets
    ]
    profiles = {SERVICE: PROFILE}
    pool = SlotPool.from_config(profiles, targets, entry.site.now())
    return RequestPolicy.from_config(profiles, pool, entry, entry.site.rng)


class Entry:
    """An entry, which is also the `FlowAuthority` of its policy."""

    def __init__(self, site, name, make_policy):
        self.site, self.name, self.make_policy = site, name, make_policy
        self.alive = False
        self.heard_at = {}
        self.start(-QUIET_TIME_S)

    def start(self, since):
        """Start with empty state, unless already running."""
        if not self.alive:
            self.alive, self.since, self.incarnation = True, since, object()
            self.policy = self.make_policy(self)

    def is_reachable(self, other):
        """Return whether another entry sent a heartbeat within `SUSPECT_TIMEOUT_S`."""
        if other is self:
            return True
        heard_at = self.heard_at.get(other.name, -SUSPECT_TIMEOUT_S)
        return self.site.now() - heard_at < SUSPECT_TIMEOUT_S

    def is_quiet_time_over(self):
        """Return whether this entry has run for `QUIET_TIME_S`."""
        return self.site.now() - self.since >= QUIET_TIME_S

    def primary(self):
        """Return the primary: the first entry that is reachable from this one."""
        return next(entry for entry in self.site.entries if self.is_reachable(entry))

    def holders(self):
        """Return the other holders that are reachable and past their quiet time."""
        return [
            entry
            for entry in self.site.entries[:HOLDERS]
            if entry is not self
            and self.is_reachable(entry)
            and entry.is_quiet_time_over()
        ]

    def is_primary(self, flow):
        """Return whether this entry is the primary."""
        return self.primary() is self

    def has_quorum(self, flow):
        """Return whether this entry and others form a quorum of the three holders.

        This entry has to be a holder, and the members of the quorum have to be
        reachable and past their quiet time.
        """
        is_holder = self in self.site.entries[:HOLDERS]
        voters = len(self.holders()) + self.is_quiet_time_over()
        return is_holder and voters >= QUORUM

    def tick(self):
        """Run the timers of the policy."""
        self.execute(self.policy.tick(self.site.now()))

    def from_caller(self, data):
        """Receive a packet of the caller from the fabric."""
        if self.is_primary(FLOW):
            return self.decide(data)
        primary = self.primary()
        self.site.send_over_hop("entry to primary", self, primary, primary.decide, data)

    def decide(self, data):
        """Handle a packet of the caller as its primary."""
        decisions = self.policy.request(SERVICE, FLOW, data, self.site.now())
        self.execute(decisions)

    def from_target(self, data):
        """Receive a packet of a target from the fabric."""
        if self.is_primary(FLOW):
            return self.decide_answer(data)
        primary = self.primary()
        hop = "entry back to primary"
        self.site.send_over_hop(hop, self, primary, primary.decide_answer, data)

    def decide_answer(self, data):
        """Handle a packet of a target as the primary."""
        self.execute(self.policy.response(FLOW, data, self.site.now()))

    def execute(self, decisions):
        """Execute the decisions of the policy."""
        for decision in decisions:
            if isinstance(decision, ReturnToCaller):
                self.to_caller(decision.data)
            elif isinstance(decision, ForwardToTarget):
                self.to_target(decision.target, decision.data)
            elif isinstance(decision, ReplicateAndForward) or (
                isinstance(decision, Refuse) and decision.record_fields
            ):
                record_fields = decision.record_fields
                record = Record(
                    record_fields.key,
                    record_fields.target,
                    1,
                    record_fields.born_ms,
                    record_fields.epoch,
                    False,
                    record_fields.detail,
                )
                self.forward_through(self.holders(), record, decision.data, first=True)
            elif isinstance(decision, Refuse):
                self.to_caller(decision.data)

    def forward_through(self, path, record, data, first=False):
        """Replicate a record along the other holders, then deliver its packet."""
        if path:
            hop = "primary to standby" if first else "standby to standby"
            rest = path[1:]
            self.site.send_over_hop(
                hop, self, path[0], path[0].adopt_record, rest, record, data
            )
        elif record.target:
            self.to_target(record.target, data)
        else:
            self.to_caller(data)

    def adopt_record(self, rest, record, data):
        """Store a record; pass it on if it was adopted and the quiet time is over."""
        adopted = self.policy.adopt(SERVICE, record, self.site.now())
        if adopted and self.is_quiet_time_over():
            self.forward_through(rest, record, data)

    def to_caller(self, data):
        """Send a packet to the caller."""
        caller = self.site.caller
        self.site.send_over_hop("primary to caller", self, caller, caller.receive, data)

    def to_target(self, name, data):
        """Send a packet to a target."""
        target = self.site.targets[name]
        self.site.send_over_hop("standby to target", self, target, target.receive, data)


class FakeTarget:
    """A CoAP server that detects duplicates by message ID until it restarts."""

    def __init__(self, site, name, service_s=0.5, separate=False):
        self.site, self.name = site, name
        self.service_s, self.separate = service_s, separate
        self.alive = False
        self.mids = count(7)
        self.start(0.0)

    def start(self, since):
        """Start with empty state, unless already running."""
        if not self.alive:
            self.alive, self.busy, self.seen, self.incarnation = True, 0, {}, object()

    def receive(self, data):
        """Receive a packet; run its request if it is new and a slot is free."""
        msg = read(data)
        if msg.code == Code.EMPTY:
            return
        if msg.mid in self.seen:
            if self.seen[msg.mid]:
                self.answer(self.seen[msg.mid])
            return
        if self.busy >= SLOTS:
            self.answer(reply(data, Code.SERVICE_UNAVAILABLE, max_age=1))
            return
        self.busy += 1
        self.seen[msg.mid] = None
        self.site.runs.append((msg.payload.decode(), self.name))
        if self.separate:
            src, dst = endpoints(data)
            self.answer(empty_message(Type.ACK, msg.mid, src=dst, dst=src))
        self.site.clock.callLater(self.service_s, self.finish, data, self.incarnation)

    def finish(self, data, incarnation):
        """Answer a request, unless the target stopped or restarted meanwhile."""
        if not self.alive or incarnation is not self.incarnation:
            return
        self.busy -= 1
        payload = b"ran " + read(data).payload
        kind, mid = Type.ACK, None
        if self.separate:
            kind, mid = Type.CON, next(self.mids)
        answer = reply(data, Code.CONTENT, payload, kind, mid)
        self.seen[read(data).mid] = answer
        self.answer(answer)

    def answer(self, data):
        """Send an answer to the entry that the fabric picks."""
        entry = self.site.pick_entry()
        self.site.send_over_hop("target to entry", self, entry, entry.from_target, data)


class Caller:
    """Sends requests with retransmissions, and records the outcomes.

    `outcomes` maps the names of requests to the payloads of their answers; `non_idempotent` has the
    names of non-idempotent requests.
    """

    name = "caller"
    alive = True
    incarnation = None

    def __init__(self, site):
        self.site = site
        self.open = {}
        self.outcomes = {}
        self.mismatched_answers = []
        self.sent_at, self.mids, self.received_mids = {}, {}, set()
        self.non_idempotent = set()

    def send(self, name, code, mid, token, **options):
        """Send a request, unless its token is in use by an earlier one."""
        if self.is_busy(token):
            return
        self.sent_at[name], self.mids[name] = self.site.now(), mid
        data = request(code, mid, token, name.encode(), **options)
        self.open[token] = name
        if code in (Code.POST, Code.PATCH):
            self.non_idempotent.add(name)
        self.transmit(data)
        for delay_s in RETRANSMIT_DELAYS_S:
            self.site.clock.callLater(delay_s, self.retransmit, name, token, data)

    def is_busy(self, token):
        """Return whether the last request with a token may still be answered."""
        name = self.open.get(token)
        if name is None or name in self.outcomes:
            return False
        return self.site.now() - self.sent_at[name] < EXCHANGE_LIFETIME_S

    def retransmit(self, name, token, data):
        """Retransmit a request, unless it was answered or its token was reused."""
        if self.open.get(token) == name and name not in self.outcomes:
            self.transmit(data)

    def transmit(self, data):
        """Send a packet to the entry that the fabric picks."""
        entry = self.site.pick_entry()
        self.site.send_over_hop("caller to entry", self, entry, entry.from_caller, data)

    def receive(self, data):
        """Match an answer to its request as RFC 7252 says, and record the outcome."""
        msg = read(data)
        if msg.mtype == Type.CON:
            self.transmit(empty_message(Type.ACK, msg.mid))
        if msg.mtype in (Type.CON, Type.NON):
            if msg.mid in self.received_mids:
                return
            self.received_mids.add(msg.mid)
        if msg.code == Code.EMPTY or msg.token not in self.open:
            return
        name = self.open[msg.token]
        if msg.mtype == Type.ACK and msg.mid != self.mids[name]:
            return
        text = msg.payload.decode()
        if text.startswith("ran ") and text != f"ran {name}":
            self.mismatched_answers.append((name, text))
        self.outcomes.setdefault(name, text)


class Site:
    """The nodes, the links between them, and their faults.

    ``ingress`` is the entry that the fabric prefers, or None for a random one.
    """

    def __init__(self, seed=1, make_policy=engine_policy, entries=4, targets=3):
        self.clock, self.rng = Clock(), random.Random(seed)
        self.runs, self.cuts, self.faults = [], set(), {}
        self.targets = {}
        for i in range(targets):
            self.targets[f"t{i}"] = FakeTarget(self, f"t{i}")
        self.entries = []
        for i in range(entries):
            self.entries.append(Entry(self, f"e{i}", make_policy))
        self.caller = Caller(self)
        self.ingress = None
        self.fault_rate = 0.0
        self.exchange_heartbeats()

    def now(self):
        """Return the time in seconds."""
        return self.clock.seconds()

    def node(self, name):
        """Return an entry or a target by name."""
        nodes = {entry.name: entry for entry in self.entries}
        return (nodes | self.targets)[name]

    def kill(self, name):
        """Stop a node abruptly."""
        self.node(name).alive = False

    def start(self, name):
        """Start a stopped node."""
        self.node(name).start(self.now())

    def restart(self, name):
        """Stop and start a node; it loses its state."""
        self.kill(name)
        self.start(name)

    def restart_targets(self):
        """Restart all targets."""
        for name in self.targets:
            self.restart(name)

    def fault(self, hop, fault):
        """Inject a fault into the next packet at a hop."""
        self.faults[hop] = fault

    def cut(self, one, other):
        """Partition two nodes from each other."""
        self.cuts |= {(one, other), (other, one)}

    def heal(self):
        """Remove all partitions."""
        self.cuts.clear()

    def pick_entry(self):
        """Return the entry that the fabric picks: the ingress, or a random live one."""
        if self.ingress and self.node(self.ingress).alive:
            return self.node(self.ingress)
        alive = [entry for entry in self.entries if entry.alive]
        return self.rng.choice(alive or self.entries)

    def send_over_hop(self, hop, sender, receiver, call, *args):
        """Send a packet over one hop, with the injected or a random fault."""
        if not sender.alive or (sender.name, receiver.name) in self.cuts:
            return
        delays = [HOP_LATENCY_S * (1 + self.rng.random())]
        fault = self.faults.pop(hop, None) or self.draw_fault(hop)
        if fault == "kill sender":
            sender.alive = False
        elif fault == "kill receiver":
            receiver.alive = False
        elif fault == "lose":
            return
        elif fault == "copy":
            delays.append(delays[0] + self.rng.random() * MAX_EXTRA_DELAY_S)
        elif fault == "delay":
            delays[0] += self.rng.random() * MAX_EXTRA_DELAY_S
        for delay in delays:
            self.clock.callLater(delay, self.deliver, receiver, call, args)

    def draw_fault(self, hop):
        """Draw a random fault for a packet, or None."""
        if hop == "standby to target" or not self.fault_rate:
            return None
        for fault in ("lose", "delay", "copy"):
            if self.rng.random() < self.fault_rate:
                return fault
        return None

    def deliver(self, receiver, call, args):
        """Deliver a packet, unless the receiver is down."""
        if receiver.alive:
            call(*args)

    def exchange_heartbeats(self):
        """Exchange heartbeats between connected live entries, and run their timers."""
        for entry in self.entries:
            for other in self.entries:
                cut = (entry.name, other.name) in self.cuts
                if entry.alive and other.alive and not cut:
                    entry.heard_at[other.name] = self.now()
        for entry in self.entries:
            if entry.alive:
                entry.tick()

    def run(self, seconds):
        """Advance the clock in steps of `STEP_S`."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.pump([STEP_S / 10] * 10)
            self.exchange_heartbeats()

    def runs_of(self, name):
        """Return the targets that ran a request, one for each run."""
        return [target for ran, target in self.runs if ran == name]
