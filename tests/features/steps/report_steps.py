import io
import json
import tempfile
from contextlib import redirect_stdout
from pathlib import Path
from unittest import mock

from behave import given, then, when

from extras import report
from kumquatshift.platform.journal import RequestClass, SiteDay

DAYS = ("quiet-1", "trouble-1", "fresh-12ab")


def write_entry(folder, number, command, site):
    days = [
        {
            "name": name,
            "G": 0.9 + number / 100,
            "rules": {"FLOW": 1} if name == "trouble-1" else {},
            "prices": [["machine-seconds", 800.0, 0.02], ["cloud calls", 9.0, 0.01]],
        }
        for name in DAYS
    ]
    entry = {
        "cmd": command,
        "site": site,
        "at": [f"2026-12-04T0{number}:00:00Z", "later"],
        "head": f"{number}" * 40,
        "why": "a test",
        "days": days,
    }
    (folder / f"{number}.json").write_text(json.dumps(entry))


@given('a journal of {count:d} scores of "{site}", {other:d} of "{second}" and a hunt')
def step_journal(context, count, site, other, second):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    sites = [site] * count + [second] * other
    for number, name in enumerate(sites):
        write_entry(context.folder, number, "score", name)
    write_entry(context.folder, len(sites), "hunt", site)


@when("the report is made")
def step_report(context):
    text = io.StringIO()
    plots = context.folder / "plots"
    with mock.patch.object(report, "OUTPUT", plots), redirect_stdout(text):
        assert report.report(str(context.folder)) == 0
    context.printed = text.getvalue()
    context.plots = sorted(path.name for path in plots.iterdir())


@then("it draws worth and prices of {first} and of {second}")
def step_plots(context, first, second):
    kinds = ("prices", "worth")
    wanted = sorted(f"{site}-{kind}.svg" for site in (first, second) for kind in kinds)
    assert context.plots == wanted, context.plots


@then("it prints the last worth of each day of each site")
def step_rows(context):
    rows = [line.split() for line in context.printed.splitlines() if "-1" in line]
    worths = {(row[0], row[2]): float(row[3]) for row in rows if len(row) > 4}
    expected = {
        ("mf-connect", "quiet-1"): 0.91,
        ("mf-connect", "trouble-1"): 0.91,
        ("rust-be", "quiet-1"): 0.92,
        ("rust-be", "trouble-1"): 0.92,
    }
    assert {key: worths.get(key) for key in expected} == expected, context.printed
    assert "fresh" not in context.printed, "days drawn once can not be compared"


@when("a caller {habit} sends it {sent:g} s into an outage of {outage:g} s")
def step_sent(context, habit, sent, outage):
    context.opens_flow = habit == "on a new flow"
    context.sent, context.outage = sent, outage


@then("it earns {credit:g} with an aim of {aim:g} s and a deadline of {deadline:g} s")
def step_earns(context, credit, aim, deadline):
    demand = RequestClass(1.0, aim, deadline, 0.3, context.opens_flow)
    found = report.credit(demand, context.sent, context.outage)
    assert found == credit, found


DEMANDS = (
    RequestClass(0.6, 0.15, 2.0, 0.3, False),
    RequestClass(0.4, 0.5, 5.0, 0.3, True),
)


@then(
    "a day of {length:g} s with all entries down for {down:g} s has a limit of {at:g}"
)
def step_limit(context, length, down, at):
    assert report.limit(SiteDay("day", length, down), DEMANDS) == at


@then("the longer all entries are down, the lower is the limit")
def step_lower(context):
    limits = [
        report.limit(SiteDay("day", 40.0, down_s), DEMANDS)
        for down_s in (0.0, 0.5, 1.0, 2.0, 4.0)
    ]
    assert limits == sorted(limits, reverse=True), limits
    assert all(0 < each <= 1 for each in limits)
