"""IPv4 packets that carry one UDP datagram, as callers and targets see them."""

import socket
from dataclasses import dataclass

import dpkt

TTL_HOPS = 64


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An IPv4 address and a port, for example ``Endpoint("127.0.9.1", 5683)``."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text):
        """Read ``HOST:PORT``; raise ValueError when it is anything else."""
        host, separator, port = text.strip().rpartition(":")
        if not separator or not port.isdigit() or not 0 < int(port) < 65536:
            raise ValueError(f"expected HOST:PORT, found {text!r}")
        try:
            socket.inet_pton(socket.AF_INET, host)
        except OSError:
            raise ValueError(f"expected an IPv4 address, found {host!r}") from None
        return cls(host, int(port))

    def __str__(self):
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Datagram:
    """One UDP datagram with both of its ends."""

    src: Endpoint
    dst: Endpoint
    payload: bytes

    def pack(self):
        """Return the IPv4 packet, checksums included."""
        udp = dpkt.udp.UDP(sport=self.src.port, dport=self.dst.port, data=self.payload)
        udp.ulen = len(udp)
        return pack_ip(self.src.host, self.dst.host, dpkt.ip.IP_PROTO_UDP, udp)

    @classmethod
    def unpack(cls, data):
        """Read an IPv4 packet; return None unless it is whole and carries UDP."""
        ip = unpack_ip(data)
        if ip is None or not isinstance(ip.data, dpkt.udp.UDP):
            return None
        udp = ip.data
        return cls(
            Endpoint(socket.inet_ntoa(ip.src), udp.sport),
            Endpoint(socket.inet_ntoa(ip.dst), udp.dport),
            bytes(udp.data),
        )


def pack_ip(src, dst, protocol, body):
    """Return the IPv4 packet that carries ``body`` from ``src`` to ``dst``."""
    ip = dpkt.ip.IP(
        src=socket.inet_aton(src),
        dst=socket.inet_aton(dst),
        p=protocol,
        ttl=TTL_HOPS,
        data=body,
    )
    ip.len = len(ip)
    return bytes(ip)


def unpack_ip(data):
    """Read an IPv4 packet; return None when it is malformed or a fragment."""
    try:
        ip = dpkt.ip.IP(data)
    except (dpkt.UnpackError, IndexError, ValueError):
        return None
    if ip.v != 4 or ip.len != len(data) or ip.mf or ip.offset:
        return None
    return ip
