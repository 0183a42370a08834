"""A measured value with its bound, and the table and JSON file of the results."""

import json
import math
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from tabulate import tabulate

TABLE_DIGITS = ".6g"


@dataclass(frozen=True)
class Measure:
    """A measured value, its bound as text, and whether the value is within it.

    ``bound`` is empty for a value that is reported without one.
    """

    name: str
    value: float
    bound: str = ""
    holds: bool = True

    @property
    def passed(self) -> bool:
        """Whether the value is finite and within its bound."""
        return self.holds and math.isfinite(self.value)


def at_most(name: str, value: float, limit: float) -> Measure:
    """Return a measurement that must not be above ``limit``."""
    return Measure(name, value, f"<= {limit:g}", value <= limit)


def at_least(name: str, value: float, limit: float) -> Measure:
    """Return a measurement that must not be below ``limit``."""
    return Measure(name, value, f">= {limit:g}", value >= limit)


def exactly(name: str, value: float, wanted: float) -> Measure:
    """Return a measurement that must equal ``wanted``."""
    return Measure(name, value, f"= {wanted:g}", value == wanted)


def reported(name: str, value: float) -> Measure:
    """Return a measurement without a bound."""
    return Measure(name, value)


def format_table(measures: Iterable[Measure], not_run: Iterable[str]) -> str:
    """Format the results as a table, with the measurements not run at the end."""
    rows = [
        (each.name, format(each.value, TABLE_DIGITS), each.bound, _verdict(each))
        for each in measures
    ]
    rows += [(name, "", "", "not run") for name in not_run]
    headers = ("measure", "figure", "bound", "verdict")
    return tabulate(rows, headers, disable_numparse=True, colalign=("left", "right"))


def write_json(measures: Iterable[Measure], path: Path) -> None:
    """Write a flat JSON object of name to value; omit NaN and infinite values."""
    values = {each.name: each.value for each in measures if math.isfinite(each.value)}
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(values, indent=2) + "\n")


def _verdict(measure: Measure) -> str:
    if not measure.passed:
        return "DOES NOT HOLD"
    return "holds" if measure.bound else "reported"
