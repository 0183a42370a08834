"""Differential test of the fixed-offset packet parsing against dpkt."""

import dpkt
from behave import then
from hypothesis import given as given_values, settings, strategies as st

from kumquatshift.engine import packets
from kumquatshift.engine.actions import DropReason

ADDRESSES = st.binary(min_size=4, max_size=4)
PORTS = st.integers(0, 65535)
OPTIONS_WORD = b"\x01\x01\x01\x00"


def ip_packet(src, dst, segment, protocol):
    """Return an IPv4 packet as dpkt encodes it."""
    packet = dpkt.ip.IP(src=src, dst=dst, p=protocol, data=segment)
    packet.len = len(packet)
    return bytes(packet)


@st.composite
def valid(draw):
    """Return a UDP or TCP packet with random fields."""
    src, dst = draw(ADDRESSES), draw(ADDRESSES)
    sport, dport = draw(PORTS), draw(PORTS)
    payload = draw(st.binary(max_size=64))
    if draw(st.booleans()):
        segment = dpkt.udp.UDP(sport=sport, dport=dport, data=payload)
        segment.ulen = len(segment)
        return ip_packet(src, dst, segment, dpkt.ip.IP_PROTO_UDP)
    flags = draw(st.integers(0, 255))
    segment = dpkt.tcp.TCP(sport=sport, dport=dport, flags=flags, data=payload)
    return ip_packet(src, dst, segment, dpkt.ip.IP_PROTO_TCP)


@st.composite
def changed(draw):
    """Return a packet with some bytes changed, mostly in its headers."""
    data = bytearray(draw(valid()))
    for _ in range(draw(st.integers(1, 4))):
        data[draw(st.integers(0, min(39, len(data) - 1)))] = draw(st.integers(0, 255))
    return bytes(data)


@st.composite
def resized(draw):
    """Return a packet truncated, padded or both."""
    data = draw(valid())
    return data[: draw(st.integers(0, len(data)))] + draw(st.binary(max_size=8))


SOURCES = {
    "UDP and TCP packets": valid(),
    "packets with changed bytes": changed(),
    "truncated or padded packets": resized(),
    "random bytes": st.binary(max_size=80),
}


def expected_drop(data):
    """Return why a packet is unsupported, judged by dpkt's parsing of it."""
    try:
        packet = dpkt.ip.IP(data)
    except (dpkt.UnpackError, ValueError):
        return DropReason.MALFORMED
    supported = packet.v == 4 and packet.hl == 5 and packet.len == len(data)
    if not supported or len(data) < 28:
        return DropReason.MALFORMED
    if packet.mf or packet.offset:
        return DropReason.FRAGMENT
    if packet.p not in (dpkt.ip.IP_PROTO_UDP, dpkt.ip.IP_PROTO_TCP):
        return DropReason.MALFORMED
    if packet.p == dpkt.ip.IP_PROTO_TCP and len(data) < 40:
        return DropReason.MALFORMED
    return None


def transport(packet):
    """Return dpkt's UDP or TCP header, parsed as a bare header where needed.

    dpkt leaves the payload as bytes if the TCP data offset points beyond the
    packet; ports and flags are at their offsets all the same.
    """
    if isinstance(packet.data, dpkt.udp.UDP | dpkt.tcp.TCP):
        return packet.data
    if packet.p == dpkt.ip.IP_PROTO_UDP:
        return dpkt.udp.UDP(packet.data)
    header = bytearray(packet.data[:20])
    header[12] = 0x50 | header[12] & 0x0F
    return dpkt.tcp.TCP(bytes(header))


def assert_same_parsing(data):
    """Compare every field that is read from one packet."""
    reason = packets.check(data)
    assert reason == expected_drop(data), (data.hex(), reason)
    if reason is not None:
        return
    packet = dpkt.ip.IP(data)
    segment = transport(packet)
    sport, dport = segment.sport.to_bytes(2, "big"), segment.dport.to_bytes(2, "big")
    protocol = bytes([packet.p])
    key = packet.src + packet.dst + sport + dport + protocol
    assert packets.flow_key(data) == key
    back = packet.dst + packet.src + dport + sport + protocol
    assert packets.reverse_key(data) == back
    assert packets.destination(data) == packet.dst + dport + protocol
    assert packets.source(data) == packet.src + sport + protocol
    is_tcp = packet.p == dpkt.ip.IP_PROTO_TCP
    assert packets.tcp_flags(data) == (segment.flags & 0xFF if is_tcp else 0)


UDP_PACKET = ip_packet(b"\x0a\x00\x00\x01", b"\x0a\x00\x00\x02", dpkt.udp.UDP(), 17)
TCP_PACKET = ip_packet(b"\x0a\x00\x00\x01", b"\x0a\x00\x00\x02", dpkt.tcp.TCP(), 6)


def with_byte(offset, value):
    """Return the UDP packet with one byte set."""
    return UDP_PACKET[:offset] + bytes([value]) + UDP_PACKET[offset + 1 :]


def with_length(data, size):
    """Return the first ``size`` bytes with a total length to match."""
    return data[:2] + size.to_bytes(2, "big") + data[4:size]


CASES = {
    "no bytes": b"",
    "a truncated header": with_length(UDP_PACKET, 27),
    "version 6": with_byte(0, 0x65),
    "IP options": with_byte(0, 0x46) + OPTIONS_WORD,
    "a total length too short": with_byte(3, 27),
    "a total length too long": with_byte(3, 29),
    "protocol ICMP": with_byte(9, 1),
    "a truncated TCP header": with_length(TCP_PACKET, 39),
    "the more-fragments flag": with_byte(6, 0x20),
    "a fragment offset of 1": with_byte(7, 1),
    "a fragment offset of 256": with_byte(6, 1),
}


@then("{number:d} {kind} get the flow keys and drop reasons that dpkt gives")
def step_differential(context, number, kind):
    @settings(max_examples=number, deadline=None, derandomize=True, database=None)
    @given_values(SOURCES[kind])
    def check(data):
        assert_same_parsing(data)

    check()


@then("a packet with {case} is dropped as {reason}")
def step_dropped(context, case, reason):
    assert packets.check(CASES[case]) == DropReason(reason)
