"""Builds and decodes CoAP messages in IPv4/UDP packets, for tests and simulations."""

import socket
import struct

import dpkt
from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

SERVICE = ("127.0.9.1", 5683)
CALLER = ("127.0.4.1", 40001)


def flow_of(caller=CALLER, service=SERVICE):
    """Return the key of the flow from a caller to a service."""
    src, dst = socket.inet_aton(caller[0]), socket.inet_aton(service[0])
    return struct.pack("!4s4sHHB", src, dst, caller[1], service[1], 17)


def packet(message, src=CALLER, dst=SERVICE):
    """Return a UDP payload in an IPv4 packet."""
    udp = dpkt.udp.UDP(sport=src[1], dport=dst[1], data=message)
    udp.ulen = 8 + len(message)
    ip = dpkt.ip.IP(src=socket.inet_aton(src[0]), dst=socket.inet_aton(dst[0]), p=17)
    ip.data = udp
    ip.len = len(ip)
    return bytes(ip)


def message(code, mid, token=b"", kind=Type.CON, payload=b"", **options):
    """Return an encoded CoAP message; CoAP options are keyword arguments."""
    msg = Message(code=code, payload=payload, _mtype=kind, _mid=mid, _token=token)
    for name, value in options.items():
        setattr(msg.opt, name, value)
    return msg.encode()


def request(code, mid, token, payload=b"", kind=Type.CON, caller=CALLER, **options):
    """Return a packet with a request from a caller."""
    options.setdefault("uri_path", ("hold",))
    return packet(message(code, mid, token, kind, payload, **options), src=caller)


def reply(seen, code=Code.CONTENT, payload=b"", kind=Type.ACK, mid=None, **options):
    """Return the packet with which a target answers the request packet ``seen``."""
    req = read(seen)
    mid = req.mid if mid is None else mid
    data = message(code, mid, req.token, kind, payload, **options)
    src, dst = endpoints(seen)
    return packet(data, src=dst, dst=src)


def empty_message(kind, mid, src=CALLER, dst=SERVICE):
    """Return a packet with an empty CoAP message: an ACK, an RST or a ping."""
    return packet(bytes((0x40 | kind << 4, 0)) + struct.pack("!H", mid), src, dst)


def read(data):
    """Decode the CoAP message of a packet."""
    return Message.decode(bytes(dpkt.ip.IP(data).data.data))


def endpoints(data):
    """Return the source and the destination of a packet, each as (address, port)."""
    ip = dpkt.ip.IP(data)
    src, dst = socket.inet_ntoa(ip.src), socket.inet_ntoa(ip.dst)
    return (src, ip.data.sport), (dst, ip.data.dport)
