from aiocoap.numbers.codes import Code
from behave import given, then, when
from hypothesis import HealthCheck, Phase, given as for_all, settings

from kumquatshift.engine.decisions import ReplicateAndForward
from kumquatshift.errors import ErrorKind
from kumquatshift.measures.coap_packets import read, reply, request
from kumquatshift.measures.naive_requests import naive_policy
from kumquatshift.measures.request_schedules import Findings, play
from kumquatshift.measures.request_site import Site
from tests.support.request_schedules import SCHEDULES
from tests.support.single_policy import SinglePolicy


@given("a simulated request site")
def step_site(context):
    context.site = Site()
    context.site.ingress = "e3"
    context.site.run(1.0)


@given('a request fault "{fault}" at the hop "{hop}"')
def step_fault(context, fault, hop):
    context.site.faults[hop] = fault


@when('the caller sends a non-idempotent request "{name}"')
def step_send(context, name):
    mid = len(context.site.caller.non_idempotent) + 1
    context.site.caller.send(name, Code.POST, mid, bytes((mid,)))


@when('the entry "{entry}" receives a copy of the request "{name}"')
def step_copy(context, entry, name):
    data = request(Code.POST, 1, b"\x01", name.encode())
    context.site.node(entry).from_caller(data)


@when('the request site goes through "{events}"')
def step_play(context, events):
    for event in events.split(", "):
        pause_s, kind, *what = event.split()
        context.site.run(float(pause_s))
        getattr(context.site, kind)(*what)


@when("the request site runs for {seconds:d} s")
def step_run(context, seconds):
    context.site.run(seconds)


@then('"{name}" ran at most once')
def step_at_most_once(context, name):
    assert len(context.site.runs_of(name)) <= 1, context.site.runs


@then('no request reported as "not run" has run')
def step_not_run_true(context):
    findings = Findings()
    findings.add(context.site)
    assert not findings.broken, findings


@then('the caller received an outcome for "{name}"')
def step_outcome(context, name):
    assert name in context.site.caller.outcomes, context.site.runs


@then('"{name}" was answered by the target that ran it')
def step_answered(context, name):
    assert len(context.site.runs_of(name)) == 1, context.site.runs
    assert context.site.caller.outcomes[name] == f"ran {name}", (
        context.site.caller.outcomes
    )


def play_all(count, **options):
    """Run schedules until one violates a guarantee; return the findings."""
    findings = Findings()

    @settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @for_all(SCHEDULES)
    def check_guarantees(schedule):
        findings.add(play(schedule, **options))
        assert not findings.broken, (findings.broken, schedule)

    check_guarantees()
    return findings


@then("{count:d} random request schedules violate no guarantee")
def step_schedules(context, count):
    context.findings = play_all(count)


@then('"outcome unknown" was reported with the causes "{causes}"')
def step_unknown_causes(context, causes):
    seen = {
        str(cause): count
        for (kind, cause), count in context.findings.refused.items()
        if kind is ErrorKind.OUTCOME_UNKNOWN
    }
    assert set(seen) >= set(causes.split(", ")), seen


@when("a non-idempotent request is queued and the entry is {standing}")
def step_standing(context, standing):
    single = context.single
    context.sent = [
        single.request(request(Code.POST, mid, b"%d" % mid))[0] for mid in range(9)
    ]
    single.authority.quorum = standing == "still certain"
    single.authority.primary = standing != "not primary"


@when("a slot becomes free")
def step_slot_free(context):
    answered = reply(context.sent[0].data)
    context.decisions = context.single.response(answered)[1:]


@when("its deadline passes")
def step_deadline_passes(context):
    context.decisions = context.single.tick(10.0)


@then("the queued request is {fate}")
def step_fate(context, fate):
    last = context.sent[-1].key
    decided = [each for each in context.decisions if read(each.data).mid == 8]
    if fate == "left pending":
        assert not decided, decided
    elif fate == "sent":
        assert [each.record_fields.key for each in decided] == [last], decided
    else:
        kind, cause = fate.removeprefix("refused as ").split(" for ")
        assert [(each.kind, each.cause) for each in decided] == [(kind, cause)], decided


@then("the naive request policy violates a guarantee within {count:d} schedules")
def step_naive(context, count):
    try:
        play_all(count, make_policy=naive_policy)
    except AssertionError:
        return
    raise AssertionError("the naive policy violated no guarantee")


@given("a request policy")
def step_policy(context):
    context.single = SinglePolicy()


@when("{count:d} idempotent requests are shed by their targets")
def step_shed(context, count):
    single = context.single
    context.sent, context.seen = count, 0
    for mid in range(count):
        single.now += 1.0
        decisions = single.request(request(Code.GET, mid, b"%d" % mid))
        while decisions and isinstance(decisions[0], ReplicateAndForward):
            context.seen += 1
            shed = reply(decisions[0].data, Code.SERVICE_UNAVAILABLE, max_age=1)
            decisions = single.response(shed)


@then("targets received at most {times:g} times as many requests as callers sent")
def step_budget(context, times):
    assert context.sent < context.seen <= times * context.sent, context.seen
