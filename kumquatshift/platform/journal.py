"""Decoding of the users' benchmark journal and site files, for reports."""

import json
import tomllib
from dataclasses import dataclass
from pathlib import Path

STANDARD_SLOTS = ("quiet", "trouble", "scale")

#: Kinds of the benchmark's closing fault that stop all entries at once.
RESTART_FAULTS = ("power_off_all", "kill_all")


@dataclass(frozen=True)
class Price:
    """One deduction from the worth of a day."""

    name: str
    cost: float


@dataclass(frozen=True)
class DayResult:
    """Result of one day of a benchmark run."""

    name: str
    worth: float
    broken: tuple[str, ...]
    prices: tuple[Price, ...]

    @classmethod
    def from_entry(cls, entry: dict) -> "DayResult":
        """Decode one day of a journal entry."""
        return cls(
            name=entry["name"],
            worth=float(entry["G"]),  # After prices, before marks are applied.
            broken=tuple(sorted(entry["rules"] or ())),
            prices=tuple(Price(name, cost) for name, _, cost in entry["prices"]),
        )


@dataclass(frozen=True)
class Score:
    """Results of one benchmark run of a site's standard days."""

    at: str
    commit: str
    site: str
    why: str
    days: tuple[DayResult, ...]

    @classmethod
    def from_entry(cls, entry: dict) -> "Score":
        """Decode a journal entry."""
        days = [DayResult.from_entry(d) for d in entry["days"] if _is_standard(d)]
        return cls(
            at=str(entry["at"][0]),
            commit=entry["head"][:7],
            site=entry["site"],
            why=entry["why"] or "",
            days=tuple(days),
        )


@dataclass(frozen=True)
class RequestClass:
    """One class of requests, with what an outage costs it; times in seconds."""

    share: float
    aim_s: float
    deadline_s: float
    late_credit: float
    opens_flow: bool


@dataclass(frozen=True)
class SiteDay:
    """A standard day; ``down_s`` is how long all entries are down at its end, or 0."""

    name: str
    length_s: float
    down_s: float


def scores_in(folder: Path) -> list[Score]:
    """Return all runs of standard days in a journal, oldest first."""
    found = []
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text(encoding="utf-8"))
        if entry.get("cmd") == "score" and entry.get("days") and entry.get("site"):
            found.append(Score.from_entry(entry))
    return found


def site_days(path: Path) -> tuple[tuple[SiteDay, ...], tuple[RequestClass, ...]]:
    """Read the standard days and the request classes from a site file."""
    site = tomllib.loads(path.read_text(encoding="utf-8"))
    days = []
    for day in site["day"]:
        closing = day.get("closing") or {}
        restarts = closing.get("kind") in RESTART_FAULTS
        length_s = float(day.get("length_s", site["length_s"]))
        down_s = float(closing.get("down_s", 0.0)) if restarts else 0.0
        days.append(SiteDay(day["name"], length_s, down_s))
    return tuple(days), _request_classes(site)


def _request_classes(site: dict) -> tuple[RequestClass, ...]:
    counts: dict[str, float] = {}
    for traffic in site["traffic"]:
        total = sum(traffic["mix"].values())
        for name, part in traffic["mix"].items():
            counts[name] = counts.get(name, 0.0) + traffic["per_s"] * part / total
    worths = {kind["name"]: kind["worth"] for kind in site["classes"]}
    total_worth = sum(counts[name] * worths[name] for name in counts)
    return tuple(
        RequestClass(
            share=counts[kind["name"]] * kind["worth"] / total_worth,
            aim_s=kind["aim_ms"] / 1000,
            deadline_s=kind["deadline_ms"] / 1000,
            late_credit=kind["late_worth"] / kind["worth"],
            # These callers open a flow per request; others reuse their flows.
            opens_flow=kind.get("habit") == "fresh",
        )
        for kind in site["classes"]
        if kind["name"] in counts
    )


def _is_standard(entry: dict) -> bool:
    return entry["name"].split("-")[0] in STANDARD_SLOTS
