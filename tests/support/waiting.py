"""Run the real reactor until a condition holds or a result is available."""

import asyncio
import time
from collections.abc import Awaitable, Callable

ITERATION_S = 0.002


def installed_reactor():
    """Return the reactor that the test environment installed, started if needed."""
    from twisted.internet import reactor  # noqa: PLC0415 (importing installs it)

    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    return reactor


def use_reactor(context):
    """Return the running reactor, which is shut down after the test run."""
    reactor = installed_reactor()
    if not getattr(reactor, "ends_with_tests", False):
        reactor.ends_with_tests = True
        context.add_cleanup(_shut_down, layer="testrun")
    return reactor


def _shut_down() -> None:
    """Stop the reactor's threads, which would keep the process from exiting."""
    reactor = installed_reactor()
    reactor.fireSystemEvent("shutdown")
    reactor.iterate(ITERATION_S)


def wait_until(condition: Callable[[], bool], timeout_s: float = 10.0) -> int:
    """Run the reactor until ``condition()``; return the number of iterations."""
    reactor = installed_reactor()
    end_s = time.monotonic() + timeout_s
    iterations = 0
    while not condition():
        if time.monotonic() > end_s:
            raise AssertionError(f"condition not met within {timeout_s} s")
        reactor.iterate(ITERATION_S)
        iterations += 1
    return iterations


def result_of(deferred, timeout_s: float = 10.0):
    """Return the result of a Deferred, or raise its failure."""
    outcome = []
    deferred.addBoth(outcome.append)
    wait_until(lambda: bool(outcome), timeout_s)
    if hasattr(outcome[0], "raiseException"):
        outcome[0].raiseException()
    return outcome[0]


def result_of_coroutine(work: Awaitable, timeout_s: float = 10.0):
    """Return the result of a coroutine that runs on asyncio's loop."""
    reactor = installed_reactor()
    loop = reactor._asyncioEventloop
    task = loop.create_task(asyncio.wait_for(work, timeout_s))
    wait_until(task.done, timeout_s + 1)
    return task.result()
