"""Runs the measurements, prints and stores the results, and returns the exit status."""

import traceback
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from ..context import Environment
from ..engine.ports import Clock
from ..status import ExitStatus
from .measure import Measure, at_most, format_table, write_json
from .registry import Group, MeasureFunction

MAX_RUN_S = 300.0
RUN_TIME_NAME = "measure_seconds"

Loader = Callable[[Group], tuple[MeasureFunction, ...]]


@dataclass
class Outcome:
    """Results of a run: the measurements, the names not run, and error messages."""

    measures: list[Measure] = field(default_factory=list)
    not_run: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)

    @property
    def succeeded(self) -> bool:
        """Whether there was no failure and every bound holds."""
        return not self.failures and all(each.passed for each in self.measures)


def run_measures(
    groups: Iterable[Group],
    load: Loader,
    clock: Clock,
    path: Path,
    env: Environment,
) -> ExitStatus:
    """Run the groups one after another, print the table and write the JSON file.

    The status is `ExitStatus.ERROR` if a bound does not hold, a function raised
    an exception, or an existing module did not return a result that it must
    return. The results of a missing module are listed as not run.
    """
    started_s = clock.seconds()
    outcome = Outcome()
    for group in groups:
        _run_group(group, load, outcome, env)
    elapsed_s = clock.seconds() - started_s
    outcome.measures.append(at_most(RUN_TIME_NAME, elapsed_s, MAX_RUN_S))
    write_json(outcome.measures, path)
    print(format_table(outcome.measures, outcome.not_run), file=env.stdout)
    for failure in outcome.failures:
        print(f"FAILED {failure}", file=env.stdout)
    return ExitStatus.SUCCESS if outcome.succeeded else ExitStatus.ERROR


def _run_group(group: Group, load: Loader, outcome: Outcome, env: Environment) -> None:
    try:
        functions = load(group)
    except Exception as exc:
        functions = ()
        _record_failure(group.module, exc, outcome, env)
    found: list[Measure] = []
    for function in functions:
        name = f"{group.module}.{function.__name__}"
        print(f"running {name}", file=env.stderr, flush=True)
        try:
            found += function()
        except Exception as exc:
            _record_failure(name, exc, outcome, env)
    missing = sorted(set(group.names) - {each.name for each in found})
    if functions and missing:
        outcome.failures.append(f"{group.module}: no figure for {', '.join(missing)}")
    outcome.not_run += missing
    outcome.measures += found


def _record_failure(
    name: str, exc: Exception, outcome: Outcome, env: Environment
) -> None:
    print("".join(traceback.format_exception(exc)), file=env.stderr)
    outcome.failures.append(f"{name}: {type(exc).__name__}: {exc}")
