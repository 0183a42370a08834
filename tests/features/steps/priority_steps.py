from collections import Counter

from behave import given, then, when

from kumquatshift.engine.objects import Priority, Profile, Target
from kumquatshift.engine.priority import Claim, ClaimQueue
from kumquatshift.engine.slots import Granted, Rejected, SlotPool, Waiting
from kumquatshift.measures import requests as measures

NOW = 100.0
PROFILES = {
    "alert": Profile("alert", priority=Priority.URGENT, reserved_share=0.5),
    "report": Profile("report", priority=Priority.BULK),
    "void": Profile("void"),
}


def claim_of(priority, number, service="report", time_s=10.0):
    claim_id = f"{priority}-{number}".encode()
    return Claim(claim_id, service, priority, NOW + time_s)


@given(
    "a claim queue with {urgent:d} urgent, {normal:d} normal and {bulk:d} bulk claims"
)
def step_queue(context, urgent, normal, bulk):
    context.queue, context.taken = ClaimQueue(), []
    numbers = {"urgent": urgent, "normal": normal, "bulk": bulk}
    for priority, number in numbers.items():
        for i in range(number):
            context.queue.push(claim_of(Priority(priority), i))


@when("{number:d} claims are taken")
def step_take(context, number):
    context.taken += [context.queue.pop(lambda claim: True) for _ in range(number)]


@then("{urgent:d} urgent, {normal:d} normal and {bulk:d} bulk claims were taken")
def step_taken(context, urgent, normal, bulk):
    taken = Counter(claim.priority for claim in context.taken)
    assert (taken["urgent"], taken["normal"], taken["bulk"]) == (urgent, normal, bulk)


@then("each priority was served in order of arrival")
def step_in_order(context):
    for priority in Priority:
        served = [claim for claim in context.taken if claim.priority is priority]
        assert served == [claim_of(priority, i) for i in range(len(served))]


@when("an urgent claim arrives")
def step_urgent(context):
    context.queue.push(claim_of(Priority.URGENT, 0))


@then("the urgent claim is among the next {number:d} taken")
def step_urgent_soon(context, number):
    taken = [context.queue.pop(lambda claim: True) for _ in range(number)]
    assert claim_of(Priority.URGENT, 0) in taken


@given("a pool where urgent work reserves half of 4 slots")
def step_reserved(context):
    targets = [
        Target(f"{service}{i}", service, "north", f"h{i}", 6080)
        for i in range(2)
        for service in ("alert", "report")
    ]
    context.pool = SlotPool.from_config(PROFILES, targets, NOW)
    for allowance in context.pool.hosts.values():
        allowance.limit = allowance.ceiling


def claim_many(context, number, priority, service, time_s=10.0):
    return [
        context.pool.claim(claim_of(priority, i, service, time_s), NOW)
        for i in range(number)
    ]


@when("{number:d} bulk claims arrive")
def step_bulk(context, number):
    context.verdicts = claim_many(context, number, Priority.BULK, "report")


@when("{number:d} bulk claims arrive with a deadline in {time_s:g} s")
def step_bulk_late(context, number, time_s):
    context.verdicts = claim_many(context, number, Priority.BULK, "report", time_s)


@when("a claim of a service without targets arrives")
def step_no_target(context):
    context.verdicts = claim_many(context, 1, Priority.NORMAL, "void")


@then("{number:d} bulk claims are granted")
def step_bulk_granted(context, number):
    assert sum(isinstance(each, Granted) for each in context.verdicts) == number


@then("{number:d} urgent claims are granted at once")
def step_urgent_granted(context, number):
    verdicts = claim_many(context, number, Priority.URGENT, "alert")
    assert all(isinstance(each, Granted) for each in verdicts), verdicts


@then("the last claim is {verdict}")
def step_last(context, verdict):
    last = context.verdicts[-1]
    if verdict == "waiting":
        assert isinstance(last, Waiting), last
    else:
        assert isinstance(last, Rejected) and last.reason == verdict, last


@when("the deadline of all claims passes")
def step_deadline(context):
    context.told = context.pool.tick(NOW + 10.0)


@then('the queued claim is rejected as "{reason}"')
def step_expired(context, reason):
    assert [each.reason for each in context.told] == [reason]
    assert not len(context.pool.queue)


def urgent_ratio(seed, profiles=measures.ALERT_PROFILES):
    alone = measures.alerts(measures.SCHEME, 0.0, seed, profiles)
    beside = measures.alerts(measures.SCHEME, 2.0, seed, profiles)
    urgent = beside.tallies["alert"]
    ratio = urgent.p99_s() / alone.tallies["alert"].p99_s()
    return ratio, urgent.refused + urgent.shed, beside


@then(
    "with seed {seed:d} urgent p99 is at most {times:g} times that without bulk, "
    "and none is refused"
)
def step_urgent_p99(context, seed, times):
    ratio, refused, context.model = urgent_ratio(seed)
    assert ratio <= times and refused == 0, (ratio, refused)


@then("with seed {seed:d} bulk requests still get their share")
def step_bulk_share(context, seed):
    answered = len(context.model.tallies["report"].latencies_s)
    assert answered >= 0.2 * measures.CAPACITY * measures.ALERT_RUN_S, answered


@then(
    "without priorities urgent p99 exceeds {times:g} times that without bulk, "
    "or some are refused"
)
def step_without(context, times):
    plain = {"alert": Profile("alert"), "report": Profile("report")}
    ratio, refused, _ = urgent_ratio(1, plain)
    assert ratio > times or refused, (ratio, refused)


@then("with seed {seed:d} goodput is at least {share:g} of the capacity")
def step_goodput(context, seed, share):
    context.model = measures.flood(measures.SCHEME, seed)
    assert measures.flood_goodput(context.model) >= share


@then("with seed {seed:d} service is normal 5 s after the overload")
def step_normal(context, seed):
    assert measures.share_after_flood(context.model) >= 0.95
