"""Times batches of packets over forwarding paths between UDP sockets on loopback.

A batch is queued in the receiving socket before the clock starts, so that the time
is that of the forwarding alone, without that of the sender. Every packet of a
batch has to arrive.
"""

import asyncio
import random
import socket
import time
from dataclasses import dataclass

from twisted.internet.asyncioreactor import AsyncioSelectorReactor
from twisted.internet.protocol import DatagramProtocol
from twisted.internet.udp import Port

from ..adapters.control import ControlClient
from ..adapters.driver import EntryDriver
from ..engine.entry import EntryConfig, EntryEngine
from ..engine.members import Vm
from ..engine.messages import EntryState, Heartbeat, Record
from ..engine.objects import Domain, Kind, Profile, Protocol, Service, Target, Versioned
from ..engine.packets import PROTOCOL_UDP, flow_key
from ..engine.ring import bucket_of
from ..keys import Sealer
from ..settings import EntrySettings

ENTRY = "127.14.1.{}"
TARGET_ADDRESS = "127.14.2.1"
FABRIC_ADDRESS = "127.14.3.1"
RELAY_ADDRESS = "127.14.4.1"
SERVICE_ADDRESS = "127.14.9.1"
ENTRIES = 9
DOMAINS = ("north-a", "north-b", "north-c", "north-d")
PACKET_PORT = 6080
PEER_PORT = 7100
TARGET_PORT = 6090
SERVICE_PORT = 443
SERVICE_VERSION = 10
BATCH_PACKETS = 100
MAX_LOOP_PASSES = 3
STEPS_PER_LOOP_PASS = 10_000
MAX_DATAGRAM_BYTES = 65535
KEY = b"packets of a measure, 32 bytes.."
PAYLOAD = b"payload!" * 8
IP_AND_UDP_BYTES = 28

SETTINGS = f"""
[entry]
name = e1
domain = {DOMAINS[0]}
address = {ENTRY.format(1)}
[fabric]
address = {FABRIC_ADDRESS}
"""


class BareRelay(DatagramProtocol):
    """Forwards each datagram to one address: the least work possible in Twisted."""

    def __init__(self, endpoint: tuple[str, int]):
        self._destination = endpoint

    def datagramReceived(self, datagram, addr):  # noqa: N802
        """Forward a datagram."""
        self.transport.write(datagram, self._destination)


def udp_packet(src: bytes, sport: int, dst: bytes, dport: int) -> bytes:
    """Return an IPv4 UDP packet with a payload of 64 bytes."""
    size = IP_AND_UDP_BYTES + len(PAYLOAD)
    header = bytes([0x45, 0]) + size.to_bytes(2, "big") + bytes(4)
    header += bytes([64, PROTOCOL_UDP, 0, 0]) + src + dst
    ports = sport.to_bytes(2, "big") + dport.to_bytes(2, "big")
    return header + ports + (8 + len(PAYLOAD)).to_bytes(2, "big") + bytes(2) + PAYLOAD


def caller_packet(number: int) -> bytes:
    """Return a packet to the service from the caller with this number."""
    src = (10 << 24 | number >> 12).to_bytes(4, "big")
    dst = socket.inet_aton(SERVICE_ADDRESS)
    return udp_packet(src, 1024 + (number & 0xFFF), dst, SERVICE_PORT)


def answer_to(packet: bytes) -> bytes:
    """Return the packet that answers a caller's packet."""
    sport = int.from_bytes(packet[20:22], "big")
    return udp_packet(packet[16:20], SERVICE_PORT, packet[12:16], sport)


def site_objects() -> list[Versioned]:
    """Return the configuration: one UDP service with one target per domain."""
    service = Service("till", SERVICE_ADDRESS, SERVICE_PORT, Protocol.UDP, "long")
    bodies = [(Kind.PROFILE, Profile("long")), (Kind.SERVICE, service)]
    bodies += [(Kind.DOMAIN, Domain(name)) for name in DOMAINS]
    bodies += [
        (Kind.TARGET, Target(f"t-{name}", "till", name, TARGET_ADDRESS, TARGET_PORT))
        for name in DOMAINS
    ]
    return [
        Versioned(kind, body.name, SERVICE_VERSION + number, body, SERVICE_VERSION)
        for number, (kind, body) in enumerate(bodies)
    ]


def entry_vms() -> tuple[Vm, ...]:
    """Return nine entries in four failure domains, as in users' deployments."""
    return tuple(
        Vm(f"e{number}", DOMAINS[number % len(DOMAINS)], ENTRY.format(number))
        for number in range(1, ENTRIES + 1)
    )


@dataclass(frozen=True)
class ForwardingPath:
    """A path to time: the address that packets are sent to, and the output sockets."""

    name: str
    input_endpoint: tuple[str, int]
    output_sockets: tuple[socket.socket, ...]


class PathBenchmark:
    """A bare relay and entry e1 of nine, on one reactor.

    The other entries are sockets that only receive::

        with PathBenchmark() as benchmark:
            benchmark.insert_flows(benchmark.flows_of_primary(1000))
            seconds = benchmark.time_batch(benchmark.home, packets)
    """

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self._loop)
        self._reactor = AsyncioSelectorReactor(self._loop)
        self._sockets: list[socket.socket] = []
        self._open_paths()
        self._sender = self._socket((FABRIC_ADDRESS, 0))
        self._reactor.listenUDP(
            PACKET_PORT, BareRelay((TARGET_ADDRESS, TARGET_PORT)), RELAY_ADDRESS
        )
        self.engine = self._start_entry()
        self._heartbeat_sequence = 0
        self._next_heartbeat_at = 0.0
        self._deliver_heartbeats()

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        for call in self._reactor.getDelayedCalls():
            call.cancel()
        readers = self._reactor.getReaders()
        closed = [each.stopListening() for each in readers if isinstance(each, Port)]
        while not all(each.called for each in closed):
            self.run_loop_once()
        for each in self._sockets:
            each.close()
        self._loop.close()
        asyncio.set_event_loop(None)

    def insert_flows(self, packets: list[bytes]) -> None:
        """Replace the flow table by the flows of these packets, fully replicated."""
        node = self.engine.node
        now = node.clock.seconds()
        table, targets = node.flows, sorted(node.store.targets)
        for key in list(table.flows):
            table.remove(key)
        for number, packet in enumerate(packets):
            key = flow_key(packet)
            target = targets[number % len(targets)]
            record = Record(key, target, SERVICE_VERSION, int(now * 1000))
            flow = table.put(record, bucket_of(key), now)
            flow.holders = node.members.ring.holders(flow.bucket)
            flow.replicated_at = now
            flow.fully_replicated = True
            self._keep_running(number)

    def flows_of_primary(self, number: int) -> list[bytes]:
        """Return packets of flows whose primary is the entry."""
        return self._flows(number, self._is_primary)

    def flows_of_others(self, number: int) -> list[bytes]:
        """Return packets of flows of which the entry is not a holder."""
        return self._flows(number, self._is_not_holder)

    def time_batch(self, path: ForwardingPath, packets: list[bytes]) -> float:
        """Return the seconds that it took to forward a batch."""
        self._deliver_heartbeats()
        self.run_loop_once()
        self._drain_sockets()
        for packet in packets:
            self._sender.sendto(packet, path.input_endpoint)
        elapsed_s, arrived = 0.0, 0
        for _ in range(MAX_LOOP_PASSES):
            started = time.perf_counter()
            self.run_loop_once()
            elapsed_s += time.perf_counter() - started
            arrived += sum(_drain_socket(each) for each in path.output_sockets)
            if arrived >= len(packets):
                return elapsed_s
        raise RuntimeError(f"{path.name}: {arrived} of {len(packets)} packets arrived")

    def run_loop_once(self) -> None:
        """Run one pass of the event loop."""
        self._loop.call_soon(self._loop.stop)
        self._loop.run_forever()

    def _open_paths(self):
        target = self._socket((TARGET_ADDRESS, TARGET_PORT))
        fabric = self._socket((FABRIC_ADDRESS, PACKET_PORT))
        peers = [
            self._socket((vm.address, PEER_PORT))
            for vm in entry_vms()
            if vm.name != "e1"
        ]
        input_endpoint = (ENTRY.format(1), PACKET_PORT)
        self.bare = ForwardingPath(
            "bare relay", (RELAY_ADDRESS, PACKET_PORT), (target,)
        )
        self.home = ForwardingPath("home", input_endpoint, (target,))
        self.answers = ForwardingPath("answers", input_endpoint, (fabric,))
        self.relayed = ForwardingPath("relayed", input_endpoint, tuple(peers))

    def _socket(self, endpoint):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(endpoint)
        self._sockets.append(sock)
        return sock

    def _start_entry(self):
        vms = entry_vms()
        cfg = EntryConfig(vms[0], vms)
        engine = EntryEngine.from_config(cfg, self._reactor, random.Random(1), 1)
        settings = EntrySettings.from_text(SETTINGS).unwrap()
        control = ControlClient(_no_channel)
        driver = EntryDriver(settings, engine, self._reactor, Sealer(KEY), control)
        engine.objects(site_objects())
        engine.node.state = EntryState.LIVE
        driver.start()
        return engine

    def _deliver_heartbeats(self):
        """Deliver heartbeats of the other entries, at the heartbeat interval."""
        node = self.engine.node
        now = node.clock.seconds()
        if now < self._next_heartbeat_at:
            return
        self._next_heartbeat_at = now + node.timers.heartbeat_s
        self._heartbeat_sequence += 1
        for vm in entry_vms()[1:]:
            heartbeat = Heartbeat(
                vm.name,
                vm.domain,
                1,
                self._heartbeat_sequence,
                EntryState.LIVE,
                node.store.digest,
                vm.address,
                ("e1",),
            )
            self.engine.message(vm.name, heartbeat)

    def _keep_running(self, step):
        """Run the event loop every `STEPS_PER_LOOP_PASS` steps of long work.

        Otherwise the entry would mistake the time for a pause of its process.
        """
        if step % STEPS_PER_LOOP_PASS == 0:
            self._deliver_heartbeats()
            self.run_loop_once()

    def _flows(self, number, matches_holders):
        packets, caller = [], 0
        while len(packets) < number:
            packet = caller_packet(caller)
            caller += 1
            self._keep_running(caller)
            if matches_holders(self._holders(packet)):
                packets.append(packet)
        return packets

    def _holders(self, packet):
        ring = self.engine.node.members.ring
        return [each.name for each in ring.holders(bucket_of(flow_key(packet)))]

    def _is_primary(self, holders):
        return holders[0] == "e1"

    def _is_not_holder(self, holders):
        return "e1" not in holders

    def _drain_sockets(self):
        for each in self._sockets:
            _drain_socket(each)


def _drain_socket(sock):
    """Empty a socket; return how many of the benchmark's packets it held."""
    count = 0
    while True:
        try:
            count += PAYLOAD in sock.recv(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return count


def _no_channel(endpoint):
    raise RuntimeError(f"unexpected control channel to {endpoint} in a benchmark")
