import io
import json
from pathlib import Path

from behave import given, then, when
from twisted.internet.task import Clock

from kumquatshift.context import Environment
from kumquatshift.programs import ctl
from kumquatshift.status import ExitStatus

FLOW = "100.64.0.7:1031>198.18.0.1:443"
LOG = Path("build") / "explain.log"


def line(time, event, **fields):
    return {"time": time, "uptime_s": time, "entry": "e1", "event": event, **fields}


def log_lines(case):
    opened = line(10.0, "flow opened", flow=FLOW, target="i-7", route="r1")
    suspected = line(12.0, "target suspected", target="i-7", silent_s=0.7)

    def ended(event, reason):
        return line(12.5, event, flow=FLOW, reason=reason)

    cases = {
        "the flow is reset because its target was silent": [
            opened,
            suspected,
            line(12.5, "flow reset", flow=FLOW, reason="target_silent", target="i-7"),
        ],
        "the flow is reset because its target has terminated": [
            opened,
            ended("flow reset", "target_gone"),
        ],
        "the flow is refused for lack of a target": [
            ended("flow refused", "no_target")
        ],
        "the flow is refused for lack of a route": [ended("flow refused", "no_route")],
        "the target stops answering after the flow opened": [opened, suspected],
        "the entry is killed after the flow opened": [
            line(1.0, "started"),
            opened,
            line(13.0, "started"),
        ],
        "a packet of the flow is dropped": [
            opened,
            ended("packet dropped", "unknown_cookie"),
        ],
        "the log has no further line of the flow": [opened],
        "lines were omitted": [line(10.0, "lines left out", flow_opened=7)],
        "the log has lines of other flows only": [
            line(10.0, "flow opened", flow="100.64.0.7:10311>198.18.0.1:443")
        ],
    }
    return cases[case]


@given("a log in which {case}")
def step_log(context, case):
    context.log = [json.dumps(each) for each in log_lines(case)]


@given("the log contains other text, malformed lines and prefixes of a log collector")
def step_other_lines(context):
    other = ["hello", '{"time": 1', "{}", '{"time": "x", "entry": 1, "event": 2}', ""]
    prefixed = [f"  43.1 edge-1 {each}" for each in context.log]
    context.log = [*other, *prefixed, '["not", "an", "object"]']


def explain(context, *args):
    LOG.parent.mkdir(exist_ok=True)
    if hasattr(context, "log"):
        LOG.write_text("\n".join(context.log) + "\n")
    env = Environment(stdout=io.StringIO(), stderr=io.StringIO())
    context.status = ctl.prepare(["explain", *args], env, Clock())
    context.out = env.stdout.getvalue()
    context.err = env.stderr.getvalue()


@when("kumquat-ctl explains the flow {flow}")
def step_flow(context, flow):
    explain(context, str(LOG), "--flow", flow)


@when("kumquat-ctl explains the target {target}")
def step_target(context, target):
    explain(context, str(LOG), "--target", target)


@when("kumquat-ctl explains the second {second}")
def step_second(context, second):
    explain(context, str(LOG), "--second", second)


@then('kumquat-ctl refuses the second "{second}", and says "{text}"')
def step_refused(context, second, text):
    explain(context, str(LOG), "--second", second)
    assert context.status is not ExitStatus.SUCCESS, context.status
    assert text in context.err, context.err


@when("kumquat-ctl explains all failures")
def step_failures(context):
    explain(context, str(LOG))


@when('kumquat-ctl explains the log "{path}"')
def step_missing(context, path):
    explain(context, path)


@then('the explanation says "{text}"')
def step_says(context, text):
    assert context.status is ExitStatus.SUCCESS, (context.status, context.err)
    cause = context.out.splitlines()[-1]
    assert cause.startswith("cause: ") and text in cause, context.out


@then('kumquat-ctl exits with NOT_FOUND and says "{text}"')
def step_not_found(context, text):
    assert context.status is ExitStatus.NOT_FOUND, context.status
    assert text in context.err, context.err
