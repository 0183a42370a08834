"""IPv4/UDP datagrams as bytes: what they carry, and datagrams made from them."""

import struct
from dataclasses import dataclass

import dpkt
from returns.result import Failure as Err, Result, Success

from ..errors import ErrorKind, Failure

IP_HEADER_MIN_BYTES = 20
UDP_HEADER_BYTES = 8
WORD_BYTES = 4
FRAGMENT_MASK = 0x3FFF


@dataclass(frozen=True, slots=True)
class Datagram:
    """The UDP payload of one IPv4 packet, and where in the packet it starts."""

    packet: bytes
    offset: int
    payload: bytes


def read_datagram(packet: bytes) -> Result[Datagram, Failure]:
    """Read the UDP payload of a whole IPv4 packet.

    Fragments and anything but UDP are bad input. The payload is cut at the
    length that the UDP header states (RFC 768), so trailing bytes are ignored.
    """
    if len(packet) < IP_HEADER_MIN_BYTES + UDP_HEADER_BYTES or packet[0] >> 4 != 4:
        return _bad("packet is not IPv4 with a UDP header")
    header = (packet[0] & 0x0F) * WORD_BYTES
    if header < IP_HEADER_MIN_BYTES or packet[9] != dpkt.ip.IP_PROTO_UDP:
        return _bad("packet is not UDP")
    if int.from_bytes(packet[6:8]) & FRAGMENT_MASK:
        return _bad("packet is a fragment")
    offset = header + UDP_HEADER_BYTES
    end = header + int.from_bytes(packet[header + 4 : header + 6])
    if not offset <= end <= len(packet):
        return _bad("UDP length does not match the packet")
    return Success(Datagram(packet, offset, packet[offset:end]))


def with_payload(datagram: Datagram, payload: bytes) -> bytes:
    """Return the same packet with another payload, lengths and sums renewed."""
    if payload == datagram.payload:
        return datagram.packet
    ip = dpkt.ip.IP(datagram.packet)
    udp = ip.data
    return _packed(ip.src, ip.dst, udp.sport, udp.dport, payload, ip.ttl)


def answer_packet(flow: bytes, payload: bytes) -> bytes:
    """Return a packet to the caller of ``flow``, as from the service's address.

    The flow key is the caller's address, the service's, the two ports and the
    protocol number, 13 bytes in all.
    """
    src, dst, sport, dport, _ = struct.unpack("!4s4sHHB", flow)
    return _packed(dst, src, dport, sport, payload)


def _packed(src, dst, sport, dport, payload, ttl=64):
    udp = dpkt.udp.UDP(
        sport=sport, dport=dport, ulen=UDP_HEADER_BYTES + len(payload), data=payload
    )
    ip = dpkt.ip.IP(src=src, dst=dst, p=dpkt.ip.IP_PROTO_UDP, ttl=ttl, data=udp)
    return bytes(ip)


def _bad(message):
    return Err(Failure(ErrorKind.BAD_INPUT, message))
