"""`kumquat-bench`: load on a running system, and the measures of what callers saw."""

import asyncio
import configparser
import json
import sys
from pathlib import Path

import fire
from loguru import logger
from twisted.internet import defer

from kumquatshift.bench.run import Bench
from kumquatshift.bench.settings import BenchSettings
from kumquatshift.context import Environment
from kumquatshift.status import ExitStatus

from .inifile import read_sections
from .loop import install_reactor
from .standin import start_log


class BenchCommand:
    """Runs the load that an INI file describes, and prints the measures."""

    def __init__(self, env: Environment):
        self._env = env

    def run(self, settings, json=None):
        """Run the load of the file SETTINGS; write the figures to the file JSON.

        The exit status is 0 only if nothing was seen that must not happen.
        """
        start_log(self._env)
        reactor = install_reactor()
        try:
            bench_settings = BenchSettings.from_config(read_sections(settings))
        except (OSError, configparser.Error, KeyError, ValueError) as exc:
            logger.error("bench: {} cannot be used, {!r}.", settings, exc)
            return ExitStatus.BAD_SETTINGS
        report = run_bench(bench_settings, reactor)
        if report is None:
            return ExitStatus.INTERRUPTED
        if json is not None:
            write_json(Path(json), report)
        return self._tell(report)

    def _tell(self, report):
        broken = report.broken_rules()
        for line in (report.table(), *(f"BROKEN: {rule}" for rule in broken)):
            print(line, file=self._env.stdout, flush=True)
        return ExitStatus.ERROR if broken else ExitStatus.SUCCESS


def write_json(path, report):
    """Write the figures as JSON."""
    path.write_text(json.dumps(report.as_mapping(), indent=2) + "\n")


def run_bench(settings, reactor):
    """Run the reactor until the load is over; return the report, or None."""
    reports = []

    async def run_load():
        bench = Bench(settings, reactor)
        reports.append(await bench.run())

    def begin():
        running = defer.Deferred.fromFuture(asyncio.ensure_future(run_load()))
        running.addErrback(lambda failure: logger.error("bench: {}", failure))
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    return reports[0] if reports else None


def main(args, env=None):
    """Run the load tool."""
    command = BenchCommand(env or Environment())
    return fire.Fire(
        command.run, command=args, name="kumquat-bench", serialize=lambda _: None
    )


def run():
    """Run with the arguments of the command line."""
    sys.exit(main(sys.argv[1:]))
