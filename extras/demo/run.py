"""The demo: a complete site on loopback, under load and configuration changes.

Starts the platform, nine entries in four failure domains, the fabric, the
targets of three services and the load generator, each as its own process. Under
load, it retires a target, takes a domain out of service and back in, and kills and
restarts an entry. It prints the table of the load generator; the exit status is 0
only if no process failed and the load generator found no violation.
"""

import json
import signal
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

import fire
import prepare
from runner import Runner, wait_for

DIRECTORY = Path("build/demo")
TABLE = DIRECTORY / "bench.txt"
FIGURES = DIRECTORY / "bench.json"
BINARIES = Path(sys.executable).parent
ADMIN_PORT = 7300
READY_LIMIT_S = 30.0
COMMAND_LIMIT_S = 15.0
BENCH_LIMIT_S = 55.0
DEMO_LIMIT_S = 60.0
DOWN_TIME_S = 3.0
WAIT = "--wait=10"
RETIRED_TARGET = "t7"
DOMAIN_OUT = "north-b"
KILLED_ENTRY = "e2"


def fetch(url):
    """Return the JSON document at ``url``, or None if it cannot be read."""
    try:
        with urllib.request.urlopen(url, timeout=2) as response:
            return json.load(response)
    except (OSError, ValueError):
        return None


def is_ready(host, port=ADMIN_PORT):
    """Return whether the process at ``host`` reports that it is ready."""
    try:
        with urllib.request.urlopen(f"http://{host}:{port}/ready", timeout=2):
            return True
    except OSError:
        return False


class Demo:
    """One run of the demo."""

    def __init__(self, site, runner, entry, ctl):
        self.site = site
        self.runner = runner
        self.entry_command = entry
        self.ctl_command = ctl
        self.started_s = time.monotonic()
        self.expected_to_exit = set()

    def print_progress(self, text):
        """Print what the demo is doing, with the time since its start."""
        print(f"{time.monotonic() - self.started_s:5.1f} s  {text}", flush=True)

    def start(self, name, command, output=None):
        """Start one process with its settings file."""
        settings = str(DIRECTORY / f"{name}.ini")
        self.runner.start(name, [*command, settings], output)

    def start_entry(self, name):
        """Start one entry."""
        self.start(name, self.entry_command)

    def ctl(self, *args):
        """Run `kumquat-ctl`; raise RuntimeError if it fails."""
        self.print_progress("kumquat-ctl " + " ".join(args))
        platform = self.site["platform"]
        url = f"http://{platform['address']}:{platform['port']}"
        command = [*self.ctl_command, "--platform", url, *args]
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=COMMAND_LIMIT_S
        )
        if done.returncode:
            raise RuntimeError(f"kumquat-ctl failed: {done.stdout}{done.stderr}")

    def start_site(self):
        """Start all processes except the load, and wait until they are ready."""
        standin = str(BINARIES / "kumquat-standin")
        platform = self.site["platform"]
        self.print_progress("starting the platform")
        self.start("platform", [standin, "platform"])
        self.wait_for(
            lambda: is_ready(platform["address"], platform["port"]), "the platform"
        )
        self.ctl("apply", str(DIRECTORY / "objects.ini"))
        self.print_progress("starting the fabric, the targets and the entries")
        self.start("fabric", [standin, "fabric"])
        for name in self.site["targets"]:
            self.start(name, [standin, "target"])
        for name in self.site["entries"]:
            self.start_entry(name)
        self.wait_ready()

    def wait_ready(self):
        """Wait until all targets and entries are ready, and the entries configured.

        Wait for the end of the quiet time of the entries too: before it they refuse
        requests that they cannot tell from repeated ones.
        """
        for name, text in self.site["targets"].items():
            host = text.split()[-1]
            self.wait_for(lambda host=host: is_ready(host), name)
        names = set(self.site["entries"])
        self.wait_for(lambda: self.ready_entries() == names, "all entries to be ready")
        self.wait_for(self.is_configured, "all entries to be configured")
        self.wait_for(self.is_quiet_time_over, "the quiet time to end")

    def wait_for(self, condition, what):
        """Wait until ``condition()`` holds; raise if a process exits meanwhile."""

        def holds():
            if self.unexpected_exits():
                raise RuntimeError(
                    f"{', '.join(self.unexpected_exits())} exited during start-up"
                )
            return condition()

        wait_for(holds, READY_LIMIT_S, what)

    def is_quiet_time_over(self):
        """Return whether the quiet time of every entry is over."""
        hosts = [text.split()[-1] for text in self.site["entries"].values()]
        dumps = [fetch(f"http://{host}:{ADMIN_PORT}/dump") for host in hosts]
        return all(
            dump and all(dump.get("quiet_time_over", {}).values()) for dump in dumps
        )

    def ready_entries(self):
        """Return the names of the entries that are ready according to the fabric."""
        dump = fetch(f"http://{self.site['fabric']['address']}:{ADMIN_PORT}/dump")
        return set(dump["ready"]) if dump else set()

    def is_configured(self):
        """Return whether every entry has the current version of every object."""
        platform = self.site["platform"]
        url = f"http://{platform['address']}:{platform['port']}/v1/objects"
        wanted = {
            f"{item['kind']}/{item['name']}": item["version"]
            for item in fetch(url)["items"]
        }
        hosts = [text.split()[-1] for text in self.site["entries"].values()]
        found = [fetch(f"http://{host}:{ADMIN_PORT}/versions") for host in hosts]
        return all(versions == wanted for versions in found)

    def run_load(self):
        """Run the load and the changes of the site; return the load's exit status."""
        self.print_progress("starting the load")
        command = [str(BINARIES / "kumquat-bench"), f"--json={FIGURES}"]
        self.expected_to_exit.add("bench")
        self.start("bench", command, TABLE)
        for delay_s, change in self.changes():
            time.sleep(delay_s)
            change()
        status = self.runner.wait("bench", BENCH_LIMIT_S)
        self.print_progress(f"the load generator exited with status {status}")
        return status

    def changes(self):
        """Return the changes of the demo, each with the delay in seconds before it."""
        return [
            (4, lambda: self.ctl("target", "retire", RETIRED_TARGET)),
            (3, lambda: self.ctl("domain", "out", DOMAIN_OUT, WAIT)),
            (9, lambda: self.ctl("domain", "in", DOMAIN_OUT, WAIT)),
            (2, lambda: self.kill(KILLED_ENTRY)),
            (DOWN_TIME_S, lambda: self.restart(KILLED_ENTRY)),
        ]

    def kill(self, name):
        """Kill one entry."""
        self.print_progress(f"killing {name}, process {self.runner.runs[name].pid}")
        self.runner.signal(name, signal.SIGKILL)
        self.runner.wait(name, COMMAND_LIMIT_S)

    def restart(self, name):
        """Restart a killed entry."""
        self.print_progress(f"restarting {name}")
        self.start_entry(name)

    def unexpected_exits(self):
        """Return the names of the processes that exited unexpectedly."""
        return [
            name for name in self.runner.ended() if name not in self.expected_to_exit
        ]


def interrupt(signum, frame):
    """Handle SIGTERM like Ctrl-C, so that all processes are stopped."""
    raise KeyboardInterrupt


def run_demo(entry="", ctl="", block=prepare.BLOCK):
    """Run the demo; ENTRY and CTL replace the commands of the two programs.

    All addresses are loopback addresses; BLOCK is their second byte.
    """
    signal.signal(signal.SIGTERM, interrupt)
    preparation = prepare.Preparation(block, DIRECTORY)
    preparation.write_all()
    for path in (TABLE, FIGURES):
        path.unlink(missing_ok=True)
    entry_command = entry.split() or [str(BINARIES / "kumquat-entry")]
    ctl_command = ctl.split() or [str(BINARIES / "kumquat-ctl")]
    with open(DIRECTORY / "demo.log", "w", encoding="utf-8") as log:
        runner = Runner(log)
        demo = Demo(preparation.site, runner, entry_command, ctl_command)
        try:
            demo.start_site()
            status = demo.run_load()
            failures = [f"{name} exited early" for name in demo.unexpected_exits()]
            if status:
                failures.append(f"the exit status of the load generator was {status}")
        except (RuntimeError, TimeoutError, subprocess.TimeoutExpired) as exc:
            failures = [str(exc)]
        except KeyboardInterrupt:
            failures = ["interrupted"]
        finally:
            runner.stop_all()
        return print_result(demo, failures, log)


def print_result(demo, failures, log):
    """Print the table and the failures; return the exit status."""
    took_s = time.monotonic() - demo.started_s
    if took_s > DEMO_LIMIT_S:
        failures.append(f"took {took_s:.0f} s, more than {DEMO_LIMIT_S:g} s")
    if TABLE.exists():
        print(TABLE.read_text())
    for failure in failures:
        print(f"FAILED: {failure}")
    if failures:
        print(f"The logs of the processes are in {log.name}.")
    demo.print_progress("failed" if failures else "passed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(fire.Fire(run_demo, serialize=lambda _: None))
