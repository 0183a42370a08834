from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type
from behave import then, when

from kumquatshift.engine.decisions import (
    Discard,
    ForwardToTarget,
    Refuse,
    ReplicateAndForward,
    ReturnToCaller,
)
from kumquatshift.engine.messages import Record
from kumquatshift.measures.coap_packets import (
    CALLER,
    SERVICE,
    empty_message,
    endpoints,
    message,
    packet,
    read,
    reply,
    request,
)
from tests.support.single_policy import SinglePolicy

TOKEN = b"\x11"


def send(context, code=Code.GET, mid=1, token=TOKEN, payload=b"", **options):
    """Send a request; return the packet that goes to a target."""
    decisions = context.single.request(request(code, mid, token, payload, **options))
    keep(context, decisions)
    return next(
        (each.data for each in decisions if isinstance(each, ReplicateAndForward)), None
    )


def answer(context, seen, payload, **options):
    keep(context, context.single.response(reply(seen, payload=payload, **options)))


def keep(context, decisions):
    if not hasattr(context, "decisions"):
        context.decisions = []
    context.decisions += decisions


def returned(context):
    return [
        read(each.data)
        for each in context.decisions
        if isinstance(each, ReturnToCaller)
    ]


@when("two answers come crossed")
def step_crossed(context):
    one, two = send(context), send(context, mid=2, token=b"\x22")
    answer(context, two, b"second")
    answer(context, one, b"first")


@when("an answer comes twice")
def step_twice(context):
    one = send(context)
    answer(context, one, b"first")
    answer(context, one, b"first")


@when("a retransmission comes after the answer")
def step_retransmission(context):
    answer(context, send(context, Code.POST), b"first")
    assert send(context, Code.POST) is None


@when("an answer comes after the refusal")
def step_after_refusal(context):
    one = send(context, Code.POST)
    keep(context, context.single.tick(11.0))
    assert isinstance(context.decisions[-1], Refuse)
    answer(context, one, b"first")


@when("an answer comes after its token was used again")
def step_token_again(context):
    one, two = send(context), send(context, mid=2)
    answer(context, one, b"first", kind=Type.CON, mid=70)
    answer(context, two, b"second", kind=Type.CON, mid=70)


@when("an answer of the first target comes after a retry")
def step_after_retry(context):
    one, two = retry(context)
    answer(context, one, b"first")
    answer(context, two, b"second")


@when("a separate answer of the first target follows a retry")
def step_separate_after_retry(context):
    one, two = retry(context)
    answer(context, two, b"second")
    answer(context, one, b"first", kind=Type.NON, mid=70)


def retry(context):
    context.single.policy.dispatcher._budget("s").tokens = 1.0
    one = send(context)
    decisions = context.single.tick(4.0)
    assert isinstance(decisions[0], ReplicateAndForward), decisions
    return one, decisions[0].data


@when("an answer comes after its message id was used again")
def step_mid_again(context):
    one, two = send(context), send(context, token=b"\x22", payload=b"other")
    answer(context, two, b"second")
    answer(context, one, b"first", kind=Type.NON, mid=71)
    context.decisions = [
        each
        for each in context.decisions
        if not isinstance(each, ReturnToCaller) or read(each.data).token == b"\x22"
    ]


@when("an answer comes after its port and token were reused")
def step_port_again(context):
    one, two = send(context, Code.POST), send(context, Code.POST, payload=b"other")
    assert read(one).token != read(two).token
    answer(context, one, b"first")
    answer(context, two, b"second")


@when("an answer comes from no exchange")
def step_stranger(context):
    data = request(Code.GET, 1, b"\x99")
    answer(context, data, b"first")


@then("the caller sees only {answers}")
def step_sees(context, answers):
    expected = [] if answers == "nothing" else answers.split(", ")
    seen = [msg.payload.decode() for msg in returned(context)]
    assert seen == expected, seen
    assert all(msg.token in (TOKEN, b"\x22") for msg in returned(context))


@when("two targets answer with confirmable messages of the same id")
def step_same_ids(context):
    context.seen = [send(context), send(context, mid=2, token=b"\x22")]
    for seen in context.seen:
        answer(context, seen, b"answer", kind=Type.CON, mid=70)


@then("the caller sees two message ids")
def step_two_ids(context):
    context.shown = [msg.mid for msg in returned(context)]
    assert len(set(context.shown)) == 2, context.shown


@then("each ACK of the caller reaches the target that waits for it")
def step_acks(context):
    targets = [
        each.record_fields.target
        for each in context.decisions
        if isinstance(each, ReplicateAndForward)
    ]
    for mid, target in zip(context.shown, targets, strict=True):
        (decision,) = context.single.request(empty_message(Type.ACK, mid))
        assert decision.target == target and read(decision.data).mid == 70


@when("a target answers with options and payload")
def step_options(context):
    seen = send(context, mid=9)
    answer(context, seen, b"x" * 300, etag=b"abc", max_age=7, content_format=0)


@then("the caller sees the same options, payload, token and message id")
def step_same(context):
    data = context.decisions[-1].data
    msg = read(data)
    assert endpoints(data) == (SERVICE, CALLER)
    assert (msg.mid, msg.token, msg.payload) == (9, TOKEN, b"x" * 300)
    assert (msg.opt.etag, msg.opt.max_age, msg.opt.content_format) == (b"abc", 7, 0)


def send_block(context, option, method, number, path="report"):
    name, code = option.lower(), Code[method]
    options = {name: (number, number < 5, 6), "uri_path": (path,)}
    mid = 50 + number + 100 * len(path)
    return send(context, code, mid, b"%d" % mid, **options)


def targets_of(context):
    forwards = [
        each for each in context.decisions if isinstance(each, ReplicateAndForward)
    ]
    return [each.record_fields.target for each in forwards]


@when("{option} blocks 0 to 5 of one resource are sent with {method}")
def step_blocks(context, option, method):
    context.option = option
    for number in range(6):
        other = send(context, mid=900 + number, token=b"n%d" % number)
        seen = send_block(context, option, method, number)
        context.targets = [*getattr(context, "targets", ()), targets_of(context)[-1]]
        answer(context, seen, b"", code=Code.CONTINUE)
        answer(context, other, b"")


@then("all blocks went to one target")
def step_one_target(context):
    assert len(context.targets) == 6 and len(set(context.targets)) == 1


@then("block 3 of another resource sent with {method} is {fate}")
def step_other_block(context, method, fate):
    seen = send_block(context, context.option, method, 3, path="other")
    assert (seen is not None) == (fate == "sent")


def take_over(context):
    """Put a standby, which has seen the records only, in the primary's place."""
    standby = SinglePolicy(seed=2, warm=False)
    standby.now = context.single.now
    for each in context.decisions:
        if isinstance(each, ReplicateAndForward):
            record_fields = each.record_fields
            record = Record(
                record_fields.key,
                record_fields.target,
                1,
                record_fields.born_ms,
                record_fields.epoch,
                False,
                record_fields.detail,
            )
            assert standby.policy.adopt("s", record, standby.now)
    context.single = standby


@when("block 0 of a resource is sent, and a standby takes over")
def step_block_take_over(context):
    answer(context, send_block(context, "Block2", "GET", 0), b"")
    take_over(context)


@then("block 1 goes to the same target")
def step_same_target(context):
    context.single.tick(1.0)
    for number in (1, 2):
        send_block(context, "Block2", "GET", number)
    assert len(set(targets_of(context))) == 1 and len(targets_of(context)) == 3


def notify(context):
    context.number = getattr(context, "number", 100) + 1
    answer(
        context, context.watched, b"slot", kind=Type.CON, mid=context.number, observe=5
    )


@when("a caller watches a resource and gets 3 notifications")
def step_watch(context):
    context.watched = send(context, observe=0)
    for _ in range(3):
        context.single.now += 60.0
        notify(context)


@when("the watch goes on")
def step_goes_on(context):
    context.single.tick(500.0)


@when("the watch is registered again")
def step_register(context):
    context.single.now += 500.0
    (decision,) = context.single.request(request(Code.GET, 2, TOKEN, observe=0))
    assert read(decision.data).token == read(context.watched).token
    context.single.tick(500.0)


@when("the watch is taken over by a standby")
def step_taken_over(context):
    context.single.now -= 180.0
    take_over(context)
    context.single.tick(500.0)


@when("the watch is rejected by the caller")
def step_rejected(context):
    (decision,) = context.single.request(
        empty_message(Type.RST, returned(context)[-1].mid)
    )
    assert read(decision.data).mtype == Type.RST


@when("the watch is deregistered")
def step_deregister(context):
    (decision,) = context.single.request(request(Code.GET, 2, TOKEN, observe=1))
    answer(context, decision.data, b"last")


@when("the watch is silent for its idle time")
def step_silent(context):
    context.single.tick(601.0)


@then("the next notification {fate}")
def step_next(context, fate):
    before = len(returned(context))
    if fate == "goes nowhere":
        context.single.tick(1000.0)
    notify(context)
    reached = len(returned(context)) > before
    assert reached == (fate == "reaches the caller")


@when("a caller watches a resource and its target is lost")
def step_target_lost(context):
    context.watched = send(context, observe=0)
    notify(context)
    target = context.decisions[0].record_fields.target
    keep(context, context.single.policy.handle_lost_target(target, context.single.now))


@then('the caller is told "{text}"')
def step_caller_told(context, text):
    last = context.decisions[-1]
    assert isinstance(last, Refuse), last
    assert text in read(last.data).payload.decode()


@then("no slot is in use")
def step_no_slot(context):
    assert not any(host.used for host in context.single.pool.hosts.values())


@when("a ping of the caller comes")
def step_ping(context):
    keep(context, context.single.request(empty_message(Type.CON, 5)))


@when("an RST of the caller for a sent request comes")
def step_cancel_sent(context):
    send(context, Code.POST)
    keep(context, context.single.request(empty_message(Type.RST, 1)))


@when("an RST of the caller for a waiting one comes")
def step_cancel_waiting(context):
    for mid in range(1, 10):
        send(context, Code.POST, mid, b"%d" % mid)
    assert len(context.single.pool.queue) == 1
    keep(context, context.single.request(empty_message(Type.RST, 9)))
    assert not len(context.single.pool.queue)


@when("an ACK of the caller for nothing comes")
def step_ack_nothing(context):
    keep(context, context.single.request(empty_message(Type.ACK, 5)))


@when("an ACK of the target comes")
def step_ack_target(context):
    send(context)
    keep(context, context.single.response(empty_message(Type.ACK, 1, SERVICE, CALLER)))


@when("an RST of the target comes")
def step_rst_target(context):
    send(context)
    keep(context, context.single.response(empty_message(Type.RST, 1, SERVICE, CALLER)))


@when("a truncated packet comes")
def step_truncated(context):
    whole = request(Code.POST, 1, TOKEN)
    for length in range(len(whole)):
        keep(context, context.single.request(whole[:length]))


@when("a fragment comes")
def step_fragment(context):
    whole = bytearray(request(Code.POST, 1, TOKEN))
    whole[6] |= 0x20
    keep(context, context.single.request(bytes(whole)))


@when("a request with unreadable options comes")
def step_unreadable(context):
    data = message(Code.POST, 1, TOKEN) + b"\xf0"
    keep(context, context.single.request(packet(data)))


@then("the policy decides {what}")
def step_decides(context, what):
    last = context.decisions[-1]
    if what == "nothing":
        assert isinstance(last, Discard), last
    elif what.startswith("a refusal"):
        assert read(last.data).code.dotted in what, read(last.data).code
    else:
        kind, _, _, end = what.removeprefix("an ").split()
        assert isinstance(
            last, ForwardToTarget if end == "target" else ReturnToCaller
        ), last
        assert read(last.data).mtype == Type[kind]


@when("requests went to {number:d} warm targets and a standby takes over")
def step_requests_taken_over(context, number):
    for mid in range(number):
        send(context, mid=mid, token=b"%d" % mid)
    take_over(context)


@then("the standby allows {number:d} targets 2 requests at once, and the others 1")
def step_standby_limits(context, number):
    limits = sorted(int(each.limit) for each in context.single.pool.hosts.values())
    assert limits == [1] * (4 - number) + [2] * number, limits


@then("the standby sends {some:d} requests now, and {more:d} more a moment later")
def step_standby_sends(context, some, more):
    sent = [send(context, mid=50 + i, token=b"m%d" % i) for i in range(9)]
    assert sum(each is not None for each in sent) == some, sent
    later = context.single.tick(0.2)
    assert (
        len([each for each in later if isinstance(each, ReplicateAndForward)]) == more
    ), later
