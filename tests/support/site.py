"""Small site on the simulated network: services, targets and callers.

It also determines which flows are broken: a flow is broken when it moves to another
target, is reset, or is no longer answered, although its target is present and its
failure domain in service.
"""

import random
from dataclasses import dataclass, replace

from kumquatshift.engine.entry import EntryEngine
from kumquatshift.engine.objects import (
    DomainState,
    Kind,
    Profile,
    Protocol,
    Service,
    Target,
    TargetState,
)
from kumquatshift.engine.packets import flow_key, reverse_key, tcp_flags

from .network import FakeNetwork, udp_packet

ENTRY_DOMAINS = "aaabbccdd"
DOMAINS = "abcd"
RETRY_S = 1.0
SYN, RST, ACK = 0x02, 0x04, 0x10

TILLS = Service("tills", "10.0.0.1", 5683, Protocol.UDP, "long")
FEEDS = Service("feeds", "10.0.0.2", 443, Protocol.TCP, "long")


def address(text):
    return bytes(map(int, text.split(".")))


@dataclass
class Flow:
    """One caller's flow, as seen by the caller and the targets."""

    service: Service
    number: int
    opened_at: float
    host: str | None = None
    hosts: tuple = ()
    answered_at: float = 0.0
    resets: int = 0
    side: tuple | None = None
    silent: bool = False
    stopped: bool = False

    @property
    def tcp(self):
        return self.service.protocol is Protocol.TCP

    def packet(self, flags=None, payload=b"x"):
        if flags is None:
            flags = ACK if self.answered_at else SYN
        caller = bytes([10, 9, self.number >> 8 & 255, self.number & 255])
        port = 1000 + self.number % 50000
        destination = address(self.service.address), self.service.port
        protocol = 6 if self.tcp else 17
        return udp_packet(caller, port, *destination, payload, protocol, flags)


class Site:
    """Entries, two services with targets in four domains, and callers."""

    def __init__(
        self, engine=EntryEngine, seed=1, domains=ENTRY_DOMAINS, targets=7, **net
    ):
        kind = type("Network", (FakeNetwork,), {"engine_class": engine})
        self.net = kind(domains, seed=seed, **net)
        self.rng = random.Random(seed + 99)
        self.flows = {}
        self.domains_taken_out = set()
        self.silent_hosts = set()
        self.retire_times = {}
        self.received = []
        self.net.target_hooks.append(self._at_target)
        self.net.caller_hooks.append(self._at_caller)
        for name in DOMAINS:
            self.net.domain(name, "in")
        self.net.publish(Kind.PROFILE, "long", Profile("long"))
        self.targets = {}
        for service in (TILLS, FEEDS):
            self.net.publish(Kind.SERVICE, service.name, service)
            for _ in range(targets):
                self.admit(service)
        self.net.run_until_ready()
        self.net.run(20)

    def admit(self, service, **options):
        number = len(self.targets)
        domain = DOMAINS[number % 4]
        host = f"10.1.{number >> 8}.{number & 255}"
        target = Target(f"t{number}", service.name, domain, host, 6080)
        return self.put_target(target, **options)

    def put_target(self, target, **options):
        self.targets[target.host] = target
        self.net.publish(Kind.TARGET, target.name, target, **options)
        return target

    def retire(self, target, **options):
        self.retire_times[target.host] = self.net.now
        return self.put_target(replace(target, state=TargetState.RETIRED), **options)

    def admitted(self, service):
        return [
            target
            for target in self.targets.values()
            if target.service == service.name and target.state is TargetState.ADMITTED
        ]

    def take_out(self, domain, **options):
        self.domains_taken_out.add(domain)
        return self.net.domain(domain, DomainState.OUT, **options)

    def bring_back(self, domain, **options):
        return self.net.domain(domain, DomainState.IN, **options)

    def open(self, count, over_s=1.0, every_s=5.0, service=None, side=None):
        """Open flows within ``over_s``, and send on each of them every ``every_s``."""
        opened = []
        for _ in range(count):
            number = len(self.flows)
            kind = service or (TILLS, FEEDS)[number % 2]
            flow = Flow(kind, number, self.net.now, side=side)
            self.flows[flow_key(flow.packet())] = flow
            self.net.at(self.rng.random() * over_s, self._send, flow, every_s)
            opened.append(flow)
        return opened

    def send(self, flow, **packet):
        names = None
        if flow.side:
            names = [name for name in self.net.ready_names() if name in flow.side]
        self.net.spray(flow.packet(**packet), names)

    def _send(self, flow, every_s):
        if flow.stopped:
            return
        opening = flow.tcp and not flow.answered_at
        self.send(flow)
        delay_s = min(RETRY_S, every_s) if opening else every_s
        self.net.at(delay_s, self._send, flow, every_s)

    def _at_target(self, name, action):
        target = self.targets.get(action.host)
        if target is None or not self._reaches(name, target):
            return
        self.received.append((self.net.now, action.host, action.data))
        flow = self.flows.get(flow_key(action.data))
        if flow is None:
            return
        if flow.host is None:
            flow.host = action.host
        if action.host not in flow.hosts:
            flow.hosts += (action.host,)
        if (
            flow.silent
            or action.host in self.silent_hosts
            or tcp_flags(action.data) & RST
        ):
            return
        names = [
            entry
            for entry in self.net.ready_names()
            if self._reaches(entry, target) and (not flow.side or entry in flow.side)
        ]
        self.net.spray(answer(action.data), names)

    def _at_caller(self, name, action):
        flow = self.flows.get(reverse_key(action.data))
        if flow is None:
            return
        if tcp_flags(action.data) & RST:
            flow.resets += 1
        else:
            flow.answered_at = self.net.now

    def _reaches(self, entry, target):
        """Return whether no partition separates an entry from a target."""
        return not any(
            (entry, other) in self.net.cuts and (other, entry) in self.net.cuts
            for other in self.net.names_in({target.domain}) - {entry}
        )

    def may_break(self, flow):
        """Return whether a flow may break because its domain was taken out."""
        target = self.targets.get(flow.host)
        return target is not None and target.domain in self.domains_taken_out

    def broken(self, flows=None, within_s=6.0):
        """Return the broken flows, including those not answered ``within_s``."""
        return [
            flow
            for flow in flows or self.flows.values()
            if not self.may_break(flow) and not flow.stopped
            if len(flow.hosts) != 1
            or flow.resets
            or self.net.now - flow.answered_at > within_s
        ]

    def packets_to(self, domain, since):
        """Return the packets that reached a domain's targets since a time."""
        hosts = {host for host, t in self.targets.items() if t.domain == domain}
        return [row for row in self.received if row[1] in hosts and row[0] >= since]


def answer(data):
    flags = SYN | ACK if tcp_flags(data) & SYN else ACK
    addresses = data[16:20] + data[12:16]
    ports = data[22:24] + data[20:22]
    rest = bytearray(data[24:])
    if data[9] == 6:
        rest[9] = flags
    return data[:12] + addresses + ports + bytes(rest)
