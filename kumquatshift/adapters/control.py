"""gRPC between entries: synchronise configuration, hand records over."""

import asyncio
import json
from collections.abc import Callable, Iterable

import grpc
from loguru import logger
from returns.pipeline import is_successful

from ..codec import object_from_json, object_to_json
from ..engine.messages import RecordBatch
from ..engine.objects import Versioned
from ..wire import entry_pb2 as pb, entry_pb2_grpc as rpc
from .envelope import decode_batch, encode_batch

CALL_TIMEOUT_S = 2.0

# After these a call is made on a new channel: the connection may have died without
# notice, and gRPC itself waits up to two minutes before it connects again.
LOST_CODES = (grpc.StatusCode.DEADLINE_EXCEEDED, grpc.StatusCode.UNAVAILABLE)

log = logger.bind(part="control")


class ControlServicer(rpc.ControlServicer):
    """Serves the control calls of other entries."""

    def __init__(
        self,
        config_since: Callable[[tuple[int, ...]], Iterable[Versioned]],
        on_records: Callable[[str, RecordBatch], None],
    ):
        self._config_since = config_since
        self._on_records = on_records

    async def Sync(self, request, context):  # noqa: N802
        """Return the objects in the buckets whose digests differ."""
        digests = tuple(request.digests)
        try:
            objects = self._config_since(digests)
        except IndexError:
            text = "expected one digest for each bucket"
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, text)
        values = [json.dumps(object_to_json(obj)) for obj in objects]
        return pb.SyncReply(objects=values)

    async def Copy(self, request, context):  # noqa: N802
        """Take over the records of a leaving entry."""
        try:
            batch = decode_batch(request.records)
        except (ValueError, IndexError):
            text = "the columns of the records differ in length"
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, text)
        self._on_records(request.sender, batch)
        return pb.CopyReply()


class ControlClient:
    """Makes control calls to other entries over one channel each.

    A channel on which a call was not answered is replaced.
    """

    def __init__(self, open_channel: Callable[[str], grpc.aio.Channel]):
        self._open_channel = open_channel
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._closing: set[asyncio.Task] = set()

    async def sync(self, endpoint: str, digests: tuple[int, ...]) -> list[Versioned]:
        """Return the objects of buckets in which the entry at ``endpoint`` differs."""
        reply = await self._call(endpoint, "Sync", pb.SyncRequest(digests=digests))
        read = [object_from_json(json.loads(text)) for text in reply.objects]
        bad = [each for each in read if not is_successful(each)]
        if bad:
            log.warning("Ignored {} invalid objects from {}.", len(bad), endpoint)
        return [each.unwrap() for each in read if is_successful(each)]

    async def copy(self, endpoint: str, sender: str, batch: RecordBatch) -> None:
        """Hand records over; returns once the entry at ``endpoint`` has them."""
        request = pb.CopyRequest(sender=sender, records=encode_batch(batch))
        await self._call(endpoint, "Copy", request)

    async def close(self) -> None:
        """Close all channels."""
        for endpoint in list(self._channels):
            self._drop(endpoint, self._channels[endpoint], grace_s=None)
        await asyncio.gather(*self._closing)

    async def _call(self, endpoint: str, method: str, request):
        channel = self._channels.get(endpoint)
        if channel is None:
            channel = self._channels[endpoint] = self._open_channel(endpoint)
        call = getattr(rpc.ControlStub(channel), method)
        try:
            return await call(request, timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError as exc:
            if exc.code() in LOST_CODES:
                self._drop(endpoint, channel, grace_s=CALL_TIMEOUT_S)
            raise

    def _drop(
        self, endpoint: str, channel: grpc.aio.Channel, grace_s: float | None
    ) -> None:
        """Close a channel; calls that are in progress may end within ``grace_s``."""
        if self._channels.get(endpoint) is not channel:
            return  # Another call that failed has replaced it.
        del self._channels[endpoint]
        closing = asyncio.ensure_future(channel.close(grace_s))
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)


async def serve(
    servicer: ControlServicer,
    endpoint: str,
    credentials: grpc.ServerCredentials | None,
) -> grpc.aio.Server:
    """Start the control server, without TLS if ``credentials`` is None."""
    server = grpc.aio.server()
    rpc.add_ControlServicer_to_server(servicer, server)
    if credentials is None:
        server.add_insecure_port(endpoint)
    else:
        server.add_secure_port(endpoint, credentials)
    await server.start()
    return server
