"""Decoding of the store's objects into the types of `kumquatshift.direct`."""

from __future__ import annotations

import reprlib
import socket

from .. import tolerant_json
from ..direct.calls import Change, Changes, Item, Page, Revision
from ..direct.routes import (
    DEFAULT_OBJECTIVE_S,
    Configuration,
    Route,
    ServiceLimits,
    Share,
)
from ..direct.targets import Report
from .packets import encode_destination

CONFIGURATIONS = "config"
TARGETS = "servers"
EVACUATIONS = "evacuations"

# Name of the object that holds the configuration; others of its kind are ignored.
CONFIGURATION_NAME = "main"

# Rises by one each time that the store comes back from an older copy.
ERA_HEADER = b"store-era"

MAX_OBJECTIVE_MS = 3_600_000

DRAINING_BY_STATE = {"ready": False, "draining": True}


# Content of an object that cannot be read; no kind of object accepts it.
UNREADABLE = None

# What decoding raises for values of the wrong type or range.
INVALID = (ValueError, TypeError, KeyError, AttributeError, OverflowError, OSError)


class UnreadableError(ValueError):
    """An object or response does not conform to the platform's API."""


def page_from(body: bytes, era: int = 0) -> Page:
    """Decode one page of a list; raises `UnreadableError`.

    An object of another writer that cannot be read does not affect the others.
    """
    try:
        answer, is_sound = tolerant_json.loads(body)
        items = tuple(_item(each, era, is_sound) for each in answer["items"])
        revision = Revision(era, int(answer["currentRev"]))
        return Page(items, bool(answer.get("more")), revision)
    except INVALID as exc:
        raise UnreadableError(f"invalid list response: {exc!r}") from exc


def changes_from(body: bytes, era: int = 0) -> Changes:
    """Decode the response to a watch; raises `UnreadableError`.

    As in a list, an object that cannot be read does not affect the others.
    """
    try:
        answer, is_sound = tolerant_json.loads(body)
        changes = tuple(
            Change(_item(each["object"], era, is_sound), bool(each["deleted"]))
            for each in answer["events"]
        )
        return Changes(changes, Revision(era, int(answer["currentRev"])))
    except INVALID as exc:
        raise UnreadableError(f"invalid watch response: {exc!r}") from exc


def era_from(headers: dict[bytes, bytes]) -> int:
    """Return the store's era from the headers of an answer.

    Raises `UnreadableError` if the header holds no number. A store that never came
    back from a copy may leave the header out.
    """
    value = headers.get(ERA_HEADER, b"0")
    if not value.isdigit():
        raise UnreadableError(f"invalid Store-Era: {value!r}")
    return int(value)


def configuration_from(spec: object) -> Configuration:
    """Decode a configuration; raises `UnreadableError`."""
    try:
        return Configuration(
            version=int(spec["version"]),
            routes=tuple(_route(each) for each in spec["routes"]),
            idle_timeout_s=float(spec["limits"]["idleTimeoutMs"]) / 1000,
            limits=tuple(_limits(each) for each in spec.get("services", ())),
        )
    except INVALID as exc:
        raise UnreadableError(f"invalid configuration: {exc!r}") from exc


def ignored_objectives(spec: dict) -> dict[str, object]:
    """Return latency objectives that `configuration_from` replaced, by route."""
    stated = {str(r["name"]): r.get("targetLatencyMs") for r in spec["routes"]}
    return {
        name: value
        for name, value in stated.items()
        if value is not None and not _is_objective(value)
    }


def report_from(name: str, spec: object) -> Report:
    """Decode the report of a target; raises `UnreadableError`."""
    try:
        host, _, port = spec["address"].rpartition(":")
        socket.inet_aton(host)
        # Remaining warm-up time, not the time since the start.
        warmup_left_ms = _within(spec.get("warmupLeftMs", 0), 0, 3_600_000)
        return Report(
            name=name,
            key=int(name.rpartition("-")[2], 16).to_bytes(8, "big"),
            incarnation=_within(spec.get("born", 0), 0, 1 << 63),
            service=_text(spec["service"]),
            domain=_text(spec["zone"]),
            address=(host, _within(int(port), 1, 65_535)),
            slots=_within(spec["maxConcurrency"], 1, 1_000_000),
            drains=DRAINING_BY_STATE[spec["state"]],
            warmup_left_s=warmup_left_ms / 1000,
            sequence=_within(spec.get("sequence", 0), 0, 1 << 63),
        )
    except INVALID as exc:
        raise UnreadableError(f"invalid target {name!r}: {exc!r}") from exc


def _item(wire: dict, era: int, is_sound: bool) -> Item:
    meta = wire["meta"]
    revision = Revision(era, int(meta["revision"]))
    spec = wire.get("spec")
    if not is_sound and not tolerant_json.is_sound(spec):
        spec = UNREADABLE
    return Item(_text(meta["name"]), revision, spec)


def _route(wire: dict) -> Route:
    # Despite its name, the path prefix holds the port between slashes.
    port = int(wire["pathPrefix"].strip("/"))
    split = wire.get("trafficSplit") or [{"service": wire["service"], "weight": 1}]
    shares = tuple(Share(_text(s["service"]), float(s["weight"])) for s in split)
    destination = encode_destination(wire["host"], port)
    return Route(
        str(wire["name"]),
        destination,
        shares,
        int(wire.get("priority", 0)),
        _objective_s(wire.get("targetLatencyMs")),
    )


def _objective_s(value: object) -> float:
    """Convert a latency objective in milliseconds; the default replaces a bad one."""
    return value / 1000 if _is_objective(value) else DEFAULT_OBJECTIVE_S


def _is_objective(value: object) -> bool:
    try:
        _within(value, 1, MAX_OBJECTIVE_MS)
    except ValueError:
        return False
    return True


def _limits(wire: dict) -> ServiceLimits:
    cold_flows_per_s = float(wire.get("warmupPerS", 0))
    max_flows = _within(wire.get("maxConns", 1 << 31), 1, 1 << 31)
    return ServiceLimits(_text(wire["name"]), cold_flows_per_s, max_flows)


def _text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"expected a non-empty string, found {reprlib.repr(value)}")
    value.encode()  # Raises ValueError for a lone surrogate, which logs cannot hold.
    return value


def _within(value: object, low: int, high: int) -> int:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"expected a number, found {reprlib.repr(value)}")
    if not low <= value <= high:
        raise ValueError(f"expected {low} to {high}, found {reprlib.repr(value)}")
    return value
