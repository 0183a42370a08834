from behave import given, then, when

from kumquatshift.direct.events import Event
from kumquatshift.direct.routes import Configuration, Route, ServiceLimits, Share
from kumquatshift.platform.packets import encode_destination
from kumquatshift.standins.direct_flows import Outcome
from tests.support.direct_site import DESTINATION, SERVICE, STEP_S

SECOND_SERVICE = "reports"
SECOND_ADDRESS = ("198.18.0.2", 443)


@when("the first target leaves every {every:d}nd request unanswered")
@when("the first target leaves every {every:d}th request unanswered")
def step_unanswered(context, every):
    context.direct.target("a0").unanswered_every = every
    context.before = len(context.results)


@when("the first target is down for {seconds:g} s")
def step_down(context, seconds):
    target = context.direct.target("a0")
    target.is_unresponsive = True
    context.direct.clock.callLater(seconds, setattr, target, "is_unresponsive", False)
    context.before = len(context.results)


@when("the first target alternates between down and up every {turn:g} s")
def step_flap(context, turn):
    site = context.direct
    target = site.target("a0")
    context.before = len(context.results)

    def flap():
        target.is_unresponsive = not target.is_unresponsive
        if target.is_unresponsive:
            # It has crashed: after its restart it knows no earlier flow.
            target._flows.clear()
        site.clock.callLater(turn, flap)

    flap()


@then("only flows of the first target are reset")
def step_only_first(context):
    reset = {
        inputs["target"]
        for entry in context.direct.entries
        for event, inputs in entry.events.lines
        if event is Event.FLOW_RESET
    }
    assert reset <= {"a0"}, reset


@when("{count:d} callers arrive, each with one request, {per_s:g} a second")
def step_new_callers(context, count, per_s):
    site = context.direct
    opened = {t: len(t.openings) for t in site.targets.values()}
    for number in range(count):
        site.add_caller().ask(f"new-{number}".encode())
        for _ in range(round(1 / per_s / STEP_S)):
            # Existing callers keep sending.
            site.clock.advance(STEP_S)
        busy = context.callers[number % len(context.callers)]
        if all(r.outcome is not None for r in busy.requests[-1:]):
            busy.ask(f"on-{number}".encode())
    site.run(3.0, STEP_S)
    context.new = {t: len(t.openings) - opened[t] for t in site.targets.values()}


@then("the first target gets at most {share:g} of an equal share of their flows")
def step_smaller_share(context, share):
    equal = sum(context.new.values()) / len(context.new)
    opened = context.new[context.direct.target("a0")]
    print(f"{opened} flows, {equal:.1f} on average")
    assert opened <= share * equal, (opened, equal)


@given("a second service with {count:d} targets of its own")
def step_second(context, count):
    site = context.direct
    routes = (
        Route("r0", encode_destination(*DESTINATION), (Share(SERVICE, 1),)),
        Route("r1", encode_destination(*SECOND_ADDRESS), (Share(SECOND_SERVICE, 1),)),
    )
    limits = tuple(ServiceLimits(each, 0.0, 2000) for each in (SERVICE, SECOND_SERVICE))
    site.cfg = Configuration(2, routes, 15.0, limits)
    for entry in site.entries:
        entry.site.put_configuration(site.cfg, 1)
    for number in range(count):
        site.add_target(f"second{number}", "a", service=SECOND_SERVICE)


@when(
    "callers send {first:g} requests a second to the first service and {second:g} to"
    " the second"
)
def step_two_loads(context, first, second):
    site = context.direct
    loads = []
    for address, per_s in ((DESTINATION, first), (SECOND_ADDRESS, second)):
        callers = [site.add_caller(destination=address) for _ in range(int(per_s / 4))]
        loads.append((per_s, callers))
    steps = round(3.0 / STEP_S)
    sent = [0, 0]
    for step in range(steps):
        for number, (per_s, callers) in enumerate(loads):
            while sent[number] < per_s * step * STEP_S:
                caller = callers[sent[number] % len(callers)]
                sent[number] += 1
                if all(r.outcome is not None for r in caller.requests[-1:]):
                    caller.ask(f"n{sent[number]}".encode())
        site.run(STEP_S, 0.001)
    site.run(2.5, STEP_S)
    context.less_loaded = min(loads, key=lambda load: load[0])[1]


@then(
    "the requests of the service with less load are answered, the slowest after"
    " {limit:g} s"
)
def step_less_loaded(context, limit):
    requests = [r for caller in context.less_loaded for r in caller.requests]
    bad = [r for r in requests if r.outcome is not Outcome.ANSWERED]
    assert requests and not bad, bad[:3]
    slowest = max(r.took_s for r in requests)
    print(f"{len(requests)} answered, slowest {slowest:.3f} s")
    assert slowest <= limit, slowest
