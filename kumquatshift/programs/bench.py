"""`kumquat-bench`: generates load and reports what callers observed."""

import asyncio
import json
import sys
from pathlib import Path

import fire
from returns.pipeline import is_successful
from twisted.internet import defer

from .. import logs
from ..bench.run import Bench
from ..context import Environment
from ..settings import BenchSettings
from ..settings.check import check as check_settings, print_problems
from ..status import ExitStatus
from .loop import install_reactor

log = logs.logger_for(logs.Part.BENCH)


class BenchCommand:
    """Generates the load described by an INI file, and prints the results."""

    def __init__(self, env: Environment):
        self._env = env

    def run(self, settings, json=None, check=False):
        """Generate the load of the file SETTINGS; write the figures to the file JSON.

        The exit status is 0 only if no rule was broken. With --check, the settings
        are only validated, and every error in the file is printed.
        """
        if check:
            return check_settings(BenchSettings, settings, self._env)
        loaded = BenchSettings.load(settings)
        if not is_successful(loaded):
            return print_problems(settings, loaded, self._env)
        cfg = loaded.unwrap()
        logs.setup(cfg.log.level, cfg.log.format, self._env.stderr)
        report = run_bench(cfg, install_reactor())
        if report is None:
            return ExitStatus.INTERRUPTED
        if json is not None:
            write_json(Path(json), report)
        return self._print_report(report)

    def _print_report(self, report):
        broken = report.broken_rules()
        lines = [report.table(), *(f"BROKEN: {rule}" for rule in broken)]
        lines += [f"unexplained: {item}" for item in report.unexplained]
        print(*lines, sep="\n", file=self._env.stdout, flush=True)
        return ExitStatus.ERROR if broken else ExitStatus.SUCCESS


def write_json(path, report):
    """Write the figures as JSON."""
    path.write_text(json.dumps(report.as_mapping(), indent=2) + "\n")


def run_bench(settings, reactor):
    """Run the reactor until the load ends; return the report, or None if it failed."""
    reports = []

    async def run_load():
        bench = Bench(settings, reactor)
        reports.append(await bench.run())

    def begin():
        running = defer.Deferred.fromFuture(asyncio.ensure_future(run_load()))
        running.addErrback(
            lambda failure: log.error("Load run failed: {}.", failure.getTraceback())
        )
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    return reports[0] if reports else None


def main(args, env: Environment) -> ExitStatus:
    """Run the load generator."""
    command = BenchCommand(env)
    return fire.Fire(
        command.run, command=args, name="kumquat-bench", serialize=lambda _: None
    )


def run() -> None:
    """Run with the arguments of the process; entry point of the console script."""
    sys.exit(main(sys.argv[1:], Environment()))
