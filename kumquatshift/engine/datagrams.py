"""Parsing and building of IPv4/UDP datagrams."""

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
    """The UDP payload of an IPv4 packet, and its offset in the packet."""

    packet: bytes
    offset: int
    payload: bytes


def read_datagram(packet: bytes) -> Result[Datagram, Failure]:
    """Parse an IPv4 packet, and return its UDP datagram.

    Fragments and protocols other than UDP are bad input. The length in the UDP
    header (RFC 768) bounds the payload, so trailing bytes are ignored.
    """
    if len(packet) < IP_HEADER_MIN_BYTES + UDP_HEADER_BYTES or packet[0] >> 4 != 4:
        return _bad_input("packet is not IPv4, or too short for IPv4 and UDP headers")
    ip_header_bytes = (packet[0] & 0x0F) * WORD_BYTES
    if ip_header_bytes < IP_HEADER_MIN_BYTES or packet[9] != dpkt.ip.IP_PROTO_UDP:
        return _bad_input("packet has an invalid IPv4 header length, or is not UDP")
    if int.from_bytes(packet[6:8]) & FRAGMENT_MASK:
        return _bad_input("packet is an IPv4 fragment")
    offset = ip_header_bytes + UDP_HEADER_BYTES
    end = ip_header_bytes + int.from_bytes(
        packet[ip_header_bytes + 4 : ip_header_bytes + 6]
    )
    if not offset <= end <= len(packet):
        return _bad_input("UDP length does not fit the packet")
    return Success(Datagram(packet, offset, packet[offset:end]))


def with_payload(datagram: Datagram, payload: bytes) -> bytes:
    """Return the packet with another payload, and new lengths and checksums."""
    if payload == datagram.payload:
        return datagram.packet
    ip = dpkt.ip.IP(datagram.packet)
    udp = ip.data
    return _build_packet(ip.src, ip.dst, udp.sport, udp.dport, payload, ip.ttl)


def packet_to_caller(flow: bytes, payload: bytes) -> bytes:
    """Return a packet from the service's address to the caller of ``flow``.

    The flow key consists of the caller's and the service's addresses, the two
    ports and the protocol number, 13 bytes in all.
    """
    src, dst, sport, dport, _ = struct.unpack("!4s4sHHB", flow)
    return _build_packet(dst, src, dport, sport, payload)


def _build_packet(src, dst, sport, dport, payload, ttl=64):
    udp = dpkt.udp.UDP(
        sport=sport, dport=dport, ulen=UDP_HEADER_BYTES + len(payload), data=payload
    )
    ip = dpkt.ip.IP(src=src, dst=dst, p=dpkt.ip.IP_PROTO_UDP, ttl=ttl, data=udp)
    return bytes(ip)


def _bad_input(message):
    return Err(Failure(ErrorKind.BAD_INPUT, message))
