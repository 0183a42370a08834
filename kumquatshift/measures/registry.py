"""Registry of the measurement modules and of the results that each must return.

A module of one of the packages in `PACKAGES` lists its functions in a tuple named
``MEASURES``; each function returns its results::

    def measure_wrong_answers() -> tuple[Measure, ...]:
        return (exactly("wrong_answers", run().wrong, 0),)

    MEASURES = (measure_wrong_answers,)
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from importlib import import_module
from importlib.util import find_spec

from .measure import Measure

MeasureFunction = Callable[[], Iterable[Measure]]


@dataclass(frozen=True)
class Group:
    """A module, and the names of the results that it must return."""

    module: str
    names: tuple[str, ...]


#: Measurements that need the fakes of the tests are in tests.measures, which is in
#: the repository but not in the installed package.
PACKAGES = (__package__, "tests.measures")

GROUPS = (
    Group(
        "flows",
        (
            "broken_flows_single",
            "broken_flows_pairs",
            "broken_flows_naive_single",
            "packets_after_domain_out",
            "config_seconds_max",
            "control_bytes_per_s",
        ),
    ),
    Group(
        "requests",
        (
            "duplicate_runs",
            "false_not_run",
            "wrong_answers",
            "cold_overload",
            "imbalance_max_over_mean",
            "urgent_p99_ratio",
            "goodput_overload_ratio",
        ),
    ),
    Group(
        "start",
        (
            "direct_start_cpu_seconds",
            "direct_start_memory_mb",
            "direct_start_ratio_to_asyncio",
        ),
    ),
    Group("packets", ("pps_ratio_home", "pps_ratio_relay", "bytes_per_flow")),
)


def functions_of(group: Group) -> tuple[MeasureFunction, ...]:
    """Return the functions of a group's module, or () if the module is missing."""
    for package in PACKAGES:
        name = f"{package}.{group.module}"
        if _module_exists(name):
            return tuple(import_module(name).MEASURES)
    return ()


def _module_exists(name):
    try:
        return find_spec(name) is not None
    except ModuleNotFoundError:
        return False
