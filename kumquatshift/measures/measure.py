"""One figure with its bound, and the table and file that figures go into."""

import json
import math
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from tabulate import tabulate

TABLE_DIGITS = ".6g"


@dataclass(frozen=True)
class Measure:
    """A figure, its bound in words, and whether the bound holds.

    ``bound`` is empty for a figure that is reported without one.
    """

    name: str
    value: float
    bound: str = ""
    holds: bool = True

    @property
    def passed(self) -> bool:
        """Whether the value is a number and its bound holds."""
        return self.holds and math.isfinite(self.value)


def at_most(name: str, value: float, limit: float) -> Measure:
    """Return a figure that must not be above ``limit``."""
    return Measure(name, value, f"<= {limit:g}", value <= limit)


def at_least(name: str, value: float, limit: float) -> Measure:
    """Return a figure that must not be below ``limit``."""
    return Measure(name, value, f">= {limit:g}", value >= limit)


def exactly(name: str, value: float, wanted: float) -> Measure:
    """Return a figure that must be ``wanted``."""
    return Measure(name, value, f"= {wanted:g}", value == wanted)


def reported(name: str, value: float) -> Measure:
    """Return a figure without a bound."""
    return Measure(name, value)


def table_of(measures: Iterable[Measure], not_run: Iterable[str]) -> str:
    """Return the figures as a table, those that were not run last."""
    rows = [
        (each.name, format(each.value, TABLE_DIGITS), each.bound, _verdict(each))
        for each in measures
    ]
    rows += [(name, "", "", "not run") for name in not_run]
    headers = ("measure", "figure", "bound", "verdict")
    return tabulate(rows, headers, disable_numparse=True, colalign=("left", "right"))


def write_json(measures: Iterable[Measure], path: Path) -> None:
    """Write a flat object from name to number; what is no number is left out."""
    values = {each.name: each.value for each in measures if math.isfinite(each.value)}
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(values, indent=2) + "\n")


def _verdict(measure: Measure) -> str:
    if not measure.passed:
        return "DOES NOT HOLD"
    return "holds" if measure.bound else "reported"
