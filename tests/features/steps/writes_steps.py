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
from tests.support.unreliable_platform import NaiveWriter, UnreliablePlatform

KEY = ("target", "t1")
FIRST = Target("t1", "tills", "north-a", "10.0.0.1", 6080, slots=1)
STEP_S = 0.05
RUN_LIMIT_S = 400
CLAIMS = (
    ("your write took effect before it", "made"),
    ("your write did not take effect", "not-made"),
    ("has not taken effect, but", "not-yet"),
    ("is unknown", "unknown"),
)


@dataclass(frozen=True)
class Report:
    """The answer to a write, and whether the write had taken effect by then."""

    answer: object
    made: bool


class Operator:
    """Repeatedly reads one target, then changes or removes it."""

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
            current = found.value_or(None)
            if current is None and found.failure().kind is not ErrorKind.NOT_FOUND:
                continue
            before = current if current and current.body else None
            answer = await self.writer.write(self.change(before))
            operation = f"{self.name}-{self.made}"
            made = any(one["operation"] == operation for one in self.changes)
            self.reports[operation] = Report(answer, made)

    def change(self, before):
        after = replace(FIRST, slots=self.rng.randint(1, 9))
        if before is not None and self.rng.random() < 0.2:
            after = None
        return Change(Kind.TARGET, "t1", before, after)


def run_site(seed, fault_share, writer_type):
    """Run one site; return [(operation, report, versions written in the end)]."""
    clock, rng = Clock(), random.Random(seed)
    platform = UnreliablePlatform(clock, rng, fault_share)
    operators = [
        Operator(platform, clock, rng, writer_type, name) for name in ("a", "b", "c")
    ]
    ended = []
    for operator in operators:
        fut = Deferred.fromCoroutine(operator.work(4))
        fut.addBoth(ended.append)
    while clock.getDelayedCalls():
        clock.advance(STEP_S)
        assert clock.seconds() < RUN_LIMIT_S, "operators still waiting at the limit"
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
    """Return the outcome that an answer claims: made, not-made, not-yet, unknown."""
    if is_successful(answer):
        return "made"
    failure = answer.failure()
    if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
        return "unknown"
    return next(
        (claimed for text, claimed in CLAIMS if text in failure.message), "not-made"
    )


@when("300 sites of 3 operators write 4 times each with a fault share of {fault_share}")
def step_run_sites(context, fault_share):
    context.fault_share = float(fault_share)
    context.rows = [
        row
        for seed in range(300)
        for row in run_site(seed, context.fault_share, Writer)
    ]


@then("no report of a write is false, and no write took effect twice")
def step_true(context):
    context.found = Counter()
    for row in context.rows:
        _, report, versions = row
        claimed = claim(report.answer)
        context.found[claimed] += 1
        assert len(versions) <= 1, row
        assert claimed != "made" or (report.made and versions), row
        assert claimed != "not-made" or not versions, row
        assert claimed != "not-yet" or not report.made, row
        if is_successful(report.answer):
            assert versions == [report.answer.unwrap().version], row
    assert context.found["made"] > 300, context.found


@then('at most {share:d} in 100 reports are "unknown"')
def step_unknown(context, share):
    assert context.found["unknown"] * 100 <= share * len(context.rows), context.found


@then(
    "a writer that takes a lost answer for a lost write is wrong"
    " at least {times:d} times"
)
def step_naive(context, times):
    wrong = 0
    for seed in range(300):
        for _, report, versions in run_site(seed, context.fault_share, NaiveWriter):
            wrong += bool(versions) != is_successful(report.answer)
    print(f"writer {dict(context.found)}, naive writer wrong {wrong} times")
    assert wrong >= times, wrong
    assert context.fault_share or not wrong
