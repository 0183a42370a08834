"""`kumquat-ctl`: the command-line client for operators."""

import sys
from collections.abc import Sequence

from returns.pipeline import is_successful
from twisted.internet.defer import Deferred, maybeDeferred

from .. import core, logs
from ..adapters.platform import PlatformClient, PlatformConfig
from ..cli.constants import PROGRAM
from ..cli.entries import Entry, EntryClient
from ..cli.execution import Executor
from ..cli.explain import (
    explain_failures,
    explain_flow,
    explain_second,
    explain_target,
    read_lines,
)
from ..cli.parsing import load_settings, parse
from ..cli.printing import Printer
from ..cli.requests import CheckRequest, ExplainRequest
from ..context import Environment
from ..settings.check import check
from ..settings.common import LogFormat, LogLevel
from ..settings.ctl import CtlSettings
from ..status import ExitStatus


def run() -> None:
    """Run with the arguments of the process; entry point of the console script."""
    sys.exit(core.main(["ctl", *sys.argv[1:]], Environment()))


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run one command in its own reactor, and return its exit status."""
    from twisted.internet import reactor  # noqa: PLC0415 (importing installs it)

    logs.setup(LogLevel.WARNING, LogFormat.HUMAN, env.stderr)
    prepared = prepare(args, env, reactor)
    if isinstance(prepared, ExitStatus):
        return prepared
    executor, request = prepared
    return _run_reactor(reactor, executor, request, env)


def execute(args: Sequence[str], env: Environment, reactor) -> Deferred:
    """Run one command in a running reactor; the result is its exit status."""
    prepared = prepare(args, env, reactor)
    if isinstance(prepared, ExitStatus):
        return maybeDeferred(lambda: prepared)
    executor, request = prepared
    return Deferred.fromCoroutine(executor.run(request))


def prepare(args: Sequence[str], env: Environment, reactor):
    """Return an executor and a request, or an exit status if none is to be run."""
    request = parse(args, env)
    if request is None:
        return ExitStatus.SUCCESS
    if not is_successful(request):
        return Printer(env).failure(request.failure())
    if isinstance(request.unwrap(), CheckRequest):
        return check(CtlSettings, request.unwrap().path, env)
    if isinstance(request.unwrap(), ExplainRequest):
        return explain(request.unwrap(), env)
    settings = load_settings(args, env)
    if not is_successful(settings):
        return Printer(env).failure(settings.failure())
    cfg = settings.unwrap()
    platform = PlatformClient(PlatformConfig.from_section(cfg.platform), reactor)
    entry_client = EntryClient(reactor, cfg.ctl.admin_port, cfg.tls)
    peers = [Entry(one.name, one.domain, one.address) for one in cfg.peers.members]
    return Executor(platform, entry_client, reactor, env, peers), request.unwrap()


def explain(request: ExplainRequest, env: Environment) -> ExitStatus:
    """Print the explanation found in a log file; requires no connection to a site."""
    try:
        with open(request.path, encoding="utf-8", errors="replace") as file:
            lines = list(read_lines(file))
    except OSError as exc:
        env.stderr.write(f"{PROGRAM}: {request.path}: {exc.strerror}\n")
        return ExitStatus.NOT_FOUND
    if request.flow:
        explanation = explain_flow(lines, request.flow)
    elif request.target:
        explanation = explain_target(lines, request.target)
    elif request.second is not None:
        explanation = explain_second(lines, request.second)
    else:
        explanation = explain_failures(lines)
    for line in explanation.lines:
        env.stdout.write(f"{line}\n")
    env.stdout.write(f"cause: {explanation.cause}\n")
    return ExitStatus.SUCCESS


def _run_reactor(reactor, executor, request, env):
    statuses = []

    def start():
        fut = Deferred.fromCoroutine(executor.run(request))
        fut.addCallbacks(statuses.append, failed)
        fut.addBoth(lambda _: reactor.running and reactor.stop())
        # On an interrupt, let the write in progress complete, so that the operator
        # learns what was written.
        reactor.addSystemEventTrigger("before", "shutdown", interrupt, fut)

    def interrupt(fut):
        if statuses:
            return None
        executor.interrupt()
        statuses.append(ExitStatus.INTERRUPTED)
        return fut

    def failed(reason):
        env.stderr.write(f"{PROGRAM}: internal: {reason.getTraceback()}\n")
        statuses.append(ExitStatus.ERROR)

    reactor.callWhenRunning(start)
    reactor.run()
    return statuses[0]
