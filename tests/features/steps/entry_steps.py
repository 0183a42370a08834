import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

from behave import given, then, when

from tests.support.network import udp_packet

LIMIT_S = 20
SOCKET_TYPES = {"TCP": socket.SOCK_STREAM, "UDP": socket.SOCK_DGRAM}
SETTINGS = """[entry]
name = e1
domain = north-a
address = {address}
{extra}
[fabric]
address = 127.15.0.100
"""


@given("an entry's settings at {address}")
def step_settings(context, address):
    context.address = address
    context.extra = ""


@given('the entry\'s settings contain "{line}"')
def step_extra_line(context, line):
    context.extra = line


@given("port {port:d} of {address} is taken over {protocol}")
def step_port_taken(context, port, address, protocol):
    holder = socket.socket(socket.AF_INET, SOCKET_TYPES[protocol])
    holder.bind((address, port))
    if protocol == "TCP":
        holder.listen()
    context.add_cleanup(holder.close)


@when("the entry is started")
def step_start(context):
    path = Path("build") / f"entry-{context.address}.ini"
    path.parent.mkdir(exist_ok=True)
    path.write_text(SETTINGS.format(address=context.address, extra=context.extra))
    program = Path(sys.executable).parent / "kumquat-entry"
    context.process = subprocess.Popen(
        [str(program), str(path)], stderr=subprocess.PIPE, text=True, env=os.environ
    )
    context.add_cleanup(context.process.kill)


@when("the entry receives SIGTERM once its admin port answers")
def step_sigterm(context):
    wait_for_admin(context)
    context.process.send_signal(signal.SIGTERM)


def wait_for_admin(context):
    deadline = time.monotonic() + LIMIT_S
    while not answers(f"http://{context.address}:7300/ready"):
        assert time.monotonic() < deadline, "the admin port never answered"
        time.sleep(0.1)


def answers(url):
    try:
        urllib.request.urlopen(url, timeout=1).close()
    except urllib.error.HTTPError:
        return True
    except OSError:
        return False
    return True


@then('the entry exits with status {status:d} and logs "{text}"')
def step_exited(context, status, text):
    _, log = context.process.communicate(timeout=LIMIT_S)
    assert context.process.returncode == status, (context.process.returncode, log)
    assert text in log, log
    assert "Traceback" not in log, log


@given("an entry's settings with a digest key at {address}")
def step_settings_with_key(context, address):
    context.address = address
    context.extra = "[keys]\ncurrent = " + "ab" * 32


@when("{count:d} datagrams of {kind} arrive at port {port:d} from {source}")
def step_bad_datagrams(context, count, kind, port, source):
    wait_for_admin(context)
    good = udp_packet(b"\x0a\x00\x00\x02", 5000, b"\x0a\x00\x00\x01", 5683)
    data = {
        "garbage": b"\xff" * 60,
        "nothing": b"",
        "an unknown service": good,
        "a fragment": good[:6] + b"\x20\x00" + good[8:],
    }[kind]
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.bind((source, 0))
    for _ in range(count):
        sender.sendto(data, (context.address, port))
    sender.close()


@then('the entry counts {count:d} drops for "{reason}"')
def step_drops_counted(context, count, reason):
    line = f'kumquatshift_drops_total{{reason="{reason}"}} {count}'
    url = f"http://{context.address}:7300/metrics"
    deadline = time.monotonic() + LIMIT_S
    while True:
        with urllib.request.urlopen(url, timeout=2) as page:
            text = page.read().decode()
        if line in text:
            return
        assert time.monotonic() < deadline, text
        time.sleep(0.2)


@then("the entry exits with status 0 on SIGTERM, after logging at most {limit:d} lines")
def step_exited_after_few_lines(context, limit):
    context.process.send_signal(signal.SIGTERM)
    _, log = context.process.communicate(timeout=LIMIT_S)
    assert context.process.returncode == 0, log
    assert len(log.splitlines()) <= limit, log
