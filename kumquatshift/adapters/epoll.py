"""A small event loop on epoll with the interface of Twisted's reactor.

It implements what direct return needs of `IReactorTime`, `IReactorFDSet` and
`IReactorCore` under the same names, so that Twisted's `Clock` and reactors can
replace it. Twisted's own reactor takes several times as long to import as all
the rest of such an entry; docs/DESIGN.md has the figures.
"""

from __future__ import annotations

import heapq
import os
import select
import signal
import socket
import time
from collections.abc import Callable

# Signals wake the loop through a socket pair; this is only a safety net.
MAX_WAIT_S = 10.0


class Descriptor:
    """Base class of file descriptors for this reactor and those of Twisted."""

    def logPrefix(self) -> str:  # noqa: N802
        """Return the name of the descriptor in the reactor's log lines."""
        return type(self).__name__

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Do nothing: `doRead` and `doWrite` detect a lost connection."""


class DelayedCall:
    """A scheduled call, which can be cancelled."""

    __slots__ = ("args", "call", "is_over", "order", "time")

    def __init__(self, when: float, order: int, call: Callable, args: tuple):
        self.time = when
        self.order = order
        self.call = call
        self.args = args
        self.is_over = False

    def __lt__(self, other: DelayedCall) -> bool:
        return (self.time, self.order) < (other.time, other.order)

    def cancel(self) -> None:
        """Cancel the call."""
        self.is_over = True

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return not self.is_over


class EpollReactor:
    """An event loop on one thread: readers, writers, delayed calls and signals.

    ``on_error`` gets the exceptions that a call did not handle; without it they
    end the loop.
    """

    seconds = staticmethod(time.monotonic)

    def __init__(self):
        self.on_error: Callable[[BaseException], None] | None = None
        self._epoll = select.epoll()
        self._readers: dict[int, object] = {}
        self._writers: dict[int, object] = {}
        self._registered: set[int] = set()
        self._calls: list[DelayedCall] = []
        self._order = 0
        self._is_running = False

    @staticmethod
    def suspended_s() -> float:
        """Return for how many seconds the machine was suspended since its boot.

        `seconds` leaves this time out.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()

    def callLater(self, delay: float, call: Callable, *args) -> DelayedCall:  # noqa: N802
        """Call ``call(*args)`` once, ``delay`` seconds from now."""
        self._order += 1
        delayed = DelayedCall(self.seconds() + delay, self._order, call, args)
        heapq.heappush(self._calls, delayed)
        return delayed

    def addReader(self, reader) -> None:  # noqa: N802
        """Call ``reader.doRead()`` whenever its descriptor is readable."""
        self._readers[reader.fileno()] = reader
        self._register(reader.fileno())

    def addWriter(self, writer) -> None:  # noqa: N802
        """Call ``writer.doWrite()`` whenever its descriptor is writable."""
        self._writers[writer.fileno()] = writer
        self._register(writer.fileno())

    def removeReader(self, reader) -> None:  # noqa: N802
        """Stop calling ``reader.doRead()``."""
        if self._readers.pop(reader.fileno(), None) is not None:
            self._register(reader.fileno())

    def removeWriter(self, writer) -> None:  # noqa: N802
        """Stop calling ``writer.doWrite()``."""
        if self._writers.pop(writer.fileno(), None) is not None:
            self._register(writer.fileno())

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        """Call ``call()`` from the loop when the process receives a signal."""
        signal.signal(number, lambda *_: self.callLater(0, call))

    def run(self) -> None:
        """Run until `stop` is called."""
        self._is_running = True
        waker = _Waker(self)
        while self._is_running:
            for fd, events in self._epoll.poll(self._wait_s()):
                self._dispatch(fd, events)
            self._run_due_calls()
        waker.close()

    def stop(self) -> None:
        """Make `run` return after the current iteration."""
        self._is_running = False

    def _wait_s(self) -> float:
        while self._calls and self._calls[0].is_over:
            heapq.heappop(self._calls)
        if not self._calls:
            return MAX_WAIT_S
        wait_s = self._calls[0].time - self.seconds()
        return min(MAX_WAIT_S, max(0.0, wait_s))

    def _dispatch(self, fd: int, events: int) -> None:
        reader = self._readers.get(fd)
        if reader is not None and events & ~select.EPOLLOUT:
            self._invoke(reader.doRead)
        writer = self._writers.get(fd)
        if writer is not None and events & ~select.EPOLLIN:
            self._invoke(writer.doWrite)

    def _run_due_calls(self) -> None:
        now = self.seconds()
        while self._calls and self._calls[0].time <= now:
            delayed = heapq.heappop(self._calls)
            if not delayed.is_over:
                delayed.is_over = True
                self._invoke(delayed.call, *delayed.args)

    def _invoke(self, call: Callable, *args) -> None:
        """Make a call; its exception goes to `on_error` and does not end the loop."""
        try:
            call(*args)
        except Exception as exc:
            if self.on_error is None:
                raise
            self.on_error(exc)

    def _register(self, fd: int) -> None:
        events = 0
        if fd in self._readers:
            events |= select.EPOLLIN
        if fd in self._writers:
            events |= select.EPOLLOUT
        if fd in self._registered:
            self._epoll.unregister(fd)
            self._registered.discard(fd)
        if events:
            self._epoll.register(fd, events)
            self._registered.add(fd)


class _Waker(Descriptor):
    """Wakes the loop from its wait for events when a signal arrives."""

    def __init__(self, reactor: EpollReactor):
        self._receiver, self._sender = socket.socketpair()
        self._receiver.setblocking(False)
        self._sender.setblocking(False)
        signal.set_wakeup_fd(self._sender.fileno(), warn_on_full_buffer=False)
        reactor.addReader(self)

    def fileno(self) -> int:
        return self._receiver.fileno()

    def doRead(self) -> None:  # noqa: N802
        os.read(self.fileno(), 4096)

    def close(self) -> None:
        signal.set_wakeup_fd(-1)
        self._receiver.close()
        self._sender.close()
