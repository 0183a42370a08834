"""Runs all measures and gives the verdict."""

import traceback
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from ..context import Environment
from ..engine.ports import Clock
from ..status import ExitStatus
from .measure import Measure, at_most, table_of, write_json
from .registry import Group, MeasureFunction

MAX_RUN_S = 300.0
RUN_TIME_NAME = "measure_seconds"

Loader = Callable[[Group], tuple[MeasureFunction, ...]]


@dataclass
class Outcome:
    """What came of a run: figures, names without one, and failures in words."""

    measures: list[Measure] = field(default_factory=list)
    not_run: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Whether nothing failed and every bound holds."""
        return not self.failures and all(each.passed for each in self.measures)


def run_measures(
    groups: Iterable[Group],
    load: Loader,
    clock: Clock,
    path: Path,
    env: Environment,
) -> ExitStatus:
    """Run the groups one after another, print the table and write the file.

    The status is `ExitStatus.ERROR` when a bound does not hold, when a
    function failed, or when a module that is there owes a figure. A module
    that is not there is told as not run.
    """
    started_s = clock.seconds()
    outcome = Outcome()
    for group in groups:
        _run_group(group, load, outcome, env)
    passed_s = clock.seconds() - started_s
    outcome.measures.append(at_most(RUN_TIME_NAME, passed_s, MAX_RUN_S))
    write_json(outcome.measures, path)
    print(table_of(outcome.measures, outcome.not_run), file=env.stdout)
    for failure in outcome.failures:
        print(f"FAILED {failure}", file=env.stdout)
    return ExitStatus.SUCCESS if outcome.good else ExitStatus.ERROR


def _run_group(group: Group, load: Loader, outcome: Outcome, env: Environment) -> None:
    try:
        functions = load(group)
    except Exception as exc:
        functions = ()
        _tell_failure(group.module, exc, outcome, env)
    found: list[Measure] = []
    for function in functions:
        name = f"{group.module}.{function.__name__}"
        print(f"running {name}", file=env.stderr, flush=True)
        try:
            found += function()
        except Exception as exc:
            _tell_failure(name, exc, outcome, env)
    missing = sorted(set(group.names) - {each.name for each in found})
    if functions and missing:
        outcome.failures.append(f"{group.module}: no figure for {', '.join(missing)}")
    outcome.not_run += missing
    outcome.measures += found


def _tell_failure(
    name: str, exc: Exception, outcome: Outcome, env: Environment
) -> None:
    print("".join(traceback.format_exception(exc)), file=env.stderr)
    outcome.failures.append(f"{name}: {type(exc).__name__}: {exc}")
