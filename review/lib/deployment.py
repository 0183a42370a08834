"""A small deployment on loopback addresses: real entries, everything else simulated.

Entries are separate processes, started with the command of the deploy file. The
platform's store and routers, the hosts and the clients run in this process; they
speak what PROTOCOL.md describes and answer as sound ones do.
"""

import asyncio
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

HELD, BROKEN, NOT_RUN = 0, 1, 2

# The word that run.sh passes to a case, and whether it plays the disruption.
DISRUPTIONS = {"with": True, "without": False}

# sum, flags, pad, dport, src, sport, dst, echo, len, seq, ack
HEAD = struct.Struct("<IBBH4sH4sIHII")
SYN, ACK, FIN, RST = 4, 1, 8, 2
MASK = 0xFFFFFFFF
SYN_COPIES_S = (0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
FIRST_RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
HOST_RETRANSMISSIONS = 8

# A reset of the system is taken by a client if its `seq` is this near.
RESET_WINDOW = 76_800

PROBE_INTERVAL_S = 0.5

# Longer than any case.
SILENCE_S = 300.0

# More than changes in `historyS`, 20 s; older ones are not asked for in a case.
HISTORY_EVENTS = 500

BOUNDS = {
    "stableWindowMs": 4000,
    "drainTimeoutMs": 3000,
    "configApplyMs": 3000,
    "evacuateMs": 5000,
    "graceS": 6,
    "warmupBurstFactor": 1.5,
    "warmupSlack": 5,
}


class CaseError(Exception):
    """The case could not be run, for a reason that is not the entries' fault."""


class Record:
    """What was sent, answered and run, one line of JSON each."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._started = time.monotonic()

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started

    def write(self, what, **values):
        """Write one line."""
        line = {"t": round(self.now(), 4), "what": what, **values}
        self._file.write(json.dumps(line) + "\n")

    def close(self):
        """Write what is buffered."""
        self._file.close()


class Store:
    """The platform's metadata store; operator and hosts write through its methods."""

    def __init__(self):
        self.revision = 10
        self.objects = {}
        self.events = []
        self.page = 500
        # By kind: connections up to this number have gone silent.
        self._silent = {}
        self._changed = asyncio.Event()
        self._connections = 0

    async def start(self, address):
        """Listen at ``address``."""
        self._server = await asyncio.start_server(self._serve, *address)

    def put(self, kind, name, spec):
        """Create or replace an object; ``spec`` is a value or its JSON as bytes."""
        text = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known[1] == text:
            return
        self.revision += 1
        self.objects[kind][name] = self.revision, text
        self._note(kind, name, self.revision, text, False)

    def delete(self, kind, name):
        """Remove an object."""
        known = self.objects.get(kind, {}).pop(name, None)
        if known is not None:
            self.revision += 1
            self._note(kind, name, self.revision, known[1], True)

    def silence(self, kind):
        """Let the open connections for a kind go silent for good; new ones work."""
        self._silent[kind] = self._connections

    def _note(self, kind, name, revision, text, deleted):
        self.events.append((kind, name, revision, text, deleted))
        del self.events[:-HISTORY_EVENTS]
        self._changed.set()
        self._changed = asyncio.Event()

    @staticmethod
    def _object(name, revision, text):
        meta = {
            "name": name,
            "revision": revision,
            "createRevision": revision,
            "finalizers": [],
            "deleting": False,
        }
        return b'{"meta":%s,"spec":%s,"status":null}' % (
            json.dumps(meta).encode(),
            text,
        )

    async def _serve(self, reader, writer):
        self._connections += 1
        number = self._connections
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                path, _, query = target.partition("?")
                values = dict(v.split("=", 1) for v in query.split("&") if v)
                kind = path.rsplit("/", 1)[1]
                body = await self._answer(kind, values)
                if number <= self._silent.get(kind, 0):
                    await asyncio.sleep(SILENCE_S)
                    return
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, kind, values):
        if "watch" not in values:
            after = values.get("after", "")
            names = sorted(n for n in self.objects.get(kind, {}) if n > after)
            items = [
                self._object(n, *self.objects[kind][n]) for n in names[: self.page]
            ]
            return b'{"items":[%s],"more":%s,"currentRev":%d}' % (
                b",".join(items),
                b"true" if len(names) > self.page else b"false",
                self.revision,
            )
        since, wait_s = int(values["watch"]), int(values["waitMs"]) / 1000
        ends_at = time.monotonic() + wait_s
        while True:
            found = [e for e in self.events if e[0] == kind and e[2] > since]
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
        events = [
            b'{"object":%s,"deleted":%s}'
            % (self._object(n, r, text), b"true" if gone else b"false")
            for _, n, r, text, gone in found
        ]
        return b'{"events":[%s],"currentRev":%d}' % (b",".join(events), self.revision)


class Packet:
    """One packet of a flow."""

    def __init__(self, data):
        (
            self.sum,
            self.flags,
            _,
            self.dport,
            self.src,
            self.sport,
            self.dst,
            self.echo,
            _,
            self.seq,
            self.ack,
        ) = HEAD.unpack_from(data)
        self.data = data[HEAD.size :]


def pack(flags, source, destination, echo, seq, ack, data=b"", checksum=1):
    """Return a packet; addresses are as on the wire."""
    (src, sport), (dst, dport) = source, destination
    return (
        HEAD.pack(checksum, flags, 0, dport, src, sport, dst, echo, len(data), seq, ack)
        + data
    )


def wire_address(host):
    """Return an address as in a packet's header."""
    return socket.inet_aton(host)[::-1]


class Endpoint(asyncio.DatagramProtocol):
    """A UDP socket that passes datagrams to a function."""

    def __init__(self, on_data):
        self._on_data = on_data
        self.transport = None

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data, address):
        """Pass a datagram on."""
        self._on_data(data)

    def send(self, data, address):
        """Send a datagram."""
        self.transport.sendto(data, address)


async def open_endpoint(address, on_data):
    """Open a UDP socket."""
    loop = asyncio.get_running_loop()
    _, endpoint = await loop.create_datagram_endpoint(
        lambda: Endpoint(on_data), local_addr=address
    )
    return endpoint


class HostFlow:
    """State that a host keeps for a flow."""

    def __init__(self, seq, expected):
        self.seq = seq
        self.expected = expected
        self.is_open = False
        self.client = None
        self.unanswered = None


class Host:
    """One host of a service.

    A request and its response are one packet each, which ``slots`` of them serve.
    """

    def __init__(
        self,
        site,
        service,
        zone,
        ip,
        max_conns=2000,
        work_s=0.02,
        slots=2,
        cold_until=0.0,
    ):
        self.site = site
        self.number = next(site.numbers)
        self.id = f"i-{random.Random(self.number).getrandbits(40) | 1:010x}"
        self.service = service
        self.zone = zone
        self.address = (ip, site.ports["host"])
        self.max_conns = max_conns
        self.work_s = work_s
        self.slots = slots
        self.state = "ready"
        self.cold_until = cold_until
        self.born = int(time.time() * 1000)
        self.flows = {}
        self.openings = []
        self.is_up = True
        self._slots = asyncio.Semaphore(slots)

    async def start(self):
        """Open the port and register in the store."""
        self._key = int(self.id.rpartition("-")[2], 16).to_bytes(8, "big")
        self._endpoint = await open_endpoint(self.address, self._receive)
        self.report()

    def report(self, **changes):
        """Write the entry in the store."""
        left_ms = max(0, round((self.cold_until - time.monotonic()) * 1000))
        spec = {
            "service": self.service,
            "address": "{}:{}".format(*self.address),
            "zone": self.zone,
            "version": "v1",
            "maxConcurrency": self.slots,
            "state": self.state,
            "warmupLeftMs": left_ms,
            "sequence": next(self.site.numbers),
            "born": self.born,
        }
        self.site.store.put("servers", self.id, {**spec, **changes})

    def drain(self):
        """Report that the host leaves; it serves on."""
        self.state = "draining"
        self.report()
        self.site.record.write("draining", host=self.id)

    def leave(self):
        """End; the entry in the store goes too."""
        self.is_up = False
        self._endpoint.transport.close()
        self.site.store.delete("servers", self.id)
        self.site.record.write("left", host=self.id)

    def _receive(self, data):
        if not self.is_up or data[:8] not in (self._key, bytes(8)):
            return
        packet = Packet(data[8:])
        key = packet.src, packet.sport, packet.dst, packet.dport
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self._accept(packet, key, flow)
        elif flow is None:
            self._reply(packet, RST, 0, packet.seq)
        elif packet.flags & (RST | FIN):
            self._reply(packet, ACK, flow.seq, packet.seq + 1)
            del self.flows[key]
        else:
            self._take(packet, flow)

    def _accept(self, packet, key, flow):
        if packet.flags & ACK:
            raise CaseError("a SYN+ACK reached a host")
        if flow is None:
            if len(self.flows) >= self.max_conns:
                return  # Full: a host sends nothing then.
            seq = random.getrandbits(32)
            flow = self.flows[key] = HostFlow(seq, (packet.seq + 1) & MASK)
            now = self.site.record.now()
            self.openings.append(now)
            self.site.record.write(
                "opening taken", host=self.id, zone=self.zone, port=packet.sport
            )
        self._reply(packet, SYN | ACK, flow.seq, flow.expected)

    def _take(self, packet, flow):
        if not flow.is_open:
            if packet.ack != (flow.seq + 1) & MASK:
                return
            flow.is_open = True
            flow.seq = packet.ack
        if flow.unanswered is not None and packet.ack == flow.seq:
            flow.unanswered.cancel()
            flow.unanswered = None
        if not packet.data:
            return
        if packet.seq != flow.expected:
            self._reply(packet, ACK, flow.seq, flow.expected)
            return
        flow.expected = (flow.expected + len(packet.data)) & MASK
        asyncio.get_running_loop().create_task(self._run(packet, flow))

    async def _run(self, packet, flow):
        async with self._slots:
            name = re.search(rb"Request-Id: (\S+)", packet.data).group(1).decode()
            self.site.record.write("run", host=self.id, request=name)
            await asyncio.sleep(self.work_s)
        body = f"{name} by {self.id}".encode().ljust(600)
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        flow.unanswered = asyncio.get_running_loop().create_task(
            self._send_answer(packet, flow, flow.seq, answer)
        )
        flow.seq = (flow.seq + len(answer)) & MASK

    async def _send_answer(self, packet, flow, seq, answer):
        wait_s = FIRST_RETRANSMIT_S
        for _ in range(1 + HOST_RETRANSMISSIONS):
            if not self.is_up:
                return
            self._reply(packet, ACK, seq, flow.expected, answer)
            await asyncio.sleep(wait_s)
            wait_s = min(MAX_RETRANSMIT_S, wait_s * 2)

    def _reply(self, packet, flags, seq, ack, data=b""):
        reply = pack(
            flags,
            (packet.dst, packet.dport),
            (packet.src, packet.sport),
            packet.echo,
            seq & MASK,
            ack & MASK,
            data,
        )
        address = socket.inet_ntoa(packet.src[::-1]), self.site.ports["packets"]
        self._endpoint.send(reply, address)


class ResetError(Exception):
    """A flow was reset, by the system or by a host."""


class Flow:
    """A client's end of one flow."""

    def __init__(self, client, route, port):
        self.client = client
        self.source = client.wire, port
        self.destination = wire_address(route[0]), route[1]
        self.echo = 0
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.is_open = False
        self.opened_at = None
        self.reset_by = None
        self._event = asyncio.Event()
        self._answer = None
        # The end of the request, until the host acknowledges it.
        self._unacknowledged = None

    @property
    def port(self):
        """The client's port of this flow."""
        return self.source[1]

    async def open(self):
        """Open the flow; return whether that worked."""
        started = time.monotonic()
        self.client.site.record.write("opening sent", port=self.port)
        for copy, until_s in enumerate((*SYN_COPIES_S, OPEN_TIMEOUT_S)):
            self._send(SYN, ack=copy)
            while not (self.is_open or self.reset_by):
                left_s = started + until_s - time.monotonic()
                if left_s <= 0:
                    break
                await self._wait(left_s)
            if self.is_open or self.reset_by:
                break
        return self.is_open

    async def ask(self, name, deadline_s=2.0):
        """Send a request; return the answer, or None at the deadline."""
        data = (
            f"POST /x HTTP/1.1\r\nHost: x\r\nKumquatshift-Request-Id: {name}\r\n"
            f"Content-Length: 0\r\n\r\n"
        ).encode()
        site = self.client.site
        site.record.write("request sent", request=name, port=self.port)
        ends_at, wait_s = time.monotonic() + deadline_s, FIRST_RETRANSMIT_S
        self._answer = None
        seq = self.seq
        self._unacknowledged = (seq + len(data)) & MASK
        while self._answer is None and time.monotonic() < ends_at:
            if self._unacknowledged is not None:
                self._send(ACK, seq=seq, data=data)
            due = min(time.monotonic() + wait_s, ends_at)
            while self._answer is None and time.monotonic() < due:
                if self.reset_by:
                    raise ResetError(self.reset_by)
                await self._wait(due - time.monotonic())
            wait_s = min(MAX_RETRANSMIT_S, wait_s * 2)
        if self.reset_by:
            raise ResetError(self.reset_by)
        if self._answer is not None:
            self.seq = (seq + len(data)) & MASK
            site.record.write("answered", request=name)
        return self._answer

    def close(self):
        """Close the flow."""
        if self.is_open and not self.reset_by:
            self._send(FIN | ACK)
        self.client.flows.pop(self.port, None)

    async def wait_reset(self, seconds):
        """Wait, at most until the flow is reset."""
        ends_at = time.monotonic() + seconds
        while not self.reset_by and time.monotonic() < ends_at:
            await self._wait(ends_at - time.monotonic())

    async def _wait(self, seconds):
        self._event.clear()
        try:
            await asyncio.wait_for(self._event.wait(), max(0.001, seconds))
        except TimeoutError:
            return

    def receive(self, packet):
        """Handle a packet for this flow."""
        if packet.flags & RST:
            self._receive_reset(packet)
            return
        self.echo = packet.echo
        if packet.flags & SYN:
            if not self.is_open:
                self.is_open = True
                self.opened_at = self.client.site.record.now()
                self.seq = packet.ack
                self.ack = (packet.seq + 1) & MASK
                self._send(ACK)
            self._event.set()
            return
        if packet.ack == self._unacknowledged:
            self._unacknowledged = None
        if packet.data:
            if packet.seq == self.ack:
                self.ack = (packet.seq + len(packet.data)) & MASK
                self._answer = packet.data
            self._send(ACK, seq=packet.ack)
        self._event.set()

    def _receive_reset(self, packet):
        by = "system" if packet.sum == 0 else "host"
        distance = min((packet.seq - self.ack) & MASK, (self.ack - packet.seq) & MASK)
        if self.is_open and by == "system" and distance > RESET_WINDOW:
            return
        self.reset_by = by
        self.client.site.note_reset(self, by)
        self._event.set()

    def _send(self, flags, seq=None, ack=None, data=b""):
        packet = pack(
            flags,
            self.source,
            self.destination,
            self.echo,
            self.seq if seq is None else seq,
            self.ack if ack is None else ack,
            data,
        )
        self.client.site.route_packet(self, packet)


class Client:
    """A client address in a zone, with any number of flows."""

    def __init__(self, site, zone, ip):
        self.site = site
        self.zone = zone
        self.ip = ip
        self.wire = wire_address(ip)
        self.flows = {}
        self._ports = itertools.count(20_001)
        self.endpoint = None

    async def start(self):
        """Open the socket."""
        address = self.ip, self.site.ports["packets"]
        self.endpoint = await open_endpoint(address, self._receive)

    def flow(self, route):
        """Return a new flow from a new port, not opened yet."""
        port = next(self._ports)
        flow = self.flows[port] = Flow(self, route, port)
        return flow

    def _receive(self, data):
        packet = Packet(data)
        flow = self.flows.get(packet.dport)
        if flow is not None and (packet.src, packet.sport) == flow.destination:
            flow.receive(packet)


class EntryProcess:
    """One entry of the system."""

    def __init__(self, site, name, zone, ip, seeds=()):
        self.site = site
        self.name = name
        self.zone = zone
        self.ip = ip
        self.seeds = seeds
        self.process = None
        self.is_ready = False
        self._misses = 0
        self._log = None

    def start(self):
        """Start the process with the command of the deploy file."""
        settings = self.site.folder / f"{self.name}.ini"
        settings.write_text(self._settings(), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        self._log = open(self.site.folder / f"{self.name}.log", "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "KUMQUATSHIFT_BOOT": str(settings),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )
        self.site.record.write("entry started", entry=self.name)

    def send(self, number):
        """Send a signal to the process."""
        self.site.record.write(
            "signal", entry=self.name, signal=signal.Signals(number).name
        )
        self.process.send_signal(number)

    def end(self):
        """Kill the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self._log is not None:
            self._log.close()

    def events(self):
        """Return the lines of the process's log."""
        text = (self.site.folder / f"{self.name}.log").read_text()
        return [json.loads(each) for each in text.splitlines() if each[:1] == "{"]

    async def probe(self):
        """Call the readiness page, as the platform does twice a second."""
        while True:
            is_up = await self._call()
            self._misses = 0 if is_up else self._misses + 1
            was_ready = self.is_ready
            self.is_ready = is_up or (self.is_ready and self._misses < 2)
            if was_ready != self.is_ready:
                self.site.record.write("rotation", entry=self.name, used=self.is_ready)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _call(self):
        if self.process is None:
            return False
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.site.ports["ready"]), 0.4
            )
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def _settings(self):
        ports = self.site.ports
        values = {
            "nodeName": self.name,
            "zone": self.zone,
            "listen.datagramAddr": f"{self.ip}:{ports['packets']}",
            "listen.readyAddr": f"{self.ip}:{ports['ready']}",
            "listen.control": f"{self.ip}:{ports['control']}",
            "seeds": ",".join(f"{ip}:{ports['control']}" for ip in self.seeds),
            "limits.linkMbps": "1000.0",
            "platform.address": "{}:{}".format(*self.site.store_address),
            **{f"bounds.{name}": str(value) for name, value in BOUNDS.items()},
        }
        template = (ROOT / "deploy/entry.ini").read_text()
        return re.sub(r"\{\{([^}]*)\}\}", lambda m: values[m.group(1)], template)


class Site:
    """All parts of a deployment; to be used with ``async with``."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.numbers = itertools.count(1)
        self.store = Store()
        self.hosts = []
        self.clients = []
        self.entries = []
        self.reset_listeners = []
        self._probes = []
        self.ports = dict(
            zip(
                ("packets", "ready", "control", "host", "store"),
                _free_ports(5),
                strict=True,
            )
        )
        self.store_address = "127.77.0.1", self.ports["store"]

    async def __aenter__(self):
        await self.store.start(self.store_address)
        return self

    async def __aexit__(self, *exc):
        for entry in self.entries:
            entry.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def add_host(self, service, zone, **options):
        """Start a host."""
        host = Host(self, service, zone, f"127.77.2.{len(self.hosts) + 1}", **options)
        self.hosts.append(host)
        await host.start()
        return host

    async def add_client(self, zone):
        """Open a client address."""
        client = Client(self, zone, f"127.77.3.{len(self.clients) + 1}")
        self.clients.append(client)
        await client.start()
        return client

    def add_entry(self, zone, seeds=()):
        """Start an entry; ``seeds`` are addresses of others."""
        number = len(self.entries) + 1
        ip = self.entry_ip(number)
        entry = EntryProcess(self, f"edge-{zone}-{number}", zone, ip, seeds)
        self.entries.append(entry)
        entry.start()
        self._probes.append(asyncio.get_running_loop().create_task(entry.probe()))
        return entry

    @staticmethod
    def entry_ip(number):
        """Return the address of the entry of this number, from 1."""
        return f"127.77.1.{number}"

    async def wait_ready(self, count, seconds=10.0):
        """Wait until this many entries are in rotation."""
        ends_at = time.monotonic() + seconds
        while sum(entry.is_ready for entry in self.entries) < count:
            if time.monotonic() > ends_at:
                raise CaseError("entries did not get ready")
            await asyncio.sleep(0.05)

    def rotation(self, zone):
        """Return the entries that the routers use for clients of a zone."""
        own = [entry for entry in self.entries if entry.zone == zone]
        ready = [entry for entry in own if entry.is_ready]
        if not ready:
            ready = [entry for entry in self.entries if entry.is_ready]
        elif 2 * len(ready) < len(own):
            ready = own
        return ready

    def entry_of(self, flow):
        """Return the entry that gets the packets of a flow now."""
        rotation = self.rotation(flow.client.zone)
        if not rotation:
            return None
        text = repr((flow.source, flow.destination)).encode()
        return rotation[zlib.crc32(text) % len(rotation)]

    def route_packet(self, flow, packet):
        """Pass a client's packet to an entry."""
        entry = self.entry_of(flow)
        if entry is not None:
            flow.client.endpoint.send(packet, (entry.ip, self.ports["packets"]))

    def host_of(self, flow):
        """Return the live host that holds a flow open, or None."""
        key = (*flow.source, *flow.destination)
        for host in self.hosts:
            held = host.flows.get(key)
            if host.is_up and held is not None and held.is_open:
                return host
        return None

    def note_reset(self, flow, by):
        """Record a reset that a client got."""
        host = self.host_of(flow) if flow.is_open else None
        entry = self.entry_of(flow)
        self.record.write(
            "reset",
            port=flow.port,
            by=by,
            was_open=flow.is_open,
            live_host=host.id if host else None,
            entry=entry.name if entry else None,
        )
        for listener in self.reset_listeners:
            listener(flow, by, host)

    def configure(self, version, routes, services, warmup_per_s=4.0, timeout_ms=2000):
        """Write a manifest: ``routes`` by name, ``services`` by name."""
        self.store.put(
            "config",
            "main",
            {
                "version": version,
                "routes": [
                    {
                        "name": name,
                        "host": address,
                        "pathPrefix": f"/{port}/",
                        "type": "safe",
                        "timeoutMs": timeout_ms,
                        "targetLatencyMs": 500,
                        "priority": 1,
                        "service": service,
                        "attempts": 2,
                    }
                    for name, (address, port, service) in routes.items()
                ],
                "services": [
                    {
                        "name": name,
                        "healthPath": "/health",
                        "maxConns": max_conns,
                        "protocol": "h1",
                        "tls": False,
                        "warmupS": 2.0,
                        "warmupPerS": warmup_per_s,
                    }
                    for name, max_conns in services.items()
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            },
        )


def _free_ports(count):
    """Return ports that are free on all loopback addresses."""
    socks = []
    while len(socks) < count:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.bind(("127.0.0.1", 0))
        socks.append(sock)
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def main(folder, case):
    """Run a case and return the exit status: 1 if it found the rule broken."""
    disruption = sys.argv[1] if len(sys.argv) == 2 else None
    if disruption not in DISRUPTIONS:
        print(f"usage: case.py {'|'.join(DISRUPTIONS)}")
        return NOT_RUN
    has_trouble = DISRUPTIONS[disruption]
    record = Record(Path(folder) / "record.txt")

    async def run():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with Site(record) as site:
            return await case(site, has_trouble)

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as exc:
        print(f"not run: {exc!r}")
        traceback.print_exc()
        return NOT_RUN
    finally:
        record.close()
    for each in broken[:10]:
        print(each)
    print(f"{len(broken)} breaks" if broken else "the rule held")
    return BROKEN if broken else HELD


def exit_with(file, case):
    """Run the case of a script and exit with its status."""
    sys.exit(main(Path(file).resolve().parent, case))
