import json
import os
import select
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from collections import Counter
from pathlib import Path

from behave import given, then, when

from kumquatshift.platform import objects
from kumquatshift.platform.packets import ACK, RST, SYN, encode_destination
from kumquatshift.standins.direct_flows import PacketHeader
from kumquatshift.standins.metadata_store import StoreFaults
from tests.features.steps.platform_store_steps import STORE_FAULTS
from tests.features.steps.platform_wire_steps import CONFIGURATION, TARGET
from tests.support import direct_settings
from tests.support.direct_settings import (
    PACKET_PORT as PACKETS,
    PEER_PORT as PEERS,
)
from tests.support.loopback import in_reactor

ROOT = Path(__file__).resolve().parents[3]
CALLER = "127.32.9.1"
TARGET_ADDRESS = ("127.32.8.1", 8000)


class EntryProcess:
    """An entry that runs as a process of its own."""

    def __init__(self, context, host, seeds="", reads=True):
        self.host = host
        store = "{}:{}".format(*context.store_address)
        self.text = direct_settings.SETTINGS_TEMPLATE.format(
            name=f"entry-{host}", domain="north-a", host=host, store=store, seeds=seeds
        )
        self.path = ROOT / "build" / f"direct-{host}.ini"
        self.log = ROOT / "build" / f"direct-{host}.log"
        self.process = None
        self.reads = reads
        self.context = context

    def start(self):
        self.path.parent.mkdir(exist_ok=True)
        self.path.write_text(self.text)
        out = self.log.open("wb") if self.reads else subprocess.PIPE
        self.process = subprocess.Popen(
            [sys.executable, "deploy/entry.py"],
            cwd=ROOT,
            stdout=out,
            stderr=subprocess.PIPE,
            env={**os.environ, "KUMQUATSHIFT_BOOT": str(self.path)},
        )
        self.context.add_cleanup(self._end)
        return self

    def _end(self):
        self.process.kill()
        self.process.wait()
        for pipe in (self.process.stdout, self.process.stderr):
            if pipe:
                pipe.close()

    def ready(self):
        return direct_settings.is_ready(self.host, 1)

    def events(self):
        lines = self.log.read_text().splitlines()
        return [json.loads(line)["event"] for line in lines]


def wait(condition, limit_s, what):
    begin = time.monotonic()
    while not condition():
        assert time.monotonic() - begin < limit_s, what
        time.sleep(0.03)


def put_targets(context):
    """Give the store's targets an address on which the test listens."""
    host, port = TARGET_ADDRESS

    def put():
        for number in range(3):
            fields = {**TARGET, "address": f"{host}:{port}"}
            context.api.put(objects.TARGETS, f"i-{number:04x}", fields)

    in_reactor(put)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(TARGET_ADDRESS)
    sock.settimeout(2)
    context.target_sock = sock
    context.add_cleanup(sock.close)
    caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    caller.bind((CALLER, PACKETS))
    caller.settimeout(5)
    context.caller_sock = caller
    context.add_cleanup(caller.close)
    context.sport = 3000


@given("from the start the store {fault}")
def step_initial_fault(context, fault):
    in_reactor(lambda: setattr(context.api, "faults", STORE_FAULTS[fault]))


@when("the store starts to answer {status:d}")
def step_store_answers(context, status):
    step_initial_fault(context, f"answers {status}")


@when("the store works again")
def step_store_works(context):
    in_reactor(lambda: setattr(context.api, "faults", StoreFaults()))


@when("an entry is started at {net}<{number:d}>")
def step_start(context, net, number):
    put_targets(context)
    context.entry = EntryProcess(context, f"{net}{number}").start()


@when("another entry is started at {net}<{number:d}>")
def step_start_another(context, net, number):
    seeds = f"{net}1:{PEERS},{net}2:{PEERS}"
    context.entry = EntryProcess(context, f"{net}{number}", seeds).start()


@when("an entry with an unread log pipe is started at {net}<{number:d}>")
def step_start_unread(context, net, number):
    put_targets(context)
    context.entry = EntryProcess(context, f"{net}{number}", reads=False).start()


@when("with {change}, an entry is started at {net}<{number:d}>")
def step_start_changed(context, net, number, change):
    entry = EntryProcess(context, f"{net}{number}")
    store = "{}:{}".format(*context.store_address)
    changes = {
        "no store address": (f"address = {store}\n", ""),
        "store address = 10.1.0.36": (store, "10.1.0.36"),
        "a packet port of 0": (":7000", ":0"),
        "drain_ms = often": ("drain_ms = 3000", "drain_ms = often"),
        "an empty name": (f"name = entry-{entry.host}", "name ="),
        "no file at all": ("", ""),
    }
    entry.text = entry.text.replace(*changes[change])
    if change == "no file at all":
        entry.path = Path("/nowhere/entry.ini")
        entry.path_text = None
        entry.process = subprocess.Popen(
            [sys.executable, "deploy/entry.py"],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            env={**os.environ, "KUMQUATSHIFT_BOOT": str(entry.path)},
        )
        context.add_cleanup(entry._end)
    else:
        entry.start()
    context.entry = entry


@when("{count:d} entries are started from {net}<{first:d}> on")
def step_start_many(context, count, net, first):
    seeds = f"{net}{first}:{PEERS},{net}{first + 1}:{PEERS}"
    hosts = [f"{net}{first + number}" for number in range(count)]
    context.entries = [EntryProcess(context, host, seeds).start() for host in hosts]


@then("it is ready within {limit:g} s")
def step_ready(context, limit):
    wait(context.entry.ready, limit, "not ready")


@then("all of them are ready within {limit:g} s")
def step_all_ready(context, limit):
    wait(lambda: all(e.ready() for e in context.entries), limit, "not all ready")


@then("it is not ready within {limit:g} s")
def step_not_ready(context, limit):
    time.sleep(limit)
    assert not context.entry.ready()


def syn_packet(context):
    context.sport += 1
    place = encode_destination("198.18.0.1", 8080)
    source = encode_destination(CALLER, 0)[:4]
    head = PacketHeader(SYN, source, context.sport, place[:4], 8080, seq=5)
    return head.pack()


def send(context, packet):
    context.caller_sock.sendto(packet, (context.entry.host, PACKETS))


def expect_forwarded(context, packet):
    got = context.target_sock.recv(2000)
    assert got[:8] in [number.to_bytes(8, "big") for number in range(3)], got
    assert PacketHeader.unpack(got[8:]).echo != 0
    assert got[8:][:18] == packet[:18]


@then("a SYN reaches a target with the target's key and a cookie")
def step_forwarded(context):
    packet = syn_packet(context)
    send(context, packet)
    expect_forwarded(context, packet)


@when("a SYN is sent early")
def step_early_syn_sent(context):
    time.sleep(0.8)
    context.early = syn_packet(context)
    send(context, context.early)


@then("the early SYN reaches a target within {limit:g} s")
def step_early_syn_forwarded(context, limit):
    context.target_sock.settimeout(limit)
    expect_forwarded(context, context.early)


def packet_without_route(number=0):
    place = encode_destination("198.18.0.99", 1)
    source = encode_destination(CALLER, 0)[:4]
    return PacketHeader(ACK, source, 2000 + number % 1000, place[:4], 1, ack=9).pack(
        b"x"
    )


@then("a packet without a route is answered with a reset")
def step_reset(context):
    send(context, packet_without_route())
    head = PacketHeader.unpack(context.caller_sock.recv(2000))
    assert head.flags == RST and head.seq == 9


@then(
    "{count:d} packets without a route arrive,"
    " and the last is answered within {limit:g} s"
)
def step_flood(context, count, limit):
    answers = 0
    for number in range(count):
        send(context, packet_without_route(number))
        if number % 50 == 49:
            time.sleep(0.001)
        while select.select([context.caller_sock], [], [], 0)[0]:
            context.caller_sock.recv(2000)
            answers += 1
    begin = time.monotonic()
    send(context, packet_without_route())
    context.caller_sock.settimeout(limit)
    context.caller_sock.recv(2000)
    assert time.monotonic() - begin < limit and answers > count / 2, answers


@when("the entry gets SIGTERM")
def step_stop(context):
    context.entry.process.send_signal(signal.SIGTERM)


@then("it exits within {limit:g} s with status {status:d}")
def step_exit(context, limit, status):
    assert context.entry.process.wait(limit) == status


@then('it exits with status {status:d} and reports "{problem}"')
def step_exit_problem(context, status, problem):
    assert context.entry.process.wait(10) == status
    errors = context.entry.process.stderr.read().decode()
    assert problem in errors, errors


@then("its log has the events {events}")
def step_events(context, events):
    found = context.entry.events()
    for event in events.split(", "):
        assert event in found, (event, found)


@then("its log gets the event {event} within {limit:g} s")
def step_event_soon(context, event, limit):
    wait(lambda: event in context.entry.events(), limit, context.entry.events())


@when("its settings change to {settings}, {sent_signal}")
def step_change(context, settings, sent_signal):
    entry = context.entry
    text = entry.text
    if settings == "half of the file":
        text = text[: len(text) // 2]
    else:
        text = text.replace("stop_s = 6", "stop_s = 7")
    entry.path.write_text(text)
    if "SIGHUP" in sent_signal:
        entry.process.send_signal(signal.SIGHUP)


@then(
    "within {limit:g} s at most {most:d} entries per kind of call still read the store"
)
def step_readers(context, limit, most):
    # A call that arrives in between must not be in only one of the two lists.
    def clear():
        context.api.calls.clear()
        context.api.callers.clear()

    def read():
        return set(zip(context.api.calls, context.api.callers, strict=True))

    def settled():
        in_reactor(clear)
        time.sleep(2.5)
        pairs = in_reactor(read)
        kinds = Counter(
            (call.split("?")[0], caller)[0]
            for call, caller in {(c.split("?")[0], who) for c, who in pairs}
        )
        return kinds and max(kinds.values()) <= most

    wait(settled, limit, "too many entries read the store")


__all__ = ["CONFIGURATION"]


@then("its metrics and its dump show a drop, a flow and {count:d} targets")
def step_metrics(context, count):
    base = f"http://{context.entry.host}:7003"
    with urllib.request.urlopen(f"{base}/metrics", timeout=5) as answer:
        page = answer.read().decode()
    assert 'kumquatshift_drops_total{reason="malformed"} 1' in page, page
    assert 'kumquatshift_events_total{reason="flow opened"} 1' in page
    assert f"kumquatshift_targets {count}" in page
    assert 'kumquatshift_latency_seconds{profile="loop-delay"' in page
    with urllib.request.urlopen(f"{base}/dump", timeout=5) as answer:
        dump = json.load(answer)
    assert dump["ready"] and len(dump["targets"]) == count
    assert dump["feeds"]["servers"]["current"]


@when("a malformed datagram arrives")
def step_malformed(context):
    send(context, b"junk")
    time.sleep(1.2)
