import random
from collections import Counter

import dpkt
from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type
from behave import then
from hypothesis import given as for_all, settings, strategies as st
from returns.pipeline import is_successful

from kumquatshift.engine import coap
from kumquatshift.engine.coap import Header
from kumquatshift.engine.datagrams import packet_to_caller, read_datagram, with_payload
from kumquatshift.engine.decisions import Cause
from kumquatshift.engine.exchanges import Exchange
from kumquatshift.engine.refusals import Refusals
from kumquatshift.errors import ErrorKind
from kumquatshift.measures.coap_packets import flow_of, packet, read, request

REQUESTS = st.builds(
    lambda kind, code, mid, token, path, observe, block, payload: Message(
        code=code, payload=payload, _mtype=kind, _mid=mid, _token=token,
        uri_path=path, observe=observe, block2=block,
    ),
    st.sampled_from((Type.CON, Type.NON)),
    st.sampled_from((Code.GET, Code.POST, Code.FETCH, Code.iPATCH)),
    st.integers(0, 65535),
    st.binary(max_size=8),
    st.lists(st.text(max_size=12), max_size=3),
    st.none() | st.integers(0, 1),
    st.none() | st.tuples(st.integers(0, 500), st.booleans(), st.integers(0, 6)),
    st.binary(max_size=40),
)  # fmt: skip


@then("the method {method} {may} run twice")
def step_method(context, method, may):
    code = 31 if method == "0.31" else Code[method]
    assert Header(Type.CON, code, 1, b"").is_idempotent == (may == "may")


@then(
    "header and options of {count:d} random messages are read as the library reads them"
)
def step_differential(context, count):
    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @for_all(REQUESTS)
    def agrees(msg):
        data = msg.encode()
        header = coap.read_header(data).unwrap()
        decoded = Message.decode(data)
        assert header == Header(decoded.mtype, decoded.code, decoded.mid, decoded.token)
        options = coap.read_request(data).unwrap()
        block = decoded.opt.block2
        assert options.observe == decoded.opt.observe
        assert options.block == (block.block_number if block else 0)
        rewrite_header = Message.decode(coap.rewrite_header(data, b"abc", 77))
        assert (rewrite_header.token, rewrite_header.mid) == (b"abc", 77)
        assert (
            rewrite_header.opt == decoded.opt
            and rewrite_header.payload == decoded.payload
        )

    agrees()


@then("{count:d} random payloads are read or reported as bad input")
def step_random_bytes(context, count):
    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @for_all(st.binary(max_size=30), st.booleans())
    def never_raises(data, valid_start):
        data = b"\x41\x01\x00\x01" + data if valid_start else data
        for reader in (coap.read_header, coap.read_request, coap.read_response):
            result = reader(data)
            if not is_successful(result):
                assert result.failure().kind is ErrorKind.BAD_INPUT

    never_raises()


@then('the message "{data}" is bad input because "{reason}"')
@then('the message "" is bad input because "{reason}"')
def step_malformed(context, reason, data=""):
    failure = coap.read_header(bytes.fromhex(data)).failure()
    assert failure.kind is ErrorKind.BAD_INPUT and reason in failure.message


def refused(msg_type, kind, acknowledged=False):
    exchange = Exchange(flow_of(), Header(msg_type, Code.POST, 9, b"\x07"), b"", 0, 1)
    exchange.acknowledged = acknowledged
    refusal = Refusals(random.Random(1)).refuse(exchange, kind, Cause.BACKLOG, 3.0)
    return read(refusal.data)


@then(
    "a {msg_type} request is refused as {kind} by a {answer} "
    'with code {code} that says "{text}"'
)
def step_refusal(context, msg_type, kind, answer, code, text):
    msg = refused(Type[msg_type], ErrorKind(kind))
    assert msg.mtype == Type[answer] and msg.code.dotted == code
    assert msg.token == b"\x07" and msg.payload.decode().startswith(text)
    assert (msg.mid == 9) == (answer == "ACK")
    if kind != "outcome-unknown":
        assert msg.payload.decode().endswith(f"come back in {msg.opt.max_age} s")


@then("an acknowledged CON request is refused by a NON")
def step_acknowledged(context):
    assert refused(Type.CON, ErrorKind.TIMEOUT, True).mtype == Type.NON


@then(
    "{count:d} refusals at a backlog of {backlog:d} s are spread over at least"
    " {span:d} s"
)
def step_spread(context, count, backlog, span):
    refusals = Refusals(random.Random(1))
    context.ages = Counter()
    for mid in range(count):
        header = Header(Type.CON, Code.POST, mid, b"")
        exchange = Exchange(flow_of(), header, b"", 0, 1)
        refusals.refuse(exchange, ErrorKind.NOT_RUN, Cause.BACKLOG, backlog)
        context.ages[exchange.max_age_s] += 1
    assert max(context.ages) - min(context.ages) >= span
    assert max(context.ages.values()) <= count / span * 2


@then("none of them asks for a wait of less than {least:d} s")
def step_shortest_wait(context, least):
    assert min(context.ages) >= least


@then("{count:d} random payloads in packets have correct lengths and checksums")
def step_checksums(context, count):
    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @for_all(st.binary(max_size=200))
    def is_correct(payload):
        datagram = read_datagram(request(Code.GET, 1, b"")).unwrap()
        expected = packet(payload)
        assert with_payload(datagram, payload) == expected
        back = dpkt.ip.IP(packet_to_caller(flow_of(), payload))
        assert (back.src, back.dst) == (datagram.packet[16:20], datagram.packet[12:16])
        assert bytes(back.data.data) == payload and back.data.sum
        again = bytes(back)
        back.sum = back.data.sum = 0
        assert bytes(back) == again

    is_correct()
