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


def story(name):
    opened = line(10.0, "flow opened", flow=FLOW, target="i-7", route="r1")
    suspected = line(12.0, "target suspected", target="i-7", silent_s=0.7)

    def ended(event, reason):
        return line(12.5, event, flow=FLOW, reason=reason)

    stories = {
        "the flow is reset for a silent target": [
            opened,
            suspected,
            line(12.5, "flow reset", flow=FLOW, reason="target_silent", target="i-7"),
        ],
        "the flow is reset for a target that has ended": [
            opened,
            ended("flow reset", "target_gone"),
        ],
        "the flow is refused for want of a target": [
            ended("flow refused", "no_target")
        ],
        "the flow is refused for want of a route": [ended("flow refused", "no_route")],
        "the target falls silent after the flow opened": [opened, suspected],
        "the entry dies after the flow opened": [
            line(1.0, "started"),
            opened,
            line(13.0, "started"),
        ],
        "a packet of the flow is dropped": [
            opened,
            ended("packet dropped", "unknown_cookie"),
        ],
        "nothing more is told of the flow": [opened],
        "lines had to be left out": [line(10.0, "lines left out", flow_opened=7)],
        "other flows alone are told of": [
            line(10.0, "flow opened", flow="100.64.0.7:10311>198.18.0.1:443")
        ],
    }
    return stories[name]


@given("a log in which {name}")
def step_log(context, name):
    context.log = [json.dumps(each) for each in story(name)]


@given("the log holds other text, broken lines and a collector's prefixes")
def step_noise(context):
    noise = ["hello", '{"time": 1', "{}", '{"time": "x", "entry": 1, "event": 2}', ""]
    prefixed = [f"  43.1 edge-1 {each}" for each in context.log]
    context.log = [*noise, *prefixed, '["not", "an", "object"]']


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


@then('kumquat-ctl explains nothing, and says "{text}"')
def step_nothing(context, text):
    assert context.status is ExitStatus.NOT_FOUND, context.status
    assert text in context.err, context.err
