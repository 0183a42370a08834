from collections import Counter

from behave import given, then, when

from kumquatshift.engine.objects import Kind, Profile, Protocol, Service, Target
from kumquatshift.engine.packets import TCP_RST, TCP_SYN, tcp_flags
from tests.support.network import FakeNetwork, udp_packet

DOMAINS = ["a"] * 3 + ["b"] * 2 + ["c"] * 2 + ["d"] * 2
ADDRESS = bytes([10, 0, 0, 1])
PROTOCOL_TCP = 6


@given(
    "{count:d} targets behind nine entries, with a limit of {limit:d} connections each"
)
def step_site(context, limit, count):
    net = FakeNetwork(DOMAINS, seed=4)
    net.publish(Kind.PROFILE, "long", Profile("long"))
    service = Service("s", "10.0.0.1", 443, Protocol.TCP, "long")
    net.publish(Kind.SERVICE, "s", service)
    for number in range(count):
        name, host = f"t{number}", f"10.1.0.{number}"
        target = Target(name, "s", "a", host, 6080, connections=limit)
        net.publish(Kind.TARGET, name, target)
    net.run_until_ready()
    context.net = net


@when("callers open {count:d} TCP flows")
def step_flows(context, count):
    net = context.net
    for number in range(count):
        src = bytes([10, 9, number >> 8, number & 255])
        syn = udp_packet(src, 5000, ADDRESS, 443, protocol=PROTOCOL_TCP, flags=TCP_SYN)
        net.at(number * 0.01, net.spray, syn)
    net.run(count * 0.01 + 1)
    context.flows = count


@then("each target has from {low:d} to {high:d} connections")
def step_counts(context, low, high):
    hosts = Counter(host for _, _, host, _ in context.net.to_targets)
    assert len(hosts) == 2 and all(low <= n <= high for n in hosts.values()), hosts


@then("all other flows were reset at once")
def step_reset(context):
    accepted = len(context.net.to_targets)
    resets = [
        data for _, _, data in context.net.to_callers if tcp_flags(data) & TCP_RST
    ]
    assert accepted + len(resets) == context.flows, (accepted, len(resets))
