"""Build the TCP resets that end a flow at both ends (RFC 9293, section 3.5.2)."""

import dpkt

from .packets import PROTOCOL_TCP

_TTL_HOPS = 64


def reset_caller(data: bytes) -> bytes | None:
    """Return a TCP reset to the sender of ``data``, or None.

    UDP has no resets, and a reset is never answered with another one.
    """
    segment = _tcp(data)
    if segment is None:
        return None
    ip, tcp = segment
    payload_bytes = len(tcp.data) + bool(tcp.flags & dpkt.tcp.TH_SYN)
    payload_bytes += bool(tcp.flags & dpkt.tcp.TH_FIN)
    answer = dpkt.tcp.TCP(
        sport=tcp.dport,
        dport=tcp.sport,
        seq=tcp.ack if tcp.flags & dpkt.tcp.TH_ACK else 0,
        ack=(tcp.seq + payload_bytes) & 0xFFFFFFFF,
        flags=dpkt.tcp.TH_RST | dpkt.tcp.TH_ACK,
        win=0,
    )
    return _packet(ip.dst, ip.src, answer)


def reset_target(data: bytes) -> bytes | None:
    """Return a TCP reset to the target on behalf of the sender of ``data``, or None."""
    segment = _tcp(data)
    if segment is None:
        return None
    ip, tcp = segment
    forward = dpkt.tcp.TCP(
        sport=tcp.sport,
        dport=tcp.dport,
        seq=tcp.seq,
        ack=tcp.ack,
        flags=dpkt.tcp.TH_RST | dpkt.tcp.TH_ACK,
        win=0,
    )
    return _packet(ip.src, ip.dst, forward)


def _tcp(data):
    if data[9] != PROTOCOL_TCP:
        return None
    ip = dpkt.ip.IP(data)
    if not isinstance(ip.data, dpkt.tcp.TCP) or ip.data.flags & dpkt.tcp.TH_RST:
        return None
    return ip, ip.data


def _packet(src, dst, segment):
    ip = dpkt.ip.IP(src=src, dst=dst, p=PROTOCOL_TCP, ttl=_TTL_HOPS, data=segment)
    ip.len = len(ip)
    return bytes(ip)
