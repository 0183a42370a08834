"""Encoding and decoding of the platform's packet header."""

from __future__ import annotations

import socket
import struct

from ..direct.packets import Packet

# sum, flags, pad, dport, src, sport, dst, echo, len, seq, ack
HEAD = struct.Struct("<IBBH4sH4sIHII")
HEAD_BYTES = HEAD.size
MAX_DATA_BYTES = 1200

SYN = 4
ACK = 1
FIN = 8
RST = 2

_COOKIE = struct.Struct("<I")
_COOKIE_OFFSET = 18
_AFTER_COOKIE = 22
_FLOW = slice(6, 18)
_FLOW_PARTS = struct.Struct("<H4sH4s")


def decode(data: bytes) -> Packet | None:
    """Decode the packet in a datagram; return None if it is malformed."""
    if len(data) < HEAD_BYTES:
        return None
    _sum, flags, _pad, _dport, _src, _sport, _dst, echo, size, seq, ack = (
        HEAD.unpack_from(data)
    )
    if size != len(data) - HEAD_BYTES or size > MAX_DATA_BYTES:
        return None
    return Packet(
        flow=data[_FLOW],
        destination=data[14:18] + data[6:8],
        is_syn=bool(flags & SYN),
        is_last=bool(flags & (FIN | RST)),
        has_ack=bool(flags & ACK),
        cookie=echo,  # Set by an entry, and returned by target and caller.
        seq=seq,
        ack=ack,  # On an opening packet: number of earlier copies.
        size=size,
    )


def forwarded(data: bytes, key: bytes, cookie: int) -> bytes:
    """Return the datagram for a target: its key and the packet with the cookie."""
    head, rest = data[:_COOKIE_OFFSET], data[_AFTER_COOKIE:]
    return key + head + _COOKIE.pack(cookie) + rest


def reset(flow: bytes, seq: int) -> bytes:
    """Return a reset for a flow; ``seq`` is near the caller's last ``ack``."""
    dport, src, sport, dst = _FLOW_PARTS.unpack(flow)
    return HEAD.pack(0, RST, 0, sport, dst, dport, src, 0, 0, seq, 0)


def caller_host(flow: bytes) -> str:
    """Return the address of a flow's caller; its bytes are reversed on the wire."""
    return socket.inet_ntoa(flow[5:1:-1])


def flow_text(flow: bytes) -> str:
    """Format a flow for display: ``100.64.0.7:40001>198.18.0.1:443``."""
    dport, src, sport, dst = _FLOW_PARTS.unpack(flow)
    return f"{_dotted(src)}:{sport}>{_dotted(dst)}:{dport}"


def encode_destination(host: str, port: int) -> bytes:
    """Encode an address and port as in a packet header."""
    return socket.inet_aton(host)[::-1] + port.to_bytes(2, "little")


def _dotted(address: bytes) -> str:
    return socket.inet_ntoa(address[::-1])
