import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from behave import given, then, when
from returns.pipeline import is_successful
from twisted.internet import reactor
from twisted.internet.defer import Deferred, gatherResults

from kumquatshift.cli.entries import EntryClient
from kumquatshift.cli.execution import Executor
from kumquatshift.cli.files import read_objects
from kumquatshift.cli.parsing import parse
from kumquatshift.codec import body_to_json, kind_of
from kumquatshift.programs import ctl
from kumquatshift.status import ExitStatus
from kumquatshift.tls import admin_context
from tests.support.authority import DAY, make_authority, make_leaf, write_files
from tests.support.loopback import (
    CommandResult,
    LoopbackSite,
    environment,
    in_reactor,
    run_ctl,
)
from tests.support.stepped import SteppedPlatform

ROOT = Path(__file__).resolve().parents[3]
DEMO = ROOT / "extras" / "demo" / "objects.ini"
DOMAINS = ("north-a", "north-b", "north-c", "north-d")
TARGET = "service = tills\ndomain = north-a\nhost = 127.0.2.{}\nport = 6080\nslots = {}"
MANUAL = ROOT / "docs" / "OPERATORS.md"
TIMEOUT_S = 10


def target_file(name, host, slots):
    return f"[target {name}]\n" + TARGET.format(host, slots)


def start(context):
    context.site = LoopbackSite.start()
    context.add_cleanup(context.site.stop)
    context.settings = ""


def split_section(line):
    """Split a section written on one line into lines."""
    head, bracket, rest = line.partition("] ")
    return f"{head}]\n{rest}" if bracket else line


def live(context, kind, name):
    found = context.site.store.live((kind, name))
    return found and found["body"]


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "condition not met in time"
        time.sleep(0.005)


@given("an empty site")
def step_empty(context):
    start(context)
    context.version = 0


@given("a site with the demo's objects")
def step_demo(context):
    start(context)
    store = context.site.store
    for one in read_objects(DEMO.read_text(), None).unwrap():
        key = (kind_of(one.body).value, one.body.name)
        store.put(key, 0, "demo-1", body_to_json(one.body))
    store.put(("profile", "1_000"), 0, "demo-2", {})
    store.put(("profile", "gone"), 0, "demo-3", {})
    store.delete(("profile", "gone"), store.version, "demo-4")
    context.version = store.version


@given("a site with the demo's objects and the entries {modes}")
def step_demo_entries(context, modes):
    step_demo(context)
    rows = zip(("e1", "e2", "e3"), DOMAINS, modes.split(", "), strict=False)
    context.site.add_entries(rows)
    port = context.site.admin_port or 1
    peers = "e1 = north-a 127.11.1.1\ne2 = north-b 127.11.1.2"
    settings = f"[ctl]\nadmin_port = {port}\n[peers]\n{peers}\n"
    context.settings = write_settings(context, settings)
    run_ctl(context.site, "wait 0.1", context.settings)


@given("a site with the demo's objects and an entry that requires client certificates")
def step_demo_tls(context):
    step_demo(context)
    context.authority = make_authority("site")

    def context_for(address):
        leaf = make_leaf(context.authority, address)
        return admin_context(write_files(folder_of(context), context.authority, leaf))

    context.site.add_entries([("e1", "north-a", "follows")], context_for)


@when('kumquat-ctl with {own} runs "{line}"')
def step_run_tls(context, own, line):
    site, other = context.authority, make_authority("stranger")
    leaves = {
        "a certificate of the site": lambda: make_leaf(site, "127.11.0.9"),
        "another authority's certificate": lambda: make_leaf(other, "127.11.0.9"),
        "an expired certificate": lambda: make_leaf(site, "127.11.0.9", -DAY),
    }
    settings = f"[ctl]\nadmin_port = {context.site.admin_port}\n"
    if own in leaves:
        # Each client trusts the authority of its certificate: its settings are valid.
        trusted = other if own.startswith("another") else site
        files = write_files(folder_of(context), trusted, leaves[own]())
        settings += f"[tls]\nca = {files.ca}\ncertificate = {files.certificate}\n"
        settings += f"key = {files.key}\n"
    context.ran = run_ctl(context.site, line, write_settings(context, settings))


def folder_of(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return folder.name


def write_settings(context, text):
    path = Path(folder_of(context), "ctl.ini")
    path.write_text(text)
    return str(path)


@when('kumquat-ctl runs "{line}"')
def step_run(context, line):
    context.ran = run_ctl(context.site, line, context.settings)


@when('kumquat-ctl runs "{line}" with the settings {text}')
def step_run_settings(context, line, text):
    path = write_settings(context, split_section(text))
    in_site = context.site
    context.ran = run_ctl(in_site, line, path)


@when("kumquat-ctl checks the settings {text}")
def step_check_settings(context, text):
    path = write_settings(context, split_section(text))
    context.ran = run_ctl(context.site, f"check {path}")


@when('kumquat-ctl without a site runs "{line}"')
def step_run_alone(context, line):
    env = environment("anna")
    status = in_reactor(ctl.execute, line.split(), env, reactor)
    context.ran = CommandResult(
        int(status), env.stdout.getvalue(), env.stderr.getvalue()
    )


@when('bert runs "{line}"')
def step_run_as_bert(context, line):
    assert run_ctl(context.site, line).status == ExitStatus.SUCCESS


@when("the platform's reads are 1 version stale")
def step_stale(context):
    context.site.faults(stale_versions=1)


@given("a file with a valid new profile and then {text}")
def step_file(context, text):
    if text == 'a target of service "till"':
        text = target_file("new", 99, 2).replace("tills", "till")
    context.file = f"[profile good]\nmode = stream\n\n{split_section(text)}\n"


@when("the operator applies the file")
def step_apply_file(context):
    context.ran = run_ctl(context.site, "apply -", stdin=context.file)


@then("kumquat-ctl exits with {status:w}")
def step_ended(context, status):
    assert context.ran.status == ExitStatus[status], context.ran


@then('kumquat-ctl exits with {status:w} and the error says "{text}"')
def step_ended_error(context, status, text):
    step_ended(context, status)
    assert text in context.ran.err, context.ran.err


@then('kumquat-ctl exits with {status:w} and the output says "{text}"')
def step_ended_output(context, status, text):
    step_ended(context, status)
    step_output(context, text)


@then('kumquat-ctl exits with SUCCESS and the notes are "{notes}"')
def step_notes(context, notes):
    step_ended(context, "SUCCESS")
    lines = context.ran.err.splitlines()
    found = [line.removeprefix("kumquat-ctl: note: ") for line in lines]
    assert (", ".join(found) or "none") == notes, context.ran


@then('the output says "{text}"')
def step_output(context, text):
    assert text in context.ran.out, context.ran


@then("the platform is unchanged")
def step_unchanged(context):
    assert context.site.store.version == context.version, context.site.store.changes


@then("kumquat-ctl exits with SUCCESS and the platform holds {count:d} objects")
def step_object_count(context, count):
    step_ended(context, "SUCCESS")
    found = [obj for obj in context.site.store.objects.values() if not obj["deleted"]]
    assert len(found) == count, found


@then("kumquat-ctl exits with SUCCESS and the platform is at version {version:d}")
def step_version(context, version):
    step_ended(context, "SUCCESS")
    assert context.site.store.version == version, context.site.store.version


@then('target "t1" is {target:w} and domain "north-b" is {domain:w}')
def step_states(context, target, domain):
    assert live(context, "target", "t1")["state"] == target
    assert live(context, "domain", "north-b")["state"] == domain


@when(
    'target "t1" is shown and edited, another operator sets its slots to 5, and it is'
    " applied"
)
def step_show_race_apply(context):
    text = run_ctl(context.site, "target show t1").out
    run_ctl(context.site, "target apply -", stdin=target_file("t1", 1, 5))
    edited = text.replace("slots = 2", "slots = 3")
    context.ran = run_ctl(context.site, "apply -", stdin=edited)


@when('target "t1" is shown, edited and applied')
def step_show_apply(context):
    text = run_ctl(context.site, "target show t1").out
    edited = text.replace("slots = 5", "slots = 3")
    context.ran = run_ctl(context.site, "apply -", stdin=edited)


@then('target "t1" has {slots:d} slots')
def step_slots(context, slots):
    assert live(context, "target", "t1")["slots"] == slots


def launch(context, user, line):
    """Start a command; return its stepped platform, Deferred and environment."""
    made = re.match(r"(create|set slots of) (\w+) (?:with|to) (\d+)", line)
    text = ""
    if made:
        host = 50 if made[1] == "create" else 1
        line, text = "apply -", target_file(made[2], host, made[3])
    env = environment(user, text)
    platform = SteppedPlatform(context.site.client())
    entry_client = EntryClient(reactor)
    executor = Executor(platform, entry_client, reactor, env)
    request = parse(line.split(), env).unwrap()
    fut = Deferred.fromCoroutine(executor.run(request))
    fut.addBoth(platform.finish)
    return platform, fut, env


@when('anna runs "{anna}" and bert runs "{bert}" in the order {order}')
def step_race(context, anna, bert, order):
    async def race():
        runs = {"a": launch(context, "anna", anna), "b": launch(context, "bert", bert)}
        for letter in order.split():
            await runs[letter][0].step()
        statuses = await gatherResults([fut for _, fut, _ in runs.values()])
        envs = [env for _, _, env in runs.values()]
        return [
            CommandResult(int(status), env.stdout.getvalue(), env.stderr.getvalue())
            for status, env in zip(statuses, envs, strict=True)
        ]

    context.raced = in_reactor(lambda: Deferred.fromCoroutine(race()))


@then("anna's command exits with {anna:w} and bert's with {bert:w}")
def step_race_ends(context, anna, bert):
    found = [ExitStatus(ran.status).name for ran in context.raced]
    assert found == [anna, bert], (found, context.raced)


@then('the result is "{result}", and the error of the refused operator says "{text}"')
def step_race_result(context, result, text):
    name, *wanted = result.split()
    body = live(context, "target", name)
    found = [body["state"], str(body["slots"])] if body else ["removed"]
    assert found == wanted, found
    refused = [ran for ran in context.raced if ran.status]
    assert bool(refused) == (text != "-")
    for each in refused:
        assert text in each.err, each.err
        if each.status == ExitStatus.CONFLICT:
            other = "bert-" if each is context.raced[0] else "anna-"
            assert f"by operation {other}" in each.err, each.err


@then("kumquat-ctl exits with {status:w} and one write took effect")
def step_one_write(context, status):
    step_ended(context, status)
    assert context.site.store.version == context.version + 1


def start_write(context):
    """Start a write of t1's slots and return its environment and Deferred."""
    env = environment("anna", target_file("t1", 1, 5))
    platform, clock = context.site.client(), reactor
    executor = Executor(platform, EntryClient(clock), clock, env)
    request = parse(["apply", "-"], env).unwrap()
    return env, Deferred.fromCoroutine(executor.run(request))


def finish_write(context, env, fut):
    status = in_reactor(lambda: fut)
    context.ran = CommandResult(
        int(status), env.stdout.getvalue(), env.stderr.getvalue()
    )


def fault_used(context):
    faults = context.site.server.api.faults
    return not faults.lose_answers and not faults.lose_requests


@when("anna's write of t1 loses its answer {effect} taking effect and bert retires t1")
def step_lost_then_other(context, effect):
    fault = "lose_answers" if effect == "after" else "lose_requests"
    context.site.faults(**{fault: 1})
    env, fut = in_reactor(lambda: [start_write(context)])[0]
    wait_until(lambda: fault_used(context))
    store = context.site.store

    def retire():
        found = store.live(("target", "t1"))
        body = {**found["body"], "state": "retired"}
        store.put(("target", "t1"), found["version"], "bert-1", body)

    in_reactor(retire)
    finish_write(context, env, fut)


@then("t1 is retired and has {slots:d} slots")
def step_retired(context, slots):
    body = live(context, "target", "t1")
    assert (body["state"], body["slots"]) == ("retired", slots), body


@when("anna's write of t1 loses its answer and an outage of the platform begins")
def step_lost_then_outage(context):
    context.site.faults(lose_answers=1)
    env, fut = in_reactor(lambda: [start_write(context)])[0]
    wait_until(lambda: fault_used(context))
    context.site.faults(outage=True)
    finish_write(context, env, fut)


@then("the error names the operation that the platform has recorded")
def step_operation_named(context):
    operation = context.site.store.live(("target", "t1"))["operation"]
    assert operation.startswith("anna-") and operation in context.ran.err, context.ran


@when('an outage of the platform begins after {count:d} writes of "{line}"')
def step_outage_midway(context, count, line):
    site = context.site
    put = site.store.put

    def put_then_fail(*args):
        obj = put(*args)
        if site.store.version == count:
            api = site.server.api
            api.faults = api.faults.changed({"outage": True})
        return obj

    site.store.put = put_then_fail
    step_run(context, line)
    site.store.put = put


@then("the error names {a:d} written objects, {b:d} uncertain and {c:d} unwritten")
def step_written_counts(context, a, b, c):
    (line,) = [ln for ln in context.ran.err.splitlines() if ln.startswith("written")]
    found = [len(part.split(": ")[1].split(", ")) for part in line.split("; ")]
    assert found == [a, b, c], line


@when('the outage ends and kumquat-ctl runs "{line}"')
def step_outage_ends(context, line):
    context.site.faults(outage=False)
    step_run(context, line)


@then('the output has the row "{row}"')
def step_row(context, row):
    rows = [" ".join(line.split()) for line in context.ran.out.splitlines()]
    assert any(line.startswith(row) for line in rows), context.ran.out


@then("the JSON of the status has 4 domains, 3 entries, 13 targets and 1 late version")
def step_status_json(context):
    value = json.loads(context.ran.out)
    found = [len(value[key]) for key in ("domains", "entries", "targets", "late")]
    assert found == [4, 3, 13, 1], found


def program(context, line):
    args = ["--platform", context.site.url, *line.split()]
    return subprocess.Popen(
        [sys.executable, "-m", "kumquatshift", "ctl", *args],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONPATH": str(ROOT), "USER": "anna"},
    )


@when('the program is run as a process with "{line}"')
def step_program(context, line):
    run = program(context, line)
    out, err = run.communicate(timeout=TIMEOUT_S)
    context.ran = CommandResult(run.returncode, out, err)


@then("the program exits with {status:d}")
def step_program_ends(context, status):
    assert context.ran.status == status, context.ran


@when("the program is interrupted while it applies the demo's objects")
def step_interrupt(context):
    run = program(context, "apply extras/demo/objects.ini")
    wait_until(lambda: context.site.store.version >= 3)
    os.kill(run.pid, signal.SIGINT)
    out, err = run.communicate(timeout=TIMEOUT_S)
    context.ran = CommandResult(run.returncode, out, err)


@when("the program is interrupted while it waits for 60 s")
def step_interrupt_wait(context):
    line = f"--settings {context.settings} target retire t1 --wait 60"
    run = program(context, line)
    wait_until(lambda: context.site.store.version > context.version)
    time.sleep(0.3)
    os.kill(run.pid, signal.SIGINT)
    out, err = run.communicate(timeout=TIMEOUT_S)
    context.ran = CommandResult(run.returncode, out, err)


@then(
    "the program exits with {status:d} and lists exactly the objects that the"
    " platform holds"
)
def step_interrupted(context, status):
    step_program_ends(context, status)
    found = re.findall(r"^created (\S+)", context.ran.out, re.MULTILINE)
    held = [f"{kind}/{name}" for kind, name in context.site.store.objects]
    assert found == held and 3 <= len(held) < 23, (found, held)


@then("each command of docs/OPERATORS.md is parsed")
def step_page_commands(context):
    lines = MANUAL.read_text().splitlines()
    commands = [ln.strip() for ln in lines if ln.startswith("    kumquat-ctl ")]
    assert len(commands) > 20, commands
    for command in commands:
        words = command.partition(" > ")[0].split()[1:]
        request = parse(words, environment("anna"))
        assert is_successful(request), (command, request)


@then("docs/OPERATORS.md lists each exit status with its number")
def step_page_statuses(context):
    found = re.findall(r"^\| (\d+) \| (\w+) \|", MANUAL.read_text(), re.MULTILINE)
    assert found == [(str(int(one)), one.name) for one in ExitStatus], found
