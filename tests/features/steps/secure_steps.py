import json
import ssl
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

from behave import given, then

from tests.support.authority import make_authority, make_leaf, write_files

PLATFORM = "127.15.1.10"
ADDRESSES = {"e1": "127.15.1.1", "e2": "127.15.1.2"}
START_LIMIT_S = 20
ENTRY_SETTINGS = """[entry]
name = {name}
domain = north-a
address = {address}
[fabric]
address = 127.15.1.100
[platform]
url = {url}
[peers]
e1 = north-a 127.15.1.1
e2 = north-a 127.15.1.2
[keys]
current = abababababababababababababababababababababababababababababababab
[tls]
ca = {ca}
certificate = {certificate}
key = {key}
"""


def start(context, program, *args):
    binary = Path(sys.executable).parent / program
    process = subprocess.Popen(
        [str(binary), *args], stderr=subprocess.DEVNULL, stdout=subprocess.DEVNULL
    )
    context.add_cleanup(process.wait)
    context.add_cleanup(process.kill)


def eventually(call, what):
    deadline = time.monotonic() + START_LIMIT_S
    while True:
        try:
            if call():
                return
        except OSError:
            pass
        assert time.monotonic() < deadline, what
        time.sleep(0.2)


@given("a platform for secure entries that holds one domain object")
def step_platform(context):
    context.folder = Path(tempfile.mkdtemp())
    settings = context.folder / "platform.ini"
    settings.write_text(f"[platform]\naddress = {PLATFORM}\nport = 8400\n")
    start(context, "kumquat-standin", "platform", str(settings))
    eventually(put_domain, "the platform did not start")


def put_domain():
    body = {"kind": "domain", "name": "north-a", "body": {"state": "in"}}
    req = urllib.request.Request(
        f"http://{PLATFORM}:8400/v1/objects/domain/north-a",
        json.dumps(body).encode(),
        {"If-Match": "0"},
        method="PUT",
    )
    with urllib.request.urlopen(req, timeout=2) as answer:
        return answer.status == 200


@given("secure entries: e1 with the platform, e2 without, {authorities}")
def step_entries(context, authorities):
    authority = make_authority("site")
    other = authority if authorities == "both with one CA" else make_authority("other")
    context.tls = {}
    for name, issuer in (("e1", authority), ("e2", other)):
        leaf = make_leaf(issuer, ADDRESSES[name])
        context.tls[name] = write_files(context.folder, issuer, leaf)
        settings = context.folder / f"{name}.ini"
        settings.write_text(
            ENTRY_SETTINGS.format(
                name=name,
                address=ADDRESSES[name],
                url=f"http://{PLATFORM}:8400" if name == "e1" else "",
                ca=context.tls[name].ca,
                certificate=context.tls[name].certificate,
                key=context.tls[name].key,
            )
        )
        start(context, "kumquat-entry", str(settings))


def page(context, name, path, with_certificate=True):
    tls = context.tls[name]
    trust = ssl.create_default_context(cafile=tls.ca)
    if with_certificate:
        trust.load_cert_chain(tls.certificate, tls.key)
    url = f"https://{ADDRESSES[name]}:7300/{path}"
    with urllib.request.urlopen(url, timeout=2, context=trust) as answer:
        return answer.read()


@then("secure e2 gets the object and is ready")
def step_has_object(context):
    eventually(
        lambda: b"domain/north-a" in page(context, "e2", "versions"), "no object"
    )
    eventually(lambda: page(context, "e2", "ready") == b"ready\n", "not ready")


@then("a client without a certificate gets no dump from secure e2")
def step_no_dump(context):
    try:
        page(context, "e2", "dump", with_certificate=False)
    except OSError:
        return
    raise AssertionError("got a dump without a client certificate")


@then("secure e2 has no object after {delay:d} s")
def step_no_object(context, delay):
    eventually(lambda: page(context, "e2", "versions"), "e2 does not answer")
    time.sleep(delay)
    versions = json.loads(page(context, "e2", "versions"))
    assert versions == {}, versions
    # Both have the same datagram key and exchange heartbeats: only TLS excludes e2.
    members = json.loads(page(context, "e2", "dump"))["members"]
    assert [member["alive"] for member in members] == [True], members
