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

LIMIT_S = 20
KINDS = {"TCP": socket.SOCK_STREAM, "UDP": socket.SOCK_DGRAM}
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


@given('the entry\'s settings say "{line}"')
def step_extra(context, line):
    context.extra = line


@given("port {port:d} of {address} is taken over {protocol}")
def step_port_taken(context, port, address, protocol):
    holder = socket.socket(socket.AF_INET, KINDS[protocol])
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


@when("the entry is told to end once its admin port answers")
def step_end(context):
    deadline = time.monotonic() + LIMIT_S
    while not answers(f"http://{context.address}:7300/ready"):
        assert time.monotonic() < deadline, "the admin port never answered"
        time.sleep(0.1)
    context.process.send_signal(signal.SIGTERM)


def answers(url):
    try:
        urllib.request.urlopen(url, timeout=1).close()
    except urllib.error.HTTPError:
        return True
    except OSError:
        return False
    return True


@then('the entry ends with status {status:d} and tells "{text}"')
def step_ended(context, status, text):
    _, told = context.process.communicate(timeout=LIMIT_S)
    assert context.process.returncode == status, (context.process.returncode, told)
    assert text in told, told
    assert "Traceback" not in told, told
