import random
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when
from twisted.internet.task import Clock

from kumquatshift.standins.metadata_store import StoreApi
from tests.soak.faults import restore_store
from tests.soak.writers import StoreWriters

ROOT = Path(__file__).resolve().parents[3]
TIMEOUT_S = 120


@when("the soak test runs with seed {seed:d} for {seconds:d} s")
def step_run(context, seed, seconds, story="", entries=5):
    cmd = [sys.executable, "-m", "tests.soak", "--seed", str(seed)]
    cmd += ["--seconds", str(seconds), "--net", str(120 + seed % 7)]
    cmd += ["--entries", str(entries)]
    if story:
        cmd += ["--story", story + ","]
    context.done = subprocess.run(
        cmd, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S
    )


@when("the soak test runs with seed {seed:d} for {seconds:d} s, first with {story}")
def step_run_story(context, seed, seconds, story):
    step_run(context, seed, seconds, story)


@when(
    "the soak test runs with seed {seed:d} and {entries:d} entries for {seconds:d} s,"
    " first with {story}"
)
def step_run_entries(context, seed, entries, seconds, story):
    step_run(context, seed, seconds, story, entries)


@then("the soak test finds no violated guarantee")
def step_no_violation(context):
    print(context.done.stdout)
    assert context.done.returncode == 0, context.done.stdout + context.done.stderr


@given("a store of the soak with configuration {version:d}")
def step_store(context, version):
    clock = Clock()
    api = StoreApi(clock)
    context.site = SimpleNamespace(
        reactor=clock,
        now=clock.seconds,
        rng=random.Random(1),
        api=api,
        writers=StoreWriters(api),
        store_disturbed_at=0.0,
    )
    context.restores = []
    step_written(context, version)


@given("configuration {version:d} has been written")
def step_written(context, version):
    context.site.writers.put("config", "main", {"version": version})


@given("a restore of the store has begun")
@given("another restore of the store has begun")
def step_restore(context):
    context.restores.append(restore_store(context.site))


@when("both restores end, in this order, before the operator writes again")
def step_restored(context):
    for restore in context.restores:
        restore()


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.site.reactor.advance(seconds)


@then("the store has configuration {version:d}")
def step_version(context, version):
    found = context.site.api.store.objects["config", "main"]["spec"]["version"]
    assert found == version, found
