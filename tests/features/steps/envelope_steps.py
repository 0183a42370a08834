"""Property tests of the envelope codec: round trips and malformed input."""

from behave import then
from hypothesis import given as given_values, settings, strategies as st

from kumquatshift.adapters.envelope import MalformedEnvelopeError, decode, encode
from kumquatshift.engine.messages import (
    Direction,
    EntryState,
    Heartbeat,
    Record,
    RecordBatch,
    Relay,
)
from kumquatshift.wire import entry_pb2 as pb

U32 = st.integers(0, 2**32 - 1)
U64 = st.integers(0, 2**64 - 1)
NAMES = st.text(st.characters(codec="utf-8"), max_size=20)
PATHS = st.lists(NAMES, max_size=9).map(tuple)
# Birth times must fit the signed column of differences.
BIRTHS_MS = st.integers(0, 2**62)
RECORDS = st.builds(
    Record,
    st.binary(max_size=24),
    NAMES,
    U64,
    BIRTHS_MS,
    U32,
    st.booleans(),
    st.binary(max_size=40),
)
RELAYS = st.builds(
    Relay,
    st.binary(max_size=1500),
    st.sampled_from(Direction),
    NAMES,
    PATHS,
    PATHS,
    st.none() | RECORDS,
    U32,
)
BATCHES = st.builds(RecordBatch, st.lists(RECORDS, max_size=12).map(tuple))
HEARTBEATS = st.builds(
    Heartbeat, NAMES, NAMES, U64, U64, st.sampled_from(EntryState), U64, NAMES, PATHS
)
MESSAGES = {"Relay": RELAYS, "RecordBatch": BATCHES, "Heartbeat": HEARTBEATS}
ANY_MESSAGE = st.one_of(*MESSAGES.values())


def grouped(batch):
    """Return the batch with its records in the order of the encoded columns."""
    services = list(dict.fromkeys(record.service for record in batch.records))
    rows = sorted(batch.records, key=lambda record: services.index(record.service))
    return RecordBatch(tuple(rows))


def encoded(message):
    """Return the bytes of a message, from the sender that it names."""
    return encode(getattr(message, "name", "e1"), message)


@st.composite
def flipped(draw):
    """Return the bytes of a message with some bits flipped."""
    data = bytearray(encoded(draw(ANY_MESSAGE)))
    for _ in range(draw(st.integers(1, 8))):
        data[draw(st.integers(0, len(data) - 1))] ^= 1 << draw(st.integers(0, 7))
    return bytes(data)


@st.composite
def truncated(draw):
    """Return the first bytes of a message."""
    data = encoded(draw(ANY_MESSAGE))
    return data[: draw(st.integers(0, len(data)))]


@st.composite
def with_unknown_fields(draw):
    """Return a message followed by a field that this version does not know."""
    number = draw(st.integers(5, 1000))
    value = draw(st.binary(max_size=60))
    tag = number << 3 | 2
    head = bytes([tag & 0x7F | 0x80, tag >> 7]) if tag > 0x7F else bytes([tag])
    return encoded(draw(ANY_MESSAGE)) + head + bytes([len(value)]) + value


BYTES = {
    "random bytes": st.binary(max_size=300),
    "truncated messages": truncated(),
    "messages with flipped bits": flipped(),
    "messages with unknown fields": with_unknown_fields(),
}


def record_group(**fields):
    """Return an envelope with one group of records, all columns of one row."""
    row = {"keys": [b"k"], "targets": ["t"], "target_index": [0], "born_after_ms": [0]}
    return pb.Envelope(records={"groups": [row | fields]})


ENVELOPES = {
    "nothing at all": pb.Envelope(),
    "a sender and no body": pb.Envelope(sender="e1"),
    "an unknown direction": pb.Envelope(relay={"direction": 7}),
    "an unknown state": pb.Envelope(heartbeat={"state": 9}),
    "columns of different length": record_group(epochs=[1, 2]),
    "a target index out of range": record_group(target_index=[1]),
    "a negative birth": record_group(born_after_ms=[-1]),
    "a birth out of range": record_group(first_born_ms=2**64 - 1, born_after_ms=[1]),
}


@then("{number:d} generated messages of kind {kind} are decoded with their sender")
def step_round_trip(context, number, kind):
    @settings(max_examples=number, deadline=None, derandomize=True, database=None)
    @given_values(NAMES, MESSAGES[kind])
    def check(sender, message):
        sender = getattr(message, "name", sender)
        wanted = grouped(message) if kind == "RecordBatch" else message
        assert decode(encode(sender, message)) == (sender, wanted)

    check()


@then("{number:d} envelopes consisting of {kind} are read or refused as malformed")
def step_malformed_bytes(context, number, kind):
    @settings(max_examples=number, deadline=None, derandomize=True, database=None)
    @given_values(BYTES[kind])
    def check(data):
        try:
            sender, message = decode(data)
        except MalformedEnvelopeError:
            return
        # What was decoded is a message that can be encoded again.
        assert decode(encode(sender, message))[0] == sender

    check()


@then("the envelope of {kind} is refused as malformed")
def step_refused(context, kind):
    try:
        decoded = decode(ENVELOPES[kind].SerializeToString())
    except MalformedEnvelopeError:
        return
    raise AssertionError(decoded)
