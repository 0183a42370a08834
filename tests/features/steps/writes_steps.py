import random
from collections import Counter
from dataclasses import dataclass, replace

from behave import then, when
from returns.pipeline import is_successful
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, deferLater

from kumquatshift.cli.changes import Change
from kumquatshift.cli.writer import Writer
from kumquatshift.engine.objects import Kind, Target
from kumquatshift.errors import ErrorKind
from tests.support.unsure_platform import NaiveWriter, UnsurePlatform

KEY = ("target", "t1")
FIRST = Target("t1", "tills", "north-a", "10.0.0.1", 6080, slots=1)
STEP_S = 0.05
LONGEST_S = 400
CLAIMS = (
    ("your write took effect before it", "made"),
    ("your write did not take effect", "not-made"),
    ("has not taken effect, but", "not-yet"),
    ("is unknown", "unknown"),
)


@dataclass(frozen=True)
class Report:
    """What a write was reported to be, and whether it stood at that time."""

    answer: object
    made: bool


class Operator:
    """Reads, then changes or removes one target, again and again."""

    def __init__(self, platform, clock, rng, writer_type, name):
        self.platform = platform
        self.clock = clock
        self.rng = rng
        self.name = name
        self.changes = platform.store.changes
        self.made = 0
        self.reports = {}
        self.writer = writer_type(platform, clock, self.make_operation)

    def make_operation(self):
        self.made += 1
        return f"{self.name}-{self.made}"

    async def work(self, times):
        for _ in range(times):
            await deferLater(self.clock, self.rng.uniform(0, 2))
            found = await self.platform.read_object(Kind.TARGET, "t1")
            standing = found.value_or(None)
            if standing is None and found.failure().kind is not ErrorKind.NOT_FOUND:
                continue
            before = standing if standing and standing.body else None
            answer = await self.writer.write(self.change(before))
            operation = f"{self.name}-{self.made}"
            made = any(one["operation"] == operation for one in self.changes)
            self.reports[operation] = Report(answer, made)

    def change(self, before):
        after = replace(FIRST, slots=self.rng.randint(1, 9))
        if before is not None and self.rng.random() < 0.2:
            after = None
        return Change(Kind.TARGET, "t1", before, after)


def play(seed, faulty, writer_type):
    """Play one site; return [(operation, report, versions made in the end)]."""
    clock, rng = Clock(), random.Random(seed)
    platform = UnsurePlatform(clock, rng, faulty)
    operators = [
        Operator(platform, clock, rng, writer_type, name) for name in ("a", "b", "c")
    ]
    ended = []
    for operator in operators:
        fut = Deferred.fromCoroutine(operator.work(4))
        fut.addBoth(ended.append)
    while clock.getDelayedCalls():
        clock.advance(STEP_S)
        assert clock.seconds() < LONGEST_S, "an operator waits for ever"
    assert ended == [None] * 3, ended
    versions = {}
    for change in platform.store.changes:
        versions.setdefault(change["operation"], []).append(change["version"])
    return [
        (operation, report, versions.get(operation, []))
        for operator in operators
        for operation, report in operator.reports.items()
    ]


def claim(answer):
    """Return what an answer says of its write: made, not-made, not-yet, unknown."""
    if is_successful(answer):
        return "made"
    failure = answer.failure()
    if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
        return "unknown"
    return next((told for text, told in CLAIMS if text in failure.message), "not-made")


@when("300 sites of 3 operators write 4 times each with a share of faults of {faulty}")
def step_play(context, faulty):
    context.faulty = float(faulty)
    context.rows = [
        row for seed in range(300) for row in play(seed, context.faulty, Writer)
    ]


@then("no report of a write is false, and no write took effect twice")
def step_true(context):
    context.found = Counter()
    for row in context.rows:
        _, report, versions = row
        told = claim(report.answer)
        context.found[told] += 1
        assert len(versions) <= 1, row
        assert told != "made" or (report.made and versions), row
        assert told != "not-made" or not versions, row
        assert told != "not-yet" or not report.made, row
        if is_successful(report.answer):
            assert versions == [report.answer.unwrap().version], row
    assert context.found["made"] > 300, context.found


@then('at most {share:d} in 100 reports are "unknown"')
def step_unknown(context, share):
    assert context.found["unknown"] * 100 <= share * len(context.rows), context.found


@then("believing that a lost answer is a lost write is false at least {times:d} times")
def step_naive(context, times):
    false = 0
    for seed in range(300):
        for _, report, versions in play(seed, context.faulty, NaiveWriter):
            false += bool(versions) != is_successful(report.answer)
    print(f"ours {dict(context.found)}, naive false {false}")
    assert false >= times, false
    assert context.faulty or not false
