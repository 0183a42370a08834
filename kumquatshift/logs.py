"""Logging: short sentences with the prefix of the part that logs them.

`setup` is called once at start; each module gets the logger of its part::

    setup(cfg.log.level, cfg.log.format, env.stderr, secrets=(cfg.keys.current,))
    log = logger_for(Part.MEMBERSHIP)
    log.info("e3 is suspected: no heartbeat for {:.1f} s.", silent_s)

prints ``2026-01-31T08:00:00.000Z INFO    membership: e3 is suspected: ...``.
Lines that a packet can cause are logged through `RateLimited`.
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
    """Parts of the programs; the value is the prefix of their log lines."""

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
    """Write all lines of ``level`` and above to ``stream``.

    ``secrets`` are redacted in lines and tracebacks, in hexadecimal form as well
    as in the form that `repr` gives bytes. Warnings and errors of libraries are
    logged under the prefix of `Part.LIBRARY`.
    """
    secret_forms = _secret_forms(secrets)
    render = _json_line if format is LogFormat.JSON else _human_line

    def write(message) -> None:
        stream.write(render(_make_line(message.record, secret_forms)) + "\n")
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
    """Return the logger of a part; raises `ValueError` if there is no such part."""
    return logger.bind(part=Part(part))


@dataclass(frozen=True)
class _Line:
    """The fields of one log line, with secrets redacted."""

    time: str
    level: str
    part: str
    message: str
    traceback: tuple[str, ...]


def _make_line(record: dict[str, Any], secret_forms: list[str]) -> _Line:
    return _Line(
        time=_timestamp(record),
        level=record["level"].name,
        part=str(record["extra"]["part"]),
        message=_redact(secret_forms, record["message"]),
        traceback=tuple(_redact(secret_forms, each) for each in _traceback(record)),
    )


def _human_line(line: _Line) -> str:
    head = f"{line.time} {line.level:<7} {line.part}: {_escape_controls(line.message)}"
    return head + "".join(f"\n    {_escape_controls(each)}" for each in line.traceback)


def _json_line(line: _Line) -> str:
    fields = asdict(line)
    if not line.traceback:
        del fields["traceback"]
    return json.dumps(fields)


def _timestamp(record: dict[str, Any]) -> str:
    moment = record["time"].astimezone(UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _escape_controls(text: str) -> str:
    """Escape line ends and other control characters, which peers can inject."""
    return "".join(each if each.isprintable() else ascii(each)[1:-1] for each in text)


def _traceback(record: dict[str, Any]) -> list[str]:
    exc = record["exception"]
    if exc is None or exc.value is None:
        return []
    return "".join(format_exception(exc.value)).splitlines()


def _redact(secret_forms: list[str], text: str) -> str:
    for form in secret_forms:
        text = text.replace(form, HIDDEN)
    return text


def _secret_forms(secrets: Iterable[Secret | None]) -> list[str]:
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
    """Observe Twisted's log; `beginLoggingTo` works only once in a process."""
    globalLogBeginner.beginLoggingTo(
        [_observe_twisted], discardBuffer=False, redirectStandardIO=False
    )


class _LibraryHandler(logging.Handler):
    """Forwards the records that libraries log through the `logging` module."""

    def emit(self, record: logging.LogRecord) -> None:
        level = "ERROR" if record.levelno >= logging.ERROR else "WARNING"
        target = logger_for(Part.LIBRARY).opt(exception=record.exc_info)
        target.log(level, "{}", f"{record.name}: {record.getMessage()}")


def _observe_twisted(event: dict[str, Any]) -> None:
    """Forward Twisted's warnings and errors, such as unhandled failures."""
    level = TWISTED_LEVELS.get(event.get("log_level"))
    if level is None:
        return
    failure = event.get("log_failure")
    exc = failure.value if failure else None
    target = logger_for(Part.LIBRARY).opt(exception=exc)
    target.log(level, "{}", formatEvent(event) or "unhandled failure")


@dataclass
class _Window:
    """Lines of one key that were suppressed since one was last written.

    ``last`` is the latest suppressed line.
    """

    started_s: float
    suppressed: int = 0
    last: tuple[str, tuple] = ("", ())


class RateLimited:
    """Writes at most one line per key in ``every_s`` seconds, and counts the rest.

    The first line of a key is written at once. After ``every_s`` on ``clock``,
    the latest of the lines that followed is written, with the number of the
    others. A key names a kind of line, never a caller: beyond
    `MAX_RATE_LIMIT_KEYS` keys share one limit::

        limited = RateLimited(logger_for(Part.PACKETS), reactor)
        limited.warning(DropReason.MALFORMED, "A packet from {} is malformed.", host)
    """

    def __init__(self, log, clock: IReactorTime, every_s: float = RATE_LIMIT_S):
        self._log = log
        self._clock = clock
        self._every_s = every_s
        self._windows: dict[Hashable, _Window] = {}

    def info(self, key: Hashable, message: str, *args: Any) -> None:
        """Log a line at level INFO, unless the key is over its limit."""
        self._write("INFO", key, message, args)

    def warning(self, key: Hashable, message: str, *args: Any) -> None:
        """Log a line at level WARNING, unless the key is over its limit."""
        self._write("WARNING", key, message, args)

    def error(self, key: Hashable, message: str, *args: Any) -> None:
        """Log a line at level ERROR, unless the key is over its limit."""
        self._write("ERROR", key, message, args)

    def _write(self, level: str, key: Hashable, message: str, args: tuple) -> None:
        now_s = self._clock.seconds()
        window = self._windows.get(key)
        if window is None and len(self._windows) >= MAX_RATE_LIMIT_KEYS:
            self._evict_expired(now_s)
            if len(self._windows) >= MAX_RATE_LIMIT_KEYS:
                key = OVERFLOW_KEY
                window = self._windows.get(key)
        if window is None or self._is_expired(window, now_s):
            self._windows[key] = _Window(now_s)
            self._log.log(level, message, *args)
            return
        window.suppressed += 1
        window.last = (message, args)
        if window.suppressed == 1:
            left_s = window.started_s + self._every_s - now_s
            self._clock.callLater(left_s, self._write_suppressed, level, key)

    def _is_expired(self, window: _Window, now_s: float) -> bool:
        return not window.suppressed and now_s >= window.started_s + self._every_s

    def _evict_expired(self, now_s: float) -> None:
        old = [
            key for key, each in self._windows.items() if self._is_expired(each, now_s)
        ]
        for key in old:
            del self._windows[key]

    def _write_suppressed(self, level: str, key: Hashable) -> None:
        window = self._windows[key]
        self._windows[key] = _Window(self._clock.seconds())
        message, args = window.last
        text = message.format(*args)
        if window.suppressed > 1:
            text += f" ({window.suppressed - 1} more like it in {self._every_s:g} s.)"
        self._log.log(level, "{}", text)
