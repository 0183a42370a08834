"""A small site on a paused clock: one caller, entries, targets, and faults.

Packets are method calls that the clock makes later. Each one crosses a named
hop, at which a test may lose it, copy it, or kill who sends or receives it.
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
from .coap_packets import ends, flow_of, read, reply, request, signal

FLOW = flow_of()
SERVICE = "booking"
PROFILE = Profile("booking", mode=Mode.REQUEST, request_timeout_s=5.0)
STEP_S = 0.05
HOP_S = 0.002
SUSPECT_S = 1.0
HOLDERS = 3
WITNESSES = 2
SLOTS = 1
RETRANSMIT_S = (2.0, 4.0)

#: Longer than a packet of one request may be about: an entry that has run for
#: so long has seen all that it holds.
QUIET_TIME_S = 7.0
LATE_S = 2.0

GIVE_UP_S = 5.5
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


def core_policy(entry):
    """Make the request policy of one entry."""
    targets = [
        Target(name, SERVICE, "north", "127.0.2." + name[1:], 6080, SLOTS)
        for name in entry.site.targets
    ]
    profiles = {SERVICE: PROFILE}
    pool = SlotPool.from_config(profiles, targets, entry.site.now())
    return RequestPolicy.from_config(profiles, pool, entry, entry.site.rng)


class Entry:
    """An entry, which is also its own `FlowAuthority`."""

    def __init__(self, site, name, make_policy):
        self.site, self.name, self.make_policy = site, name, make_policy
        self.alive = False
        self.heard = {}
        self.start(-QUIET_TIME_S)

    def start(self, since):
        """Run from now on, with nothing remembered."""
        if not self.alive:
            self.alive, self.since, self.incarnation = True, since, object()
            self.policy = self.make_policy(self)

    def sees(self, other):
        """Tell whether another entry was heard of lately."""
        if other is self:
            return True
        heard = self.heard.get(other.name, -SUSPECT_S)
        return self.site.now() - heard < SUSPECT_S

    def is_quiet_time_over(self):
        """Tell whether this entry has run long enough to know its flows."""
        return self.site.now() - self.since >= QUIET_TIME_S

    def primary(self):
        """Return who decides, as this entry sees it."""
        return next(entry for entry in self.site.entries if self.sees(entry))

    def holders(self):
        """Return the other holders that this entry can count on."""
        return [
            entry
            for entry in self.site.entries[:HOLDERS]
            if entry is not self and self.sees(entry) and entry.is_quiet_time_over()
        ]

    def is_primary(self, flow):
        """Tell whether this entry decides."""
        return self.primary() is self

    def has_quorum(self, flow):
        """Tell whether two of the three holders know all, and will be asked."""
        inside = self in self.site.entries[:HOLDERS]
        voters = len(self.holders()) + self.is_quiet_time_over()
        return inside and voters >= WITNESSES

    def tick(self):
        """Let the policy's time pass."""
        self.carry_out(self.policy.tick(self.site.now()))

    def from_caller(self, data):
        """Take a packet of the caller from the fabric."""
        if self.is_primary(FLOW):
            return self.decide(data)
        primary = self.primary()
        self.site.cross("entry to primary", self, primary, primary.decide, data)

    def decide(self, data):
        """Decide a packet of the caller."""
        decisions = self.policy.request(SERVICE, FLOW, data, self.site.now())
        self.carry_out(decisions)

    def from_target(self, data):
        """Take a packet of a target from the fabric."""
        if self.is_primary(FLOW):
            return self.decide_answer(data)
        primary = self.primary()
        hop = "entry back to primary"
        self.site.cross(hop, self, primary, primary.decide_answer, data)

    def decide_answer(self, data):
        """Decide a packet of a target."""
        self.carry_out(self.policy.response(FLOW, data, self.site.now()))

    def carry_out(self, decisions):
        """Do what the policy decided."""
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
                self.along(self.holders(), record, decision.data, first=True)
            elif isinstance(decision, Refuse):
                self.to_caller(decision.data)

    def along(self, path, record, data, first=False):
        """Take a record past the other holders, and then its packet to its end."""
        if path:
            hop = "primary to standby" if first else "standby to standby"
            rest = path[1:]
            self.site.cross(hop, self, path[0], path[0].hold, rest, record, data)
        elif record.target:
            self.to_target(record.target, data)
        else:
            self.to_caller(data)

    def hold(self, rest, record, data):
        """Hold a record, and pass its packet on unless it must stop here."""
        adopted = self.policy.adopt(SERVICE, record, self.site.now())
        if adopted and self.is_quiet_time_over():
            self.along(rest, record, data)

    def to_caller(self, data):
        """Send a packet to the caller."""
        caller = self.site.caller
        self.site.cross("primary to caller", self, caller, caller.receive, data)

    def to_target(self, name, data):
        """Send a packet to a target."""
        target = self.site.targets[name]
        self.site.cross("standby to target", self, target, target.receive, data)


class FakeTarget:
    """A CoAP server that drops copies by message id until it restarts."""

    def __init__(self, site, name, service_s=0.5, separate=False):
        self.site, self.name = site, name
        self.service_s, self.separate = service_s, separate
        self.alive = False
        self.mids = count(7)
        self.start(0.0)

    def start(self, since):
        """Run from now on, with nothing remembered."""
        if not self.alive:
            self.alive, self.busy, self.seen, self.incarnation = True, 0, {}, object()

    def receive(self, data):
        """Take a packet; run its request if it is new and there is a slot."""
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
            src, dst = ends(data)
            self.answer(signal(Type.ACK, msg.mid, src=dst, dst=src))
        self.site.clock.callLater(self.service_s, self.finish, data, self.incarnation)

    def finish(self, data, incarnation):
        """Answer a request, unless the target restarted in between."""
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
        """Send an answer to some entry."""
        entry = self.site.some_entry()
        self.site.cross("target to entry", self, entry, entry.from_target, data)


class Caller:
    """Sends requests with retransmissions, and keeps what it was told."""

    name = "caller"
    alive = True
    incarnation = None

    def __init__(self, site):
        self.site = site
        self.open = {}
        self.told = {}
        self.wrong = []
        self.sent_at, self.mids, self.heard_mids = {}, {}, set()
        self.once = set()

    def send(self, name, code, mid, token, **options):
        """Send a request; a token is used again once its last use is over."""
        if self.is_busy(token):
            return
        self.sent_at[name], self.mids[name] = self.site.now(), mid
        data = request(code, mid, token, name.encode(), **options)
        self.open[token] = name
        if code in (Code.POST, Code.PATCH):
            self.once.add(name)
        self.transmit(data)
        for delay_s in RETRANSMIT_S:
            self.site.clock.callLater(delay_s, self.again, name, token, data)

    def is_busy(self, token):
        """Tell whether the last request with a token may still be answered."""
        name = self.open.get(token)
        if name is None or name in self.told:
            return False
        return self.site.now() - self.sent_at[name] < GIVE_UP_S

    def again(self, name, token, data):
        """Send a request again, unless its end was told."""
        if self.open.get(token) == name and name not in self.told:
            self.transmit(data)

    def transmit(self, data):
        """Send a packet to some entry."""
        entry = self.site.some_entry()
        self.site.cross("caller to entry", self, entry, entry.from_caller, data)

    def receive(self, data):
        """Match an answer as RFC 7252 says, and keep what it tells."""
        msg = read(data)
        if msg.mtype == Type.CON:
            self.transmit(signal(Type.ACK, msg.mid))
        if msg.mtype in (Type.CON, Type.NON):
            if msg.mid in self.heard_mids:
                return
            self.heard_mids.add(msg.mid)
        if msg.code == Code.EMPTY or msg.token not in self.open:
            return
        name = self.open[msg.token]
        if msg.mtype == Type.ACK and msg.mid != self.mids[name]:
            return
        text = msg.payload.decode()
        if text.startswith("ran ") and text != f"ran {name}":
            self.wrong.append((name, text))
        self.told.setdefault(name, text)


class Site:
    """The nodes, the links between them, and what befalls them."""

    def __init__(self, seed=1, make_policy=core_policy, entries=4, targets=3):
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
        self.roughness = 0.0
        self.beat()

    def now(self):
        """Return the time in seconds."""
        return self.clock.seconds()

    def node(self, name):
        """Return an entry or a target by name."""
        nodes = {entry.name: entry for entry in self.entries}
        return (nodes | self.targets)[name]

    def kill(self, name):
        """Stop a node at once."""
        self.node(name).alive = False

    def start(self, name):
        """Start a stopped node."""
        self.node(name).start(self.now())

    def restart(self, name):
        """Stop and start a node; it forgets everything."""
        self.kill(name)
        self.start(name)

    def restart_targets(self):
        """Restart all targets."""
        for name in self.targets:
            self.restart(name)

    def fault(self, hop, fault):
        """Let the next packet at a hop meet a fault."""
        self.faults[hop] = fault

    def cut(self, one, other):
        """Cut two nodes off from each other."""
        self.cuts |= {(one, other), (other, one)}

    def heal(self):
        """End all cuts."""
        self.cuts.clear()

    def some_entry(self):
        """Return an entry that the fabric may choose."""
        if self.ingress and self.node(self.ingress).alive:
            return self.node(self.ingress)
        alive = [entry for entry in self.entries if entry.alive]
        return self.rng.choice(alive or self.entries)

    def cross(self, hop, sender, receiver, call, *args):
        """Take a packet over one hop, through its faults."""
        if not sender.alive or (sender.name, receiver.name) in self.cuts:
            return
        delays = [HOP_S * (1 + self.rng.random())]
        fault = self.faults.pop(hop, None) or self.some_fault(hop)
        if fault == "kill sender":
            sender.alive = False
        elif fault == "kill receiver":
            receiver.alive = False
        elif fault == "lose":
            return
        elif fault == "copy":
            delays.append(delays[0] + self.rng.random() * LATE_S)
        elif fault == "delay":
            delays[0] += self.rng.random() * LATE_S
        for delay in delays:
            self.clock.callLater(delay, self.arrive, receiver, call, args)

    def some_fault(self, hop):
        """Draw a fault for a packet."""
        if hop == "standby to target" or not self.roughness:
            return None
        for fault in ("lose", "delay", "copy"):
            if self.rng.random() < self.roughness:
                return fault
        return None

    def arrive(self, receiver, call, args):
        """Hand a packet to its receiver."""
        if receiver.alive:
            call(*args)

    def beat(self):
        """Exchange heartbeats, and let every entry tick."""
        for entry in self.entries:
            for other in self.entries:
                cut = (entry.name, other.name) in self.cuts
                if entry.alive and other.alive and not cut:
                    entry.heard[other.name] = self.now()
        for entry in self.entries:
            if entry.alive:
                entry.tick()

    def run(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.pump([STEP_S / 10] * 10)
            self.beat()

    def runs_of(self, name):
        """Return the targets whose application ran a request."""
        return [target for ran, target in self.runs if ran == name]
