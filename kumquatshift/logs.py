"""Log lines: short sentences, each with the fixed prefix of its part.

Set up once at start, then every module asks for the logger of its part::

    setup(cfg.log.level, cfg.log.format, env.stderr, secrets=(cfg.keys.current,))
    log = logger_for(Part.MEMBERSHIP)
    log.info("e3 is suspected: no heartbeat for {:.1f} s.", silent_s)

prints ``2026-01-31T08:00:00.000Z INFO    membership: e3 is suspected: ...``.
What a packet can cause goes through `RateLimited`.
"""

import json
import logging
from collections.abc import Hashable, Iterable
from dataclasses import asdict, dataclass
from datetime import UTC
from enum import StrEnum
from functools import cache
from traceback import format_exception
from typing import Any, TextIO

from loguru import logger
from twisted.internet.interfaces import IReactorTime
from twisted.logger import LogLevel as TwistedLevel, formatEvent, globalLogBeginner

from .settings.common import LogFormat, LogLevel
from .settings.problems import HIDDEN
from .settings.values import Secret

RATE_LIMIT_S = 10.0
MAX_RATE_LIMIT_KEYS = 1000
OVERFLOW_KEY = "too many kinds of line"

LEVEL_NAMES = {level: level.name for level in LogLevel}
TWISTED_LEVELS = {
    TwistedLevel.warn: "WARNING",
    TwistedLevel.error: "ERROR",
    TwistedLevel.critical: "ERROR",
}


class Part(StrEnum):
    """Parts of the programs; the value is the prefix of their lines."""

    ENTRY = "entry"
    PACKETS = "packets"
    FLOWS = "flows"
    REQUESTS = "requests"
    MEMBERSHIP = "membership"
    CONFIG = "config"
    PLATFORM = "platform"
    PEERS = "peers"
    CONTROL = "control"
    TARGETS = "targets"
    ADMIN = "admin"
    TLS = "tls"
    CTL = "ctl"
    BENCH = "bench"
    DEMO = "demo"
    STANDIN = "standin"
    LIBRARY = "library"


def setup(
    level: LogLevel,
    format: LogFormat,
    stream: TextIO,
    secrets: Iterable[Secret | None] = (),
) -> None:
    """Send all lines of ``level`` and above to ``stream``.

    The bytes of ``secrets`` never reach the stream, in whatever form a line or
    a traceback holds them. Warnings and errors of libraries come along under
    the prefix of `Part.LIBRARY`.
    """
    hidden = _hidden_forms(secrets)
    render = _json_line if format is LogFormat.JSON else _human_line

    def write(message) -> None:
        stream.write(render(_line_of(message.record, hidden)) + "\n")
        stream.flush()

    logger.remove()
    logger.configure(extra={"part": Part.LIBRARY})
    logger.add(
        write,
        level=LEVEL_NAMES[level],
        format="{message}",
        backtrace=False,
        diagnose=False,
    )
    _capture_libraries()


def logger_for(part: Part | str):
    """Return the logger of one part; `ValueError` if there is no such part."""
    return logger.bind(part=Part(part))


@dataclass(frozen=True)
class _Line:
    """What one line tells, free of secrets."""

    time: str
    level: str
    part: str
    message: str
    traceback: tuple[str, ...]


def _line_of(record: dict[str, Any], hidden: list[str]) -> _Line:
    return _Line(
        time=_when(record),
        level=record["level"].name,
        part=str(record["extra"]["part"]),
        message=_without(hidden, record["message"]),
        traceback=tuple(_without(hidden, each) for each in _traceback(record)),
    )


def _human_line(line: _Line) -> str:
    head = f"{line.time} {line.level:<7} {line.part}: {_one_line(line.message)}"
    return head + "".join(f"\n    {_one_line(each)}" for each in line.traceback)


def _json_line(line: _Line) -> str:
    fields = asdict(line)
    if not line.traceback:
        del fields["traceback"]
    return json.dumps(fields)


def _when(record: dict[str, Any]) -> str:
    moment = record["time"].astimezone(UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _one_line(text: str) -> str:
    """Escape line ends and other control characters, which a peer may send."""
    return "".join(each if each.isprintable() else ascii(each)[1:-1] for each in text)


def _traceback(record: dict[str, Any]) -> list[str]:
    exc = record["exception"]
    if exc is None or exc.value is None:
        return []
    return "".join(format_exception(exc.value)).splitlines()


def _without(hidden: list[str], text: str) -> str:
    for form in hidden:
        text = text.replace(form, HIDDEN)
    return text


def _hidden_forms(secrets: Iterable[Secret | None]) -> list[str]:
    values = [secret.value for secret in secrets if secret is not None]
    forms = []
    for value in values:
        forms += [value.hex(), value.hex().upper(), repr(value)[2:-1]]
    return forms


def _capture_libraries() -> None:
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)
    _begin_twisted_logging()


@cache
def _begin_twisted_logging() -> None:
    """Take Twisted's events; it can be told only once in a process."""
    globalLogBeginner.beginLoggingTo(
        [_observe_twisted], discardBuffer=False, redirectStandardIO=False
    )


class _LibraryHandler(logging.Handler):
    """Passes on what libraries log through the standard `logging` module."""

    def emit(self, record: logging.LogRecord) -> None:
        level = "ERROR" if record.levelno >= logging.ERROR else "WARNING"
        target = logger_for(Part.LIBRARY).opt(exception=record.exc_info)
        target.log(level, "{}", f"{record.name}: {record.getMessage()}")


def _observe_twisted(event: dict[str, Any]) -> None:
    """Pass on Twisted's warnings and errors, such as an unhandled failure."""
    level = TWISTED_LEVELS.get(event.get("log_level"))
    if level is None:
        return
    failure = event.get("log_failure")
    exc = failure.value if failure else None
    target = logger_for(Part.LIBRARY).opt(exception=exc)
    target.log(level, "{}", formatEvent(event) or "an unhandled failure")


@dataclass
class _Window:
    """Lines of one key since the last that was written; ``last`` is not yet."""

    started_s: float
    suppressed: int = 0
    last: tuple[str, tuple] = ("", ())


class RateLimited:
    """Writes at most one line a key in ``every_s`` seconds, and counts the rest.

    The first line of a key is written at once. When the time is over, on
    ``clock``, the last of those that came after it is written, with the number
    of the others. Keys name a kind of line, never a caller: beyond
    `MAX_RATE_LIMIT_KEYS` they share one limit::

        limited = RateLimited(logger_for(Part.PACKETS), reactor)
        limited.warning(DropReason.MALFORMED, "A packet from {} is malformed.", host)
    """

    def __init__(self, log, clock: IReactorTime, every_s: float = RATE_LIMIT_S):
        self._log = log
        self._clock = clock
        self._every_s = every_s
        self._windows: dict[Hashable, _Window] = {}

    def info(self, key: Hashable, message: str, *args: Any) -> None:
        """Write a line of level INFO, unless the key is over its limit."""
        self._write("INFO", key, message, args)

    def warning(self, key: Hashable, message: str, *args: Any) -> None:
        """Write a line of level WARNING, unless the key is over its limit."""
        self._write("WARNING", key, message, args)

    def error(self, key: Hashable, message: str, *args: Any) -> None:
        """Write a line of level ERROR, unless the key is over its limit."""
        self._write("ERROR", key, message, args)

    def _write(self, level: str, key: Hashable, message: str, args: tuple) -> None:
        now_s = self._clock.seconds()
        window = self._windows.get(key)
        if window is None and len(self._windows) >= MAX_RATE_LIMIT_KEYS:
            self._forget_old(now_s)
            if len(self._windows) >= MAX_RATE_LIMIT_KEYS:
                key = OVERFLOW_KEY
                window = self._windows.get(key)
        if window is None or self._is_over(window, now_s):
            self._windows[key] = _Window(now_s)
            self._log.log(level, message, *args)
            return
        window.suppressed += 1
        window.last = (message, args)
        if window.suppressed == 1:
            left_s = window.started_s + self._every_s - now_s
            self._clock.callLater(left_s, self._tell, level, key)

    def _is_over(self, window: _Window, now_s: float) -> bool:
        return not window.suppressed and now_s >= window.started_s + self._every_s

    def _forget_old(self, now_s: float) -> None:
        old = [key for key, each in self._windows.items() if self._is_over(each, now_s)]
        for key in old:
            del self._windows[key]

    def _tell(self, level: str, key: Hashable) -> None:
        window = self._windows[key]
        self._windows[key] = _Window(self._clock.seconds())
        message, args = window.last
        text = message.format(*args)
        if window.suppressed > 1:
            text += f" ({window.suppressed - 1} more like it in {self._every_s:g} s.)"
        self._log.log(level, "{}", text)
