import subprocess
import sys
from pathlib import Path

from behave import then, when

ROOT = Path(__file__).resolve().parents[3]
LIMIT_S = 120


@when("the soak runs seed {seed:d} for {seconds:d} s")
def step_run(context, seed, seconds):
    cmd = [sys.executable, "-m", "tests.soak", "--seed", str(seed)]
    cmd += ["--seconds", str(seconds), "--net", str(120 + seed % 7)]
    context.done = subprocess.run(
        cmd, cwd=ROOT, capture_output=True, text=True, timeout=LIMIT_S
    )


@then("no promise was broken")
def step_kept(context):
    print(context.done.stdout)
    assert context.done.returncode == 0, context.done.stdout + context.done.stderr
