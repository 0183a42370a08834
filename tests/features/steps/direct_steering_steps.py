import random

from behave import given, then, when

from kumquatshift.direct.flows import FlowTable
from kumquatshift.direct.packets import Reason
from kumquatshift.direct.routes import (
    Configuration,
    Route,
    RouteTable,
    Share,
    service_for_flow,
)
from kumquatshift.direct.targets import Report, TargetTable
from kumquatshift.platform.packets import ACK, RST, SYN, encode_destination
from kumquatshift.standins.direct_flows import Outcome, PacketHeader
from tests.support.direct_site import DESTINATION, DirectSite, load

OTHER_ADDRESS = ("198.18.0.2", 8443)
UNROUTED = ("198.18.0.9", 1)


@given("a direct site of entries in {domains} with {a:d} targets in a and {b:d} in b")
def step_site(context, domains, a, b):
    context.direct = site = DirectSite()
    for domain in domains.split(", "):
        site.add_entry(domain)
    for number in range(a):
        site.add_target(f"a{number}", "a")
    for number in range(b):
        site.add_target(f"b{number}", "b")
    context.callers = []
    context.results = []


@given("its entries have lost contact to the store")
def step_lost(context):
    for entry in context.direct.entries:
        entry.steering.knows_all_routes = lambda now: False


@when("{count:d} callers send {per_s:g} requests a second for {seconds:g} s")
def step_load(context, count, per_s, seconds):
    missing = count - len(context.callers)
    context.callers += [context.direct.add_caller() for _ in range(missing)]
    context.results += load(context.direct, context.callers, per_s, seconds)


@when("the same callers send {per_s:g} requests a second for {seconds:g} s")
def step_same_load(context, per_s, seconds):
    context.results += load(context.direct, context.callers, per_s, seconds)


@when("another entry starts in {domain} with only the store's list")
def step_entry_starts(context, domain):
    context.direct.add_entry(domain)


@when("the first entry fails")
def step_entry_fails(context):
    context.direct.entries.pop(0).is_up = False


@when("the route moves to another service, and all entries restart")
def step_route_moves(context):
    site = context.direct
    domains = [entry.domain for entry in site.entries]
    site.entries.clear()
    site.add_target("other", "a", service="stock")
    site.configure(service="stock", version=2)
    for domain in domains:
        site.add_entry(domain)


@when("the first target drains for {seconds:g} s and leaves the list")
def step_drain(context, seconds):
    site = context.direct
    site.drain("a0")
    site.run(seconds, 0.01)
    site.target("a0").is_unresponsive = True
    site.unlist("a0")


@when("the first target fails before another entry takes over")
def step_gone_before(context):
    site = context.direct
    site.target("a0").is_unresponsive = True
    site.unlist("a0")
    site.entries.clear()
    site.add_entry("a")


@then("every request was answered at its first try")
def step_first_try(context):
    bad = [r for r in context.results if r.outcome is not Outcome.ANSWERED]
    assert context.results and not bad, bad[:3]
    assert all(r.tries == 1 for r in context.results)


@then("every request was answered within {limit:g} s")
def step_within(context, limit):
    bad = [
        r
        for r in context.results
        if r.outcome is not Outcome.ANSWERED or r.took_s > limit
    ]
    assert context.results and not bad, (len(bad), bad[:3])


@then("no target received a packet of a flow unknown to it")
def step_no_unknown_flows(context):
    unknown = {t.key: t.unknown_flow_packets for t in context.direct.targets.values()}
    assert not any(unknown.values()), unknown


def make_packet(site, kind):
    """Return a packet of the given kind."""
    address = encode_destination(
        *(UNROUTED if "without a route" in kind else DESTINATION)
    )
    source = encode_destination("100.64.0.1", 0)[:4]
    port = int.from_bytes(address[4:], "little")
    flags = SYN if "a SYN without" in kind else ACK
    if "SYN-ACK" in kind:
        flags = SYN | ACK
    echo = 0
    if "random" in kind:
        echo = 0xDEADBEEF
    target = next(iter(site.entries[0].site.targets))
    if "another address" in kind:
        echo = target.cookie(encode_destination(*OTHER_ADDRESS))
    if "earlier start" in kind:
        earlier = Report(
            target.name, b"k" * 8, 0, target.service, "a", target.address, 2
        )
        echo = TargetTable().put(earlier, 0.0).cookie(address)
    data = b"" if flags & SYN else b"GET / HTTP/1.1"
    head = PacketHeader(
        flags, source, 4000, address[:4], port, echo=echo, seq=77, ack=1234
    )
    packet = head.pack(data)
    if kind == "cut short":
        return packet[:20]
    return packet + b"more" if "longer" in kind else packet


@when("an entry receives a packet that is {kind}")
def step_packet(context, kind):
    site = context.direct
    entry = site.entries[0]
    context.sent = sent = []
    site.from_entry = lambda data, address: sent.append((data, address))
    entry.port._sock._send = lambda data, address: sent.append((data, address))
    entry.receive(make_packet(site, kind))


@then("the entry answers with a reset")
def step_reset(context):
    ((data, address),) = context.sent
    head = PacketHeader.unpack(data)
    assert data[:4] == bytes(4), "the checksum of a reset is 0"
    assert head.flags == RST and address == ("100.64.0.1", 6080)
    assert head.destination_port == 4000
    is_for_syn = head.seq == 0
    assert is_for_syn or abs(head.seq - 1234) <= 76_800


@then("the entry answers with a drop for {reason}")
def step_drop(context, reason):
    assert context.sent == []
    assert context.direct.entries[0].port.drops[Reason(reason)] == 1


@then("no target received a packet")
def step_none(context):
    assert all(address[1] != 8000 for _, address in context.sent)


@when("a caller opens a flow whose first SYN-ACK takes {late_s:g} s")
def step_late_answer(context, late_s):
    site = context.direct
    context.caller = caller = site.add_caller()
    slow = site.target("a0")
    send = slow.send

    def send_late(packet):
        is_syn = PacketHeader.unpack(packet).flags & SYN
        site.clock.callLater(late_s if is_syn else 0, send, packet)

    slow.send = send_late
    # The SYN retransmitted at 0.6 s goes to the other, less loaded target.
    caller.ask(b"one")
    site.run(3)


@then("its request runs at one target, and its caller receives no reset")
def step_one_run(context):
    runs = [len(t.runs) for t in context.direct.targets.values()]
    assert sum(runs) == 1, runs
    assert context.caller.resets == 0
    assert context.caller.requests[0].outcome is Outcome.ANSWERED


@given("two entries with a route to {weights}")
def step_weights(context, weights):
    pairs = [each.split(" ") for each in weights.split(", ")]
    context.weights = {name: float(weight) for name, weight in pairs}
    shares = tuple(Share(name, weight) for name, weight in context.weights.items())
    context.route = Route("r", b"place!", shares)


@when("{count:d} flows are placed on each")
def step_place(context, count):
    rng = random.Random(5)
    flows = [rng.randbytes(12) for _ in range(count)]
    context.first = [service_for_flow(context.route, flow) for flow in flows]
    context.second = [service_for_flow(context.route, flow) for flow in flows]


@then("both place each flow alike, within {margin:g} of the weights")
def step_alike(context, margin):
    assert context.first == context.second
    total = sum(context.weights.values())
    for name, weight in context.weights.items():
        found = context.first.count(name) / len(context.first)
        assert abs(found - weight / total) <= margin, (name, found)


@when("configurations arrive in the order {versions}")
def step_versions(context, versions):
    context.routes = RouteTable()
    for version in versions.split(", "):
        context.routes.put(Configuration(int(version), (), 15.0))


@then("version {version:d} is in force")
def step_version(context, version):
    assert context.routes.version == version


@when("{count:d} flows are added to a table for {limit:d}")
def step_table(context, count, limit):
    context.flows = FlowTable(limit)
    report = Report("t", b"k" * 8, 1, "s", "a", ("10.0.0.1", 1), 2)
    context.target = TargetTable().put(report, 0.0)
    for number in range(count):
        context.flows.add(number.to_bytes(12, "big"), context.target, number / 100)


@then("it holds the last {held:d} and has evicted {evicted:d}")
def step_evictions(context, held, evicted):
    assert len(context.flows) == held
    assert context.flows.evicted == evicted
    assert context.flows.get((299).to_bytes(12, "big")) is not None


@then("the target counts only the flows in the table")
def step_flow_count(context):
    assert context.target.flows == len(context.flows)
