import io
import json
import tempfile
from pathlib import Path

from behave import given, then, when
from twisted.internet.task import Clock

from kumquatshift.context import Environment
from kumquatshift.measures.measure import at_least, at_most, exactly, reported
from kumquatshift.measures.registry import GROUPS, Group, functions_of
from kumquatshift.measures.run import run_measures
from kumquatshift.status import ExitStatus

BOUNDS = {"at most": at_most, "at least": at_least, "exactly": exactly}
FIGURES = {
    "holds": at_most("a", 1, 3),
    "does not hold": at_most("a", 9, 3),
    "omits a figure": at_most("b", 1, 3),
    "gives no number": at_most("a", float("nan"), 3),
    "takes 301 s": at_most("a", 1, 3),
    "reports without bound": reported("a", 1),
}


@given("a measure that must be {bound} {limit:g} with the figure {figure}")
def step_measure(context, bound, limit, figure):
    context.measure = BOUNDS[bound]("a", float(figure), limit)


@then('the measure\'s bound prints as "{text}" and {verdict}')
def step_bound(context, text, verdict):
    assert context.measure.bound == text, context.measure
    assert context.measure.passed == (verdict == "holds"), context.measure


@given("a module of measures that {module}")
def step_module(context, module):
    context.clock = Clock()

    def measured():
        context.clock.advance(301 if "301" in module else 7)
        return (FIGURES[module],)

    def broken():
        context.clock.advance(7)
        raise ValueError("broken")

    def load(group):
        if module == "does not exist":
            return ()
        if module == "cannot be imported":
            raise ImportError("broken")
        return (broken,) if module == "raises an error" else (measured,)

    context.load = load


@when("the measures are run")
def step_run(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "build" / "measures.json"
        env = Environment(stdout=io.StringIO(), stderr=io.StringIO())
        groups = (Group("m", ("a",)),)
        context.status = run_measures(groups, context.load, context.clock, path, env)
        context.output = env.stdout.getvalue()
        context.values = json.loads(path.read_text())


@then('the measure run exits with {status} and prints "{expected}"')
def step_exit(context, status, expected):
    assert context.status is ExitStatus[status], context.output
    assert expected in context.output, context.output


@then('the measures file has the values "{values}"')
def step_file(context, values):
    assert context.values == json.loads(values), context.values


@then("a group of measures without a module has no functions")
def step_missing_module(context):
    assert functions_of(Group("not_written_yet", ())) == ()


@then("every figure name occurs once in the registry of measures")
def step_unique(context):
    names = [name for group in GROUPS for name in group.names]
    assert len(names) == len(set(names))
