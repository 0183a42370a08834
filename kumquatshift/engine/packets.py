"""Read the header fields of an IPv4 packet that routing needs.

Only fixed offsets are read, so that parsing a packet takes a few slices. Packets
with IP options are rejected, since UDP and TCP senders don't use them in practice.
Offsets follow RFC 791 (IPv4), RFC 768 (UDP) and RFC 9293 (TCP).
"""

from .actions import DropReason

PROTOCOL_TCP = 6
PROTOCOL_UDP = 17

TCP_FIN = 0x01
TCP_SYN = 0x02
TCP_RST = 0x04

KEY_BYTES = 13

_VERSION_AND_HEADER_WORDS = 0x45
_MIN_UDP_BYTES = 28
_MIN_TCP_BYTES = 40
_MORE_FRAGMENTS_AND_OFFSET = 0x3F
_TCP_FLAGS_OFFSET = 33


def check(data: bytes) -> DropReason | None:
    """Return why the packet can't be forwarded, or None if it can."""
    size = len(data)
    if size < _MIN_UDP_BYTES or data[0] != _VERSION_AND_HEADER_WORDS:
        return DropReason.MALFORMED
    if (data[2] << 8 | data[3]) != size:
        return DropReason.MALFORMED
    if data[6] & _MORE_FRAGMENTS_AND_OFFSET or data[7]:
        return DropReason.FRAGMENT
    protocol = data[9]
    if protocol == PROTOCOL_UDP:
        return None
    if protocol == PROTOCOL_TCP and size >= _MIN_TCP_BYTES:
        return None
    return DropReason.MALFORMED


def destination(data: bytes) -> bytes:
    """Return destination address, port and protocol of a packet: seven bytes."""
    return data[16:20] + data[22:24] + data[9:10]


def source(data: bytes) -> bytes:
    """Return source address, port and protocol of a packet: seven bytes.

    In an answer, they identify the service.
    """
    return data[12:16] + data[20:22] + data[9:10]


def flow_key(data: bytes) -> bytes:
    """Return the flow key of a packet from a caller.

    The key consists of source address, destination address, source port,
    destination port and protocol: 13 bytes.
    """
    return data[12:24] + data[9:10]


def reverse_key(data: bytes) -> bytes:
    """Return the flow key, as of the caller's packets, of a packet to a caller."""
    return data[16:20] + data[12:16] + data[22:24] + data[20:22] + data[9:10]


def tcp_flags(data: bytes) -> int:
    """Return the TCP flags, or 0 for any other protocol."""
    if data[9] != PROTOCOL_TCP:
        return 0
    return data[_TCP_FLAGS_OFFSET]
