"""Settings of an entry with direct server return, read from one INI file.

The file is read at startup and whenever it changes. This module imports little
to keep startup fast, since callers wait for entries after a power loss.
"""

from __future__ import annotations

from collections.abc import Callable
from configparser import ConfigParser, Error
from typing import NamedTuple

from .warmup import WarmupBounds

MAX_PORT = 65_535
BYTES_PER_MEGABIT = 125_000


class SettingsError(Exception):
    """The settings file is invalid; ``problems`` lists every error in it."""

    def __init__(self, problems: list[str]):
        super().__init__("; ".join(problems))
        self.problems = problems


Address = tuple[str, int]


class Bounds(NamedTuple):
    """Deadlines within which changes must take effect, in seconds, and limits."""

    stable_window_s: float
    drain_s: float
    config_s: float
    evacuate_s: float
    stop_s: float
    warmup: WarmupBounds


class DirectSettings(NamedTuple):
    """All settings of an entry."""

    name: str
    domain: str
    packets: Address
    readiness: Address
    metrics_port: int
    peers: Address
    seeds: tuple[Address, ...]
    link_bytes_per_s: float
    store: Address
    bounds: Bounds

    @classmethod
    def load(cls, path: str) -> DirectSettings:
        """Read the file at ``path``.

        Raises `SettingsError` with all errors if it is invalid.
        """
        parser = ConfigParser(interpolation=None)
        try:
            with open(path, encoding="utf-8") as file:
                parser.read_file(file)
        except (OSError, UnicodeDecodeError, Error) as exc:
            raise SettingsError([f"{path}: {exc}"]) from exc
        return cls.from_parser(parser)

    @classmethod
    def from_parser(cls, parser: ConfigParser) -> DirectSettings:
        """Build the settings from a parsed file."""
        reader = _Reader(parser)
        settings = cls(
            name=reader.read("entry", "name", _text),
            domain=reader.read("entry", "domain", _text),
            packets=reader.read("entry", "packet_address", _address),
            readiness=reader.read("entry", "ready_address", _address),
            metrics_port=reader.read("entry", "metrics_port", _port),
            peers=reader.read("entry", "peer_address", _address),
            seeds=reader.read("entry", "seeds", _addresses),
            link_bytes_per_s=reader.read("entry", "link_mbps", _link_rate),
            store=reader.read("store", "address", _address),
            bounds=Bounds(
                stable_window_s=reader.read("bounds", "stable_window_ms", _seconds),
                drain_s=reader.read("bounds", "drain_ms", _seconds),
                config_s=reader.read("bounds", "config_ms", _seconds),
                evacuate_s=reader.read("bounds", "evacuate_ms", _seconds),
                stop_s=reader.read("bounds", "stop_s", _number),
                warmup=WarmupBounds(
                    reader.read("bounds", "warmup_burst_factor", _number),
                    reader.read("bounds", "warmup_slack", _number),
                ),
            ),
        )
        if reader.problems:
            raise SettingsError(reader.problems)
        return settings


class _Reader:
    """Reads single keys and collects their errors."""

    def __init__(self, parser: ConfigParser):
        self.problems: list[str] = []
        self._parser = parser

    def read(self, section: str, key: str, convert: Callable):
        text = self._parser.get(section, key, fallback=None)
        if text is None:
            self.problems.append(f"[{section}] {key}: missing (required)")
            return None
        try:
            return convert(text)
        except ValueError as exc:
            self.problems.append(f"[{section}] {key}: found {text!r}; allowed: {exc}")
            return None


def _text(text: str) -> str:
    if not text:
        raise ValueError("a non-empty name")
    return text


def _number(text: str) -> float:
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0 <= number < float("inf"):
        raise ValueError("a number of at least 0")
    return number


def _seconds(text: str) -> float:
    """Convert milliseconds to seconds."""
    return _number(text) / 1000


def _link_rate(text: str) -> float:
    """Convert megabits per second to bytes per second."""
    number = _number(text)
    if not number:
        raise ValueError("a number greater than 0")
    return number * BYTES_PER_MEGABIT


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    numbers = host.split(".")
    if len(numbers) != 4 or not all(n.isdecimal() and int(n) < 256 for n in numbers):
        raise ValueError("an IPv4 address and a port, such as 10.1.0.10:8172")
    return host, _port(port)


def _addresses(text: str) -> tuple[Address, ...]:
    return tuple(_address(each.strip()) for each in text.split(",") if each.strip())


def _port(text: str) -> int:
    if not text.isdecimal() or not 0 < int(text) <= MAX_PORT:
        raise ValueError(f"a port from 1 to {MAX_PORT}")
    return int(text)
