import subprocess
import sys
from pathlib import Path

from behave import then, when

ROOT = Path(__file__).resolve().parents[3]
TIMEOUT_S = 120


@when("the soak test runs with seed {seed:d} for {seconds:d} s")
def step_run(context, seed, seconds, story=""):
    cmd = [sys.executable, "-m", "tests.soak", "--seed", str(seed)]
    cmd += ["--seconds", str(seconds), "--net", str(120 + seed % 7)]
    if story:
        cmd += ["--story", story + ","]
    context.done = subprocess.run(
        cmd, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S
    )


@when("the soak test runs with seed {seed:d} for {seconds:d} s, first with {story}")
def step_run_story(context, seed, seconds, story):
    step_run(context, seed, seconds, story)


@then("the soak test finds no violated guarantee")
def step_no_violation(context):
    print(context.done.stdout)
    assert context.done.returncode == 0, context.done.stdout + context.done.stderr
