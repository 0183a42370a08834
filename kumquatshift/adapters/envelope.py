"""Encodes and decodes messages between entries with protobuf."""

from ..engine.messages import (
    Direction,
    EntryState,
    Heartbeat,
    Message,
    Record,
    RecordBatch,
    Relay,
)
from ..wire import entry_pb2 as pb

MAX_BORN_MS = 2**64 - 1


class MalformedEnvelopeError(ValueError):
    """The bytes are authentic, but not a valid envelope of this version."""


def encode(sender: str, message: Message) -> bytes:
    """Encode a message from the entry ``sender``."""
    field, encode_body = _ENCODERS[type(message)]
    envelope = pb.Envelope(sender=sender, **{field: encode_body(message)})
    return envelope.SerializeToString()


def decode(data: bytes) -> tuple[str, Message]:
    """Decode sender and message; raises `MalformedEnvelopeError`."""
    try:
        envelope = pb.Envelope.FromString(data)
        kind = envelope.WhichOneof("body")
        if kind is not None:
            return envelope.sender, _DECODERS[kind](envelope)
    except Exception as exc:
        # The error type of protobuf differs between its implementations.
        raise MalformedEnvelopeError(str(exc)) from exc
    raise MalformedEnvelopeError("the envelope is empty")


def encode_batch(batch: RecordBatch) -> pb.RecordBatch:
    """Encode records in columns, grouped by service."""
    by_service: dict[int, list[Record]] = {}
    for record in batch.records:
        by_service.setdefault(record.service, []).append(record)
    groups = [_encode_group(service, rows) for service, rows in by_service.items()]
    return pb.RecordBatch(groups=groups)


def decode_batch(batch: pb.RecordBatch) -> RecordBatch:
    """Decode the records of a batch.

    Raises ValueError or IndexError if the columns do not match each other.
    """
    records = [record for group in batch.groups for record in _decode_group(group)]
    return RecordBatch(tuple(records))


def _encode_group(service, rows):
    targets = sorted({row.target for row in rows})
    index = {name: number for number, name in enumerate(targets)}
    first = min(row.born_ms for row in rows)
    group = pb.RecordGroup(
        service=service,
        targets=targets,
        keys=[row.key for row in rows],
        target_index=[index[row.target] for row in rows],
        first_born_ms=first,
        born_after_ms=[row.born_ms - first for row in rows],
    )
    # A column in which every row has the default value is omitted.
    if any(row.epoch for row in rows):
        group.epochs.extend(row.epoch for row in rows)
    if any(row.tentative for row in rows):
        group.tentative.extend(row.tentative for row in rows)
    if any(row.detail for row in rows):
        group.details.extend(row.detail for row in rows)
    return group


def _decode_group(group):
    size = len(group.keys)
    columns = (
        group.keys,
        group.target_index,
        group.born_after_ms,
        group.epochs or [0] * size,
        group.tentative or [False] * size,
        group.details or [b""] * size,
    )
    for key, index, after, epoch, tentative, detail in zip(*columns, strict=True):
        target = group.targets[index]
        born_ms = group.first_born_ms + after
        if not 0 <= born_ms <= MAX_BORN_MS:
            raise ValueError(f"born_ms is out of range: {born_ms}")
        yield Record(key, target, group.service, born_ms, epoch, tentative, detail)


def _encode_relay(relay):
    message = pb.Relay(
        data=relay.data,
        direction=relay.direction,
        primary=relay.primary,
        path=relay.path,
        visited=relay.visited,
        copies=relay.copies,
    )
    record = relay.record
    if record is not None:
        message.record.key = record.key
        message.record.target = record.target
        message.record.service = record.service
        message.record.born_ms = record.born_ms
        message.record.epoch = record.epoch
        message.record.tentative = record.tentative
        message.record.detail = record.detail
    return message


def _decode_relay(envelope):
    message = envelope.relay
    record = None
    if message.HasField("record"):
        row = message.record
        record = Record(
            row.key,
            row.target,
            row.service,
            row.born_ms,
            row.epoch,
            row.tentative,
            row.detail,
        )
    return Relay(
        message.data,
        Direction(message.direction),
        message.primary,
        tuple(message.path),
        tuple(message.visited),
        record,
        message.copies,
    )


def _encode_heartbeat(heartbeat):
    return pb.Heartbeat(
        domain=heartbeat.domain,
        incarnation=heartbeat.incarnation,
        sequence=heartbeat.sequence,
        state=heartbeat.state,
        digest=heartbeat.digest,
        address=heartbeat.address,
        heard=heartbeat.heard,
    )


def _decode_heartbeat(envelope):
    heartbeat = envelope.heartbeat
    return Heartbeat(
        envelope.sender,
        heartbeat.domain,
        heartbeat.incarnation,
        heartbeat.sequence,
        EntryState(heartbeat.state),
        heartbeat.digest,
        heartbeat.address,
        tuple(heartbeat.heard),
    )


def _decode_records(envelope):
    return decode_batch(envelope.records)


_ENCODERS = {
    Relay: ("relay", _encode_relay),
    RecordBatch: ("records", encode_batch),
    Heartbeat: ("heartbeat", _encode_heartbeat),
}

_DECODERS = {
    "relay": _decode_relay,
    "records": _decode_records,
    "heartbeat": _decode_heartbeat,
}
