"""Run every feature in a separate process and print a summary.

Features tagged ``@real-time`` start programs or wait on the system's clock, so only a
few of them run at once. All others run on a paused clock, on as many cores as there
are. Those tagged ``@long`` start first.

Tests listed in KNOWN-RED.txt may fail: they are printed but not counted as failures.
"""

import json
import os
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FEATURES = ROOT / "tests" / "features"
REPORTS = ROOT / "build" / "behave"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
FEATURE_TIMEOUT_S = 280
CORES = os.cpu_count() or 2
REAL_TIME = "@real-time"
LONG = "@long"
REAL_TIME_JOBS = max(1, CORES // 3)

# Features in real time wait most of the time; one core is enough for them.
PAUSED_CLOCK_JOBS = max(1, CORES - 1)


def known_red():
    """Return the names of scenarios that may fail, from the `test:` lines."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split(":", 1)[1].strip() for line in lines if line.startswith("test:")}


def tags(path):
    """Return the tags above the title of a feature."""
    first_line = path.read_text().partition("\n")[0]
    return set(first_line.split()) if first_line.startswith("@") else set()


def run_feature(path):
    """Run one feature; return (path, scenario results, output, seconds).

    The output includes why steps failed, since behave's progress does not.
    """
    start = time.monotonic()
    report = REPORTS / (path.stem + ".json")
    report.unlink(missing_ok=True)
    cmd = [sys.executable, "-m", "behave", "--no-color", "--format", "json"]
    cmd += ["--outfile", str(report), "--format", "progress", "--outfile", "-"]
    cmd += [str(path)]
    try:
        done = subprocess.run(
            cmd, cwd=ROOT, capture_output=True, text=True, timeout=FEATURE_TIMEOUT_S
        )
        output = done.stdout + done.stderr
    except subprocess.TimeoutExpired as exc:
        output = f"timed out after {exc.timeout} s\n{exc.stdout or ''}"
    scenarios = read_report(report)
    results = [(each["name"], each.get("status") == "passed") for each in scenarios]
    output += "".join(failure_text(each) for each in scenarios)
    return path, results, output, time.monotonic() - start


def read_report(report):
    """Return the scenarios of behave's JSON report, or [] if it is unreadable."""
    try:
        features = json.loads(report.read_text())
    except (OSError, ValueError):
        return []
    return [
        element
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] != "background"
    ]


def failure_text(scenario):
    """Return the messages of a scenario's failed steps."""
    text = ""
    for step in scenario.get("steps", []):
        lines = step.get("result", {}).get("error_message", [])
        if lines:
            message = "\n".join([lines] if isinstance(lines, str) else lines)
            text += f"{scenario['name']}: {step['name']}\n{message}\n"
    return text


def main():
    """Run the features; the exit status is 0 if only known failures occurred."""
    # A shell's background job ignores interrupts, and so would all that it starts.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    REPORTS.mkdir(parents=True, exist_ok=True)
    paths = sorted(FEATURES.glob("*.feature"))
    wanted = sys.argv[1:]
    if wanted:
        paths = [path for path in paths if path.stem in wanted]
    known_failures = known_red()
    passed, failed, seen_known_failures = 0, [], []
    with (
        ThreadPoolExecutor(REAL_TIME_JOBS) as real_time,
        ThreadPoolExecutor(PAUSED_CLOCK_JOBS) as paused_clock,
    ):
        runs = {}
        for path in sorted(paths, key=lambda path: LONG not in tags(path)):
            pool = real_time if REAL_TIME in tags(path) else paused_clock
            runs[path] = pool.submit(run_feature, path)
        for path in paths:
            _, results, output, seconds = runs[path].result()
            failing = [name for name, ok in results if not ok]
            new = [name for name in failing if name not in known_failures]
            seen_known_failures += [name for name in failing if name in known_failures]
            passed += len(results) - len(failing)
            if not results:
                new = [f"{path.stem}: no result"]
            failed += [f"{path.stem}: {name}" for name in new]
            print(
                f"{path.stem}: {len(results) - len(failing)} passed,"
                f" {len(failing)} not, {seconds:.0f} s"
            )
            if new:
                print(output)
    for name in seen_known_failures:
        print(f"known red, passed over: {name}")
    for name in failed:
        print(f"FAILED {name}")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
