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


@given(
    'a journal with {count:d} score runs of "{site}", {other:d} of "{second}"'
    " and a hunt run"
)
def step_journal(context, count, site, other, second):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    sites = [site] * count + [second] * other
    for number, name in enumerate(sites):
        write_entry(context.folder, number, "score", name)
    write_entry(context.folder, len(sites), "hunt", site)


@when("the report is generated")
def step_report(context):
    text = io.StringIO()
    plots = context.folder / "plots"
    with mock.patch.object(report, "OUTPUT", plots), redirect_stdout(text):
        assert report.report(str(context.folder)) == 0
    context.printed = text.getvalue()
    context.plots = sorted(path.name for path in plots.iterdir())


@then("the report plots worth and prices of {first} and of {second}")
def step_plots(context, first, second):
    kinds = ("prices", "worth")
    wanted = sorted(f"{site}-{kind}.svg" for site in (first, second) for kind in kinds)
    assert context.plots == wanted, context.plots


@then("the report prints the latest worth of each day and site")
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
    assert "fresh" not in context.printed, "days with a single run cannot be compared"


@when("a caller {flow} sends a request {sent:g} s into an outage of {outage:g} s")
def step_sent(context, flow, sent, outage):
    context.opens_flow = flow == "on a new flow"
    context.sent, context.outage = sent, outage


@then(
    "the request earns {credit:g}"
    " with an aim of {aim:g} s and a deadline of {deadline:g} s"
)
def step_credit(context, credit, aim, deadline):
    request_class = RequestClass(1.0, aim, deadline, 0.3, context.opens_flow)
    found = report.credit(request_class, context.sent, context.outage)
    assert found == credit, found


REQUEST_CLASSES = (
    RequestClass(0.6, 0.15, 2.0, 0.3, False),
    RequestClass(0.4, 0.5, 5.0, 0.3, True),
)


@then(
    "a day of {length:g} s with all entries down for {down:g} s has a limit of {at:g}"
)
def step_limit(context, length, down, at):
    assert report.limit(SiteDay("day", length, down), REQUEST_CLASSES) == at


@then("the limit falls as all entries are down for longer")
def step_limit_falls(context):
    limits = [
        report.limit(SiteDay("day", 40.0, down_s), REQUEST_CLASSES)
        for down_s in (0.0, 0.5, 1.0, 2.0, 4.0)
    ]
    assert limits == sorted(limits, reverse=True), limits
    assert all(0 < each <= 1 for each in limits)
