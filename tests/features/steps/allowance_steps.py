from itertools import count

from behave import given, then, when

from kumquatshift.engine.objects import Profile, Target, TargetState
from kumquatshift.engine.priority import Claim, Priority
from kumquatshift.engine.slots import Granted, Outcome, SlotPool, Waiting
from kumquatshift.measures import allowances
from kumquatshift.measures.requests import SCHEME, gap, share_after_gap

NOW = 100.0
SILENT_TURNS = 3


def make_pool(context, hosts, services=("s",), slots=2, state=TargetState.ADMITTED):
    context.profiles = {service: Profile(service) for service in services}
    context.targets = [
        Target(f"{service}{i}", service, "north", f"h{i}", 6080, slots, state=state)
        for i in range(hosts)
        for service in services
    ]
    context.pool = SlotPool.from_config(context.profiles, context.targets, NOW)
    context.now, context.numbers, context.verdicts = NOW, count(), []


def claim(context, service="s", pinned=""):
    claim_id = b"%d" % next(context.numbers)
    wanted = Claim(claim_id, service, Priority.NORMAL, context.now + 1000, pinned)
    return context.pool.claim(wanted, context.now)


def granted(context):
    return [each for each in context.verdicts if isinstance(each, Granted)]


@given("a slot pool of {hosts:d} {state} targets with {slots:d} slots")
def step_pool(context, hosts, state, slots):
    make_pool(context, hosts, slots=slots)
    if state == "warm":
        for allowance in context.pool.hosts.values():
            allowance.limit = allowance.ceiling
            allowance.latency_s = allowance.baseline_s = 0.1


@given("a slot pool of {hosts:d} hosts that serve {services:d} services")
def step_shared_hosts(context, hosts, services):
    make_pool(context, hosts, [f"s{i}" for i in range(services)])
    for allowance in context.pool.hosts.values():
        allowance.limit = allowance.ceiling


@when("{number:d} claims come")
def step_claims(context, number):
    context.verdicts += [claim(context) for _ in range(number)]


@when("{number:d} claims of each service come")
def step_claims_of_each(context, number):
    for service in context.profiles:
        context.verdicts += [claim(context, service) for _ in range(number)]


@then("{some:d} are granted, each on another target, and {others:d} wait")
def step_granted_apart(context, some, others):
    assert len({each.target for each in granted(context)}) == some
    assert len(granted(context)) == some
    assert sum(isinstance(each, Waiting) for each in context.verdicts) == others


@then("{number:d} are granted in all")
def step_granted_all(context, number):
    assert len(granted(context)) == number, context.verdicts


@when("one target gives {answers}")
def step_answers(context, answers):
    for part in answers.split(" and "):
        number, kind, *rest = part.split()
        kind = "failed" if kind == "server" else kind
        for _ in range(int(number)):
            answer_one(context, Outcome(kind), rest)


def answer_one(context, outcome, rest):
    allowance = context.pool.hosts["h0"]
    context.now = max(context.now, allowance.paused_until) + 0.001
    verdict = claim(context, pinned="s0")
    assert isinstance(verdict, Granted), verdict
    if "while" in rest or "after" in rest:
        other = claim(context, pinned="s0" if "after" in rest else "s1")
        context.pool.release(other.claim_id, Outcome.GOOD, context.now + 0.1)
    if outcome is Outcome.GOOD:
        context.now += float(rest[2])
    context.pool.release(verdict.claim_id, outcome, context.now, 1.0)


@when("{seconds:g} s pass without an answer")
def step_silence(context, seconds):
    context.now += seconds
    context.later = context.pool.tick(context.now)


@then("{number:d} are granted of those that waited, one for each target")
def step_granted_later(context, number):
    assert len({each.target for each in context.later}) == number, context.later
    assert len(context.later) == number, context.later


@then("its allowance is {limit:d}")
def step_allowance(context, limit):
    allowance = context.pool.hosts["h0"]
    assert int(allowance.limit) == limit, allowance


@then("it gets nothing for {seconds:g} s, and then one request")
def step_rests(context, seconds):
    context.now += seconds - 0.01
    assert not isinstance(claim(context, pinned="s0"), Granted)
    context.now += 0.02
    verdicts = context.pool.tick(context.now)
    assert len(verdicts) == 1 and isinstance(verdicts[0], Granted)


@when("one target reports a load of {load:g} that is {age:g} s old")
def step_report(context, load, age):
    context.pool.report("h1", load, context.now - age)
    for host in ("h0", "h2"):
        context.pool.report(host, 0.5, context.now)


@when("{busy:d} of its slots are in use")
def step_busy(context, busy):
    for _ in range(busy):
        claim(context, pinned="s1")


@then("it is {chosen} for the next claim")
def step_chosen(context, chosen):
    assert (claim(context).target == "s1") == (chosen == "chosen")


@when("one target is retired")
def step_retire(context):
    context.before = sum(each.target == "s0" for each in granted(context))
    first, *others = context.targets
    retired = Target(*list(vars(first).values())[:-1], TargetState.RETIRED)
    context.pool.configure(context.profiles, [retired, *others], context.now)


@when('the domain "{domain}" is out of reach')
def step_out_of_reach(context, domain):
    context.pool.unreachable_domains = frozenset({domain})


@then("the retired target has only what it had")
def step_retired(context):
    after = sum(each.target == "s0" for each in granted(context))
    assert after == context.before == context.pool.hosts["h0"].used


@then("with seed {seed:d} a cold target is never overloaded")
def step_cold(context, seed):
    target = allowances.with_cold_start(SCHEME, seed).targets["h0"]
    assert target.cold_overloads == 0 and target.crashes == 0, target.cold_overloads


@then(
    "with seed {seed:d} a target that turns cold unseen is overloaded "
    "at most twice a turn"
)
def step_silent(context, seed):
    target = allowances.with_unreported_cold_starts(SCHEME, seed).targets["h1"]
    assert target.cold_overloads <= 2 * SILENT_TURNS and target.crashes == 0


@then("with seed {seed:d} work is at most {times:g} times the mean at 70% load")
def step_imbalance(context, seed, times):
    model = allowances.offered(SCHEME, 0.7, seed=seed)
    assert allowances.imbalance(model) <= times, allowances.imbalance(model)


@then("with seed {seed:d} at least {share:g} is answered at 95% load")
def step_answered(context, seed, share):
    tally = allowances.offered(SCHEME, 0.95, seed=seed).tallies[allowances.SERVICE]
    assert tally.answered_share >= share, tally.answered_share


@then("with seed {seed:d} service is normal 5 s after the gap")
def step_after_gap(context, seed):
    share = share_after_gap(gap(SCHEME, seed))
    assert share >= 0.95, share


@then("naive round robin overloads a cold target")
def step_naive(context):
    naive = allowances.SCHEMES[0]
    assert allowances.with_cold_start(naive).targets["h0"].cold_overloads > 0
