"""Lets the real reactor turn until something has come about."""

import asyncio
import time
from collections.abc import Awaitable, Callable

TURN_S = 0.002


def installed_reactor():
    """Return the reactor that the tests' environment has installed, running."""
    from twisted.internet import reactor  # noqa: PLC0415 (importing fixes it)

    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    return reactor


def use_reactor(context):
    """Return the running reactor, which ends with the test run of ``context``."""
    reactor = installed_reactor()
    if not getattr(reactor, "ends_with_tests", False):
        reactor.ends_with_tests = True
        context.add_cleanup(_shut_down, layer="testrun")
    return reactor


def _shut_down() -> None:
    """Stop the reactor's threads, which would keep the process from ending."""
    reactor = installed_reactor()
    reactor.fireSystemEvent("shutdown")
    reactor.iterate(TURN_S)


def wait_until(holds: Callable[[], bool], timeout_s: float = 10.0) -> int:
    """Turn the reactor until ``holds()``; return the number of turns."""
    reactor = installed_reactor()
    end_s = time.monotonic() + timeout_s
    turns = 0
    while not holds():
        if time.monotonic() > end_s:
            raise AssertionError(f"not so after {timeout_s} s")
        reactor.iterate(TURN_S)
        turns += 1
    return turns


def result_of(deferred, timeout_s: float = 10.0):
    """Return a Deferred's result, or raise what it failed with."""
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
