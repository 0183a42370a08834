"""Transports for requests: CoAP, and HTTP over a persistent connection."""

import asyncio
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

import aiocoap
import treq
from aiocoap import GET, POST, Code, Message
from twisted.web.client import HTTPConnectionPool

from ..engine.objects import Protocol as Transport
from ..standins.packets import Endpoint

COAP_REFUSALS = (Code.SERVICE_UNAVAILABLE, Code.TOO_MANY_REQUESTS)
COAP_DEFAULT_MAX_AGE_S = 60
HTTP_OK = 200
HTTP_REFUSALS = (429, 503)
HTTP_GATEWAY_TIMEOUT = 504
HTTP_DEFAULT_RETRY_S = 60


class ReplyKind(Enum):
    """Meaning of a reply for the caller."""

    ANSWER = auto()
    REFUSAL = auto()
    UNKNOWN = auto()
    ERROR = auto()


@dataclass(frozen=True)
class Reply:
    """A reply; ``retry_s`` is the delay before retrying a refused request."""

    kind: ReplyKind
    code: str
    payload: bytes = b""
    retry_s: float = 0.0


class NoReplyError(Exception):
    """No reply was received; the message names the error seen instead."""


class Exchange(Protocol):
    """Transport between one caller and a service."""

    async def open(self) -> None:
        """Prepare for sending."""

    async def send(self, path: str, query: str, idempotent: bool) -> Reply:
        """Send one request; raise `NoReplyError` if no reply is received."""

    async def close(self) -> None:
        """Release all resources."""


async def client_context():
    """Return an aiocoap client context with its own UDP socket."""
    return await aiocoap.Context.create_client_context(transports=["udp6"])


class CoapExchange:
    """Confirmable requests of an aiocoap client with its own socket."""

    def __init__(self, endpoint: Endpoint, timeout_s: float, reactor):
        self.endpoint = endpoint
        self.timeout_s = timeout_s
        self.context = None

    async def open(self):
        """Open the socket."""
        self.context = await client_context()

    async def close(self):
        """Close the socket."""
        await self.context.shutdown()

    async def send(self, path, query, idempotent):
        """Send one request and wait for the complete response, all blocks included."""
        message = Message(
            code=GET if idempotent else POST,
            uri=f"coap://{self.endpoint}/{path}?{query}",
        )
        try:
            response = await asyncio.wait_for(
                self.context.request(message).response, self.timeout_s
            )
        except (aiocoap.error.Error, OSError, TimeoutError) as exc:
            raise NoReplyError(type(exc).__name__) from exc
        return coap_reply(response)


def coap_reply(response):
    """Return the reply for a CoAP response."""
    code = str(response.code)
    if response.code.is_successful():
        return Reply(ReplyKind.ANSWER, code, response.payload)
    if response.code in COAP_REFUSALS:
        max_age_s = response.opt.max_age
        retry_s = COAP_DEFAULT_MAX_AGE_S if max_age_s is None else max_age_s
        return Reply(ReplyKind.REFUSAL, code, retry_s=retry_s)
    if response.code is Code.GATEWAY_TIMEOUT:
        return Reply(ReplyKind.UNKNOWN, code)
    return Reply(ReplyKind.ERROR, code)


class HttpExchange:
    """Requests over one persistent HTTP connection."""

    def __init__(self, endpoint: Endpoint, timeout_s: float, reactor):
        self.endpoint = endpoint
        self.timeout_s = timeout_s
        self.reactor = reactor
        self.pool = HTTPConnectionPool(reactor, persistent=True)
        self.pool.maxPersistentPerHost = 1
        self.pool.retryAutomatically = False

    async def open(self):
        """Do nothing: the first request opens the connection."""

    async def close(self):
        """Close the connection."""
        await as_future(self.pool.closeCachedConnections())

    async def send(self, path, query, idempotent):
        """Send one request and wait for the complete response."""
        method = "GET" if idempotent else "POST"
        try:
            return await asyncio.wait_for(
                self._send(method, f"http://{self.endpoint}/{path}?{query}"),
                self.timeout_s,
            )
        except Exception as exc:
            raise NoReplyError(type(exc).__name__) from exc

    async def _send(self, method, url):
        pending = treq.request(method, url, pool=self.pool, reactor=self.reactor)
        response = await as_future(pending)
        payload = await as_future(treq.content(response))
        return http_reply(response, payload)


def http_reply(response, payload):
    """Return the reply for an HTTP response."""
    code = str(response.code)
    if response.code == HTTP_OK:
        return Reply(ReplyKind.ANSWER, code, payload)
    if response.code in HTTP_REFUSALS:
        retry = response.headers.getRawHeaders("Retry-After", [HTTP_DEFAULT_RETRY_S])
        return Reply(ReplyKind.REFUSAL, code, retry_s=float(retry[0]))
    if response.code == HTTP_GATEWAY_TIMEOUT:
        return Reply(ReplyKind.UNKNOWN, code)
    return Reply(ReplyKind.ERROR, code)


def as_future(deferred):
    """Return an asyncio future for a Deferred."""
    return deferred.asFuture(asyncio.get_running_loop())


EXCHANGES = {Transport.UDP: CoapExchange, Transport.TCP: HttpExchange}
