from behave import given, then, when

from kumquatshift.direct import failure_detector
from kumquatshift.direct.events import Event
from kumquatshift.direct.failure_detector import Suspect
from kumquatshift.platform.packets import ACK, FIN, encode_destination
from kumquatshift.standins.direct_flows import Outcome
from tests.support.direct_site import DESTINATION, load


def answered(requests):
    return [r for r in requests if r.outcome is Outcome.ANSWERED]


@given("packets are lost with probability {loss:g}")
def step_loss(context, loss):
    context.direct.loss = loss


@given("its entries suspect no target")
def step_no_detection(context):
    old = failure_detector.FailureDetector.note_repeat
    failure_detector.FailureDetector.note_repeat = lambda self, flow, now: None
    context.add_cleanup(setattr, failure_detector.FailureDetector, "note_repeat", old)


@when("the first target stops answering")
def step_silent(context):
    context.direct.target("a0").is_unresponsive = True
    context.before = len(context.results)


@when("every target stops answering")
def step_all_silent(context):
    for target in context.direct.targets.values():
        target.is_unresponsive = True


@when("every target answers again")
def step_all_again(context):
    for target in context.direct.targets.values():
        target.is_unresponsive = False


@when("the first target answers again")
def step_again(context):
    context.direct.target("a0").is_unresponsive = False


@when("the first target takes {times:g} times as long for each request")
def step_slow(context, times):
    context.direct.target("a0").work_s *= times
    context.before = len(context.results)


@when("nothing else happens")
def step_nothing(context):
    pass


@when("both entries pause for {seconds:g} s")
def step_pause(context, seconds):
    site = context.direct
    context.before = len(context.results)
    for entry in site.entries:
        queued = []
        handle = entry.port.handle
        entry.port.handle = lambda data, now, queued=queued: queued.append(data)

        def resume(entry=entry, queued=queued, handle=handle):
            entry.port.handle = handle
            for data in queued:
                handle(data, entry.port.now())

        site.clock.callLater(seconds + 0.5, resume)
    # Requests sent during the pause are retransmitted.
    for caller in context.callers[:20]:
        site.clock.callLater(0.4, caller.ask, b"paused")


@then("each entry suspects only the silent target")
def step_only(context):
    for entry in context.direct.entries:
        suspected = {
            inputs["target"]
            for event, inputs in entry.events.lines
            if event is Event.TARGET_SUSPECTED
        }
        assert suspected == {"a0"}, suspected


@then(
    "at least {share:g} of the later requests are answered,"
    " the slowest after {slowest:g} s"
)
def step_share(context, share, slowest):
    later = context.results[context.before :]
    good = answered(later)
    print(f"{len(good)} of {len(later)}, slowest {max(r.took_s for r in good):.2f} s")
    assert len(good) >= share * len(later), (len(good), len(later))
    assert max(r.took_s for r in good) <= slowest


@then("less than {share:g} of the later requests are answered")
def step_too_few_answered(context, share):
    later = context.results[context.before :]
    assert len(answered(later)) < share * len(later), len(answered(later))


@then("no entry resets a flow")
def step_no_resets(context):
    resets = [e.events.count(Event.FLOW_RESET) for e in context.direct.entries]
    assert not any(resets), resets
    assert all(entry.port.resets == 0 for entry in context.direct.entries)


@then("no entry suspects a target")
def step_none_suspected_now(context):
    for entry in context.direct.entries:
        left = [t.name for t in entry.site.targets if t.suspected]
        assert not left, left


@then("the last {count:d} requests are answered")
def step_last(context, count):
    last = sorted(context.results, key=lambda r: r.sent_at)[-count:]
    assert len(answered(last)) == count, [r for r in last if r not in answered(last)]


@when("packets that the first entry sends are delayed by up to {seconds:g} s")
def step_delayed(context, seconds):
    site = context.direct
    sock = site.entries[0].port._sock
    send, end = sock._send, site.clock.seconds() + seconds

    def later(data, address):
        wait_s = max(0.0, end - site.clock.seconds())
        site.clock.callLater(wait_s, send, data, address)

    sock._send = later


@when(
    "the link of the first entry fills up within {fill:g} s until packets are queued"
    " for {wait:g} s"
)
def step_queue(context, fill, wait):
    site = context.direct
    sock = site.entries[0].port._sock
    send, start = sock._send, site.clock.seconds()
    last_at = 0.0

    def queue(data, address):
        nonlocal last_at
        now = site.clock.seconds()
        full = min(1.0, (now - start) / fill) if now - start < fill + 1.0 else 0.0
        # Packets stay in order, also while the queue drains.
        last_at = max(last_at, now + full * wait)
        site.clock.callLater(last_at - now, send, data, address)

    sock._send = queue


@given("its entries share their suspicions with each other")
def step_share(context):
    site = context.direct

    def share():
        now = site.clock.seconds()
        reports = [
            (
                each,
                each.steering.failure_detector.suspects(now),
                each.steering.failure_detector,
            )
            for each in site.entries
        ]
        for entry in site.entries:
            receiving = entry.steering.failure_detector
            for number, (other, suspects, reporting) in enumerate(reports):
                if other is entry:
                    continue
                receiving.receive_suspects(suspects, f"entry-{number}", now)
                for refutation in reporting.refutations(now):
                    receiving.receive_refutation(refutation, now)
        site.clock.callLater(0.1, share)

    share()


@when("all packets that the first entry sends are lost for {seconds:g} s")
def step_lost(context, seconds):
    step_partly_lost(context, 1.0, seconds)


@when(
    "a share of {share:g} of the packets that the first entry sends is lost for"
    " {seconds:g} s"
)
def step_partly_lost(context, share, seconds):
    site = context.direct
    entry = site.entries[0]
    sock = entry.port._sock
    send = sock._send

    def send_some(data, address):
        if site.rng.random() >= share:
            send(data, address)

    sock._send = send_some

    def heal():
        sock._send = send

    site.clock.callLater(seconds, heal)


@when("for {seconds:g} s only flows of the other targets carry packets")
def step_other_flows_only(context, seconds):
    site = context.direct
    first = site.entries[0].site.targets.get("a0")
    flows = site.entries[0].steering.flows
    here = {key for key, flow in flows._flows.items() if flow.target is first}
    busy = [
        caller
        for caller in context.callers
        if not any(caller._source == key[2:6] for key in here)
    ]
    context.busy = busy
    context.idle = next(c for c in context.callers if c not in busy)
    for number in range(int(seconds * 20)):
        busy[number % len(busy)].ask(f"other-{number}".encode())
        site.run(0.05, 0.005)


@when("{count:d} other entries report {flows:d} unanswered flows of the first target")
def step_reported_by_others(context, count, flows):
    entry = context.direct.entries[0]
    target = entry.site.targets.get("a0")
    suspect = Suspect(target.name, target.incarnation, flows, 1.5)
    for number in range(count):
        report(context.direct, f"entry-{number}", (suspect,))


@when("the first of them has no suspicion in its next heartbeat")
def step_withdrawn(context):
    report(context.direct, "entry-0", ())


def report(site, source, suspects):
    """Let the first entry receive the suspicions of another."""
    detector = site.entries[0].steering.failure_detector
    detector.receive_suspects(suspects, source, site.clock.seconds())


@when("after {seconds:g} s a flow of the first target receives its next packet")
def step_next_packet(context, seconds):
    site = context.direct
    context.busy[0].ask(b"others answer")
    site.run(seconds, 0.005)
    context.idle.ask(b"next")
    site.run(0.1, 0.005)


@then("that flow {outcome}")
def step_flow_outcome(context, outcome):
    resets = context.idle.resets
    assert resets == (1 if outcome == "is reset" else 0), resets


@then("after the first answer no target has complaints against it")
def step_none_suspected(context):
    left = [t.name for t in context.direct.entries[0].site.targets if t.complaints]
    assert not left, left


@when(
    "{count:d} callers without retries send {per_s:g} requests a second for"
    " {seconds:g} s"
)
def step_once(context, count, per_s, seconds):
    context.callers = [context.direct.add_caller(tries=1) for _ in range(count)]
    load(context.direct, context.callers, per_s, seconds)


@when("{event} while {count:d} of its callers are idle")
def step_idle(context, event, count):
    site = context.direct
    silent = site.target("a0")
    sources = {ends[0] for ends in silent._flows}
    at_target = [c for c in context.callers if c._source in sources]
    context.idle_callers = at_target[:count]
    if "list" in event:
        site.run(1.0, 0.01)
        site.unlist("a0")
        site.run(0.5, 0.01)
    else:
        busy = [c for c in context.callers if c not in context.idle_callers]
        load(site, busy + at_target[count:], 60, 2)
        # After 2 s the platform has missed three heartbeats and drops the target.
        site.unlist("a0")


@when("the idle callers send their next requests")
def step_next_requests(context):
    for caller in context.idle_callers:
        caller.ask(b"after the end")
    context.direct.run(1.0, 0.005)


@then("all of these requests are answered, each within {limit:g} s")
def step_each_within(context, limit):
    last = [caller.requests[-1] for caller in context.idle_callers]
    bad = [r for r in last if r.outcome is not Outcome.ANSWERED or r.took_s > limit]
    assert last and not bad, bad[:3]


@when("a caller closes a flow after {seconds:g} s of which this entry saw only the SYN")
def step_open_and_close(context, seconds):
    site = context.direct
    context.since = site.clock.seconds()
    caller = site.add_caller()
    caller.ask(b"never opened")
    site.run(seconds, 0.01)
    # The flow's other packets passed through another entry while the target was up.
    ((_, flow),) = site.entries[0].steering.flows._flows.items()
    caller._echo = flow.target.cookie(encode_destination(*DESTINATION))
    caller._send_packet(FIN | ACK)
    site.run(0.1, 0.01)


@then("no entry has seen a target answer since")
def step_no_answer_seen(context):
    seen = [t.last_answer_at for t in context.direct.entries[0].site.targets]
    assert max(seen) <= context.since, seen


@when("the {which} accept no more flows, and each request there takes {work_s:g} s")
def step_full(context, which, work_s):
    site = context.direct
    names = ["a0"] if which == "first target" else ["a0", "a1", "a2"]
    context.full = [site.target(name) for name in names]
    for target in context.full:
        target.max_flows = len(target._flows)
        target.work_s = work_s
    sources = {ends[0] for target in context.full for ends in target._flows}
    context.kept = [c for c in context.callers if c._source in sources]
    assert len(context.kept) > 4, len(context.kept)


@when(
    "{count:d} new callers send {per_s:g} requests a second for {seconds:g} s, while"
    " the others {activity}"
)
def step_press(context, count, per_s, seconds, activity):
    site = context.direct
    new = [site.add_caller() for _ in range(count)]
    if activity != "are idle":
        asked = int(activity.split()[1])
        ask_regularly(site, context.kept, asked, seconds)
    load(site, new, per_s, seconds)


def ask_regularly(site, callers, count, seconds):
    """Let ``count`` of the callers send a request each second, others each time."""

    def ask(turn):
        for number in range(count):
            caller = callers[(turn * count + number) % len(callers)]
            if all(request.outcome for request in caller.requests[-1:]):
                caller.ask(f"kept-{turn}-{number}".encode())
        if turn < seconds:
            site.clock.callLater(1.0, ask, turn + 1)

    site.clock.callLater(0.9, ask, 0)
