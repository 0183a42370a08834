"""IPv4 packets that carry one UDP datagram or TCP segment."""

import socket
from dataclasses import dataclass

import dpkt

TTL_HOPS = 64
SEQUENCE_MASK = 0xFFFFFFFF


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An IPv4 address and a port, for example ``Endpoint("127.0.9.1", 5683)``."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text):
        """Parse ``HOST:PORT``; raise ValueError if the text is anything else."""
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
    """One UDP datagram with its source and destination."""

    src: Endpoint
    dst: Endpoint
    payload: bytes

    def pack(self):
        """Return the IPv4 packet with valid checksums."""
        udp = dpkt.udp.UDP(sport=self.src.port, dport=self.dst.port, data=self.payload)
        udp.ulen = len(udp)
        return pack_ip(self.src, self.dst, dpkt.ip.IP_PROTO_UDP, udp)


@dataclass(frozen=True, slots=True)
class Segment:
    """One TCP segment with its source and destination (RFC 9293, section 3.1).

    ``seq`` and ``ack`` are taken modulo 2**32; ``ack`` is None in a segment without
    the ACK flag.
    """

    src: Endpoint
    dst: Endpoint
    seq: int
    ack: int | None = None
    payload: bytes = b""
    window: int = 0
    syn: bool = False
    fin: bool = False
    rst: bool = False

    @property
    def length(self):
        """Number of sequence numbers that the segment occupies."""
        return len(self.payload) + self.syn + self.fin

    @property
    def flags(self):
        """Flags byte of the TCP header."""
        return (
            dpkt.tcp.TH_SYN * self.syn
            | dpkt.tcp.TH_FIN * self.fin
            | dpkt.tcp.TH_RST * self.rst
            | dpkt.tcp.TH_ACK * (self.ack is not None)
        )

    def pack(self):
        """Return the IPv4 packet with valid checksums."""
        tcp = dpkt.tcp.TCP(
            sport=self.src.port,
            dport=self.dst.port,
            seq=self.seq & SEQUENCE_MASK,
            ack=(self.ack or 0) & SEQUENCE_MASK,
            flags=self.flags,
            win=self.window,
            data=self.payload,
        )
        return pack_ip(self.src, self.dst, dpkt.ip.IP_PROTO_TCP, tcp)

    @classmethod
    def from_tcp(cls, src, dst, tcp):
        """Return the segment for a parsed TCP header."""
        return cls(
            src,
            dst,
            seq=tcp.seq,
            ack=tcp.ack if tcp.flags & dpkt.tcp.TH_ACK else None,
            payload=bytes(tcp.data),
            window=tcp.win,
            syn=bool(tcp.flags & dpkt.tcp.TH_SYN),
            fin=bool(tcp.flags & dpkt.tcp.TH_FIN),
            rst=bool(tcp.flags & dpkt.tcp.TH_RST),
        )


def pack_ip(src, dst, protocol, body):
    """Return the IPv4 packet that carries ``body`` from ``src`` to ``dst``."""
    ip = dpkt.ip.IP(
        src=socket.inet_aton(src.host),
        dst=socket.inet_aton(dst.host),
        p=protocol,
        ttl=TTL_HOPS,
        data=body,
    )
    ip.len = len(ip)
    return bytes(ip)


def unpack(data) -> Datagram | Segment | None:
    """Parse an IPv4 packet as a receiving host does.

    Returns None if it is malformed, a fragment, neither UDP nor TCP, or has an
    invalid checksum.
    """
    try:
        ip = dpkt.ip.IP(data)
    except (dpkt.UnpackError, IndexError, ValueError):
        return None
    if ip.v != 4 or ip.len != len(data) or ip.mf or ip.offset:
        return None
    body = ip.data
    if not isinstance(body, (dpkt.udp.UDP, dpkt.tcp.TCP)) or not is_intact(data, ip):
        return None
    src = Endpoint(socket.inet_ntoa(ip.src), body.sport)
    dst = Endpoint(socket.inet_ntoa(ip.dst), body.dport)
    if isinstance(body, dpkt.udp.UDP):
        return Datagram(src, dst, bytes(body.data))
    return Segment.from_tcp(src, dst, body)


def is_intact(data, ip):
    """Return whether the checksums of a packet are valid; UDP may omit its own."""
    header, body = data[: ip.hl * 4], data[ip.hl * 4 :]
    if dpkt.in_cksum(header):
        return False
    if ip.p == dpkt.ip.IP_PROTO_UDP and not ip.data.sum:
        return True
    pseudo_header = ip.src + ip.dst + bytes([0, ip.p]) + len(body).to_bytes(2)
    return not dpkt.in_cksum(pseudo_header + body)
