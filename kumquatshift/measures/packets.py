"""Benchmarks of the packet path: packets per second, memory and cost per flow.

Batches over each path of an entry alternate with batches over a bare Twisted UDP
relay, so that other load on the machine affects both alike; results are medians.
"""

import random
import time
import tracemalloc
from collections.abc import Callable
from statistics import median

import dpkt

from ..adapters.envelope import decode, encode
from ..engine import packets as offsets
from ..engine.flows import FlowTable
from ..engine.messages import Direction, Record, Relay
from ..engine.ring import bucket_of
from .measure import Measure, at_least, at_most, reported
from .packet_paths import (
    BATCH_PACKETS,
    ForwardingPath,
    PathBenchmark,
    answer_to,
    caller_packet,
)

SEED = 14
FLOWS = 1000
ROUNDS = 200
HELD_FLOWS = (1_000, 30_000, 300_000)
HELD_FLOW_LABELS = ("1k", "30k", "300k")
HELD_ROUNDS = 100
MIN_PPS_RATIO = 0.5
MAX_COST_GROWTH = 1.25
TRACED_FLOWS = 100_000
PARSED_PACKETS = 20_000


def measure_paths() -> tuple[Measure, ...]:
    """Time the paths through an entry against a bare relay."""
    with PathBenchmark() as benchmark:
        primary = benchmark.flows_of_primary(FLOWS)
        others = benchmark.flows_of_others(FLOWS)
        benchmark.insert_flows(primary)
        paths = {
            benchmark.bare: primary,
            benchmark.home: primary,
            benchmark.answers: [answer_to(packet) for packet in primary],
            benchmark.relayed: others,
        }
        times = time_paths(benchmark, paths, ROUNDS)
    bare, home, answers, relayed = times.values()
    return (
        at_least("pps_ratio_home", median_ratio(bare, home), MIN_PPS_RATIO),
        at_least("pps_ratio_home_answers", median_ratio(bare, answers), MIN_PPS_RATIO),
        reported("pps_ratio_relay", median_ratio(bare, relayed)),
        reported("pps_bare_relay", 1 / median(bare)),
        reported("pps_home", 1 / median(home)),
    )


def measure_growth() -> tuple[Measure, ...]:
    """Time packets at their primary, with flow tables of growing size.

    The cost of a packet is taken relative to the bare relay in the same rounds,
    since the three sizes are timed one after another and the load of the machine
    may change in between.
    """
    with PathBenchmark() as benchmark:
        packets = benchmark.flows_of_primary(max(HELD_FLOWS))
        found = [_home_cost(benchmark, packets[:held]) for held in HELD_FLOWS]
    costs = [cost for cost, _packet_s in found]
    each_us = [
        reported(f"packet_us_at_{name}_flows", 1e6 * packet_s)
        for name, (_cost, packet_s) in zip(HELD_FLOW_LABELS, found, strict=True)
    ]
    growth = max(costs) / costs[0]
    return (at_most("packet_cost_growth", growth, MAX_COST_GROWTH), *each_us)


def measure_memory() -> tuple[Measure, ...]:
    """Measure the memory that the flow table allocates for 100,000 flows.

    The record of a flow opened by this entry shares the target name string with
    the configuration; a record received from another entry has its own decoded
    copy of it.
    """
    opened = _traced_bytes(_opened_record) / TRACED_FLOWS
    copied = _traced_bytes(_copied_record) / TRACED_FLOWS
    return (
        reported("bytes_per_flow", opened),
        reported("bytes_per_copied_flow", copied),
    )


def measure_parsing() -> tuple[Measure, ...]:
    """Time parsing by fixed offsets, and dpkt parsing the same fields."""
    packets = [caller_packet(each) for each in range(PARSED_PACKETS)]
    fixed_s = _time_each(_read_offsets, packets)
    dpkt_s = _time_each(_read_dpkt, packets)
    return (
        reported("parse_us_offsets", 1e6 * fixed_s),
        reported("parse_us_dpkt", 1e6 * dpkt_s),
    )


def time_paths(
    benchmark: PathBenchmark, paths: dict[ForwardingPath, list[bytes]], rounds: int
) -> dict[ForwardingPath, list[float]]:
    """Return the seconds per packet of each path in every round.

    The paths alternate within a round.
    """
    rng = random.Random(SEED)
    times: dict[ForwardingPath, list[float]] = {path: [] for path in paths}
    for _ in range(rounds):
        for path, packets in paths.items():
            batch = rng.choices(packets, k=BATCH_PACKETS)
            times[path].append(benchmark.time_batch(path, batch) / BATCH_PACKETS)
    return times


def median_ratio(some: list[float], others: list[float]) -> float:
    """Return the median of the ratios of the rounds."""
    return median(one / other for one, other in zip(some, others, strict=True))


def _home_cost(benchmark, packets):
    """Return the cost of a packet, relative to the bare relay and in seconds."""
    benchmark.insert_flows(packets)
    paths = {benchmark.bare: packets, benchmark.home: packets}
    bare, home = time_paths(benchmark, paths, HELD_ROUNDS).values()
    return median_ratio(home, bare), median(home)


def _traced_bytes(make_record: Callable[[bytes], Record]) -> int:
    packets = [caller_packet(each) for each in range(TRACED_FLOWS)]
    table = FlowTable()
    tracemalloc.start()
    for packet in packets:
        record = make_record(offsets.flow_key(packet))
        table.put(record, bucket_of(record.key), 0.0)
    held_bytes, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held_bytes


def _opened_record(key):
    return Record(key, "t1", 1, 0)


def _copied_record(key):
    relay = Relay(b"", Direction.TO_TARGET, record=_opened_record(key))
    _sender, message = decode(encode("e1", relay))
    return message.record


def _time_each(read: Callable[[bytes], object], packets: list[bytes]) -> float:
    started = time.perf_counter()
    for packet in packets:
        read(packet)
    return (time.perf_counter() - started) / len(packets)


def _read_offsets(packet):
    return (
        offsets.check(packet),
        offsets.destination(packet),
        offsets.flow_key(packet),
        offsets.tcp_flags(packet),
    )


def _read_dpkt(packet):
    ip = dpkt.ip.IP(packet)
    segment = ip.data
    return ip.src, ip.dst, ip.p, segment.sport, segment.dport


MEASURES = (measure_paths, measure_growth, measure_memory, measure_parsing)
