"""Parsing and building of CoAP messages (RFC 7252) for the request policy.

For most packets only the header is parsed. Options are decoded, with the codec
of ``aiocoap``, only where a decision depends on them.
"""

from dataclasses import dataclass
from enum import IntEnum
from hashlib import blake2b

from aiocoap import Message
from aiocoap.error import UnparsableMessage
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type
from returns.result import Failure as Err, Result, Success

from ..errors import ERROR_CODES, ErrorKind, Failure

VERSION = 1
HEADER_BYTES = 4
TOKEN_MAX_BYTES = 8
MESSAGE_IDS = 1 << 16
PATH_DIGEST_BYTES = 4

#: Idempotent methods of RFC 7252, section 5.1, and RFC 8132.
IDEMPOTENT_METHODS = frozenset(
    {Code.GET, Code.PUT, Code.DELETE, Code.FETCH, Code.iPATCH}
)

#: Codes of a server that shed a request (RFC 7252, section 5.9.3.4, and RFC 8516);
#: they count as shed only with a Max-Age option, the time to retry.
SHED_CODES = frozenset({Code.SERVICE_UNAVAILABLE, Code.TOO_MANY_REQUESTS})


class Observe(IntEnum):
    """Values of the Observe option in a request (RFC 7641, section 2)."""

    REGISTER = 0
    DEREGISTER = 1


@dataclass(frozen=True, slots=True)
class Header:
    """The fixed header of a message, and its token."""

    type: int
    code: int
    mid: int
    token: bytes

    @property
    def is_empty(self) -> bool:
        """Whether this is an empty ACK, RST or ping."""
        return self.code == Code.EMPTY

    @property
    def is_request(self) -> bool:
        """Whether the code is a method code."""
        return 0 < self.code < 32

    @property
    def is_response(self) -> bool:
        """Whether the code is a response code."""
        return 64 <= self.code < 192

    @property
    def is_idempotent(self) -> bool:
        """Whether the method is idempotent; unknown methods are not."""
        return self.code in IDEMPOTENT_METHODS


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """Decoded options of a request.

    ``block`` is the number of the block that is sent or requested (RFC 7959),
    or 0 without a block option. ``path_digest`` is a digest of the method and
    the resource, which all blocks of a transfer share.
    """

    observe: int | None
    block: int
    path_digest: bytes


@dataclass(frozen=True, slots=True)
class ResponseOptions:
    """Decoded options of a response; ``max_age_s`` is None if absent."""

    observe: int | None
    max_age_s: int | None
    shed: bool


def read_header(payload: bytes) -> Result[Header, Failure]:
    """Parse the header and the token only."""
    if len(payload) < HEADER_BYTES:
        return _bad_input("message is shorter than the CoAP header of 4 bytes")
    first = payload[0]
    if first >> 6 != VERSION:
        return _bad_input("unsupported CoAP version, expected 1")
    length = first & 0x0F
    if length > TOKEN_MAX_BYTES or len(payload) < HEADER_BYTES + length:
        return _bad_input("CoAP token length is invalid, or the token is truncated")
    code = payload[1]
    if code == Code.EMPTY and len(payload) > HEADER_BYTES:
        return _bad_input("empty CoAP message has data after its header")
    token = payload[HEADER_BYTES : HEADER_BYTES + length]
    mid = int.from_bytes(payload[2:4])
    return Success(Header((first >> 4) & 0x03, code, mid, token))


def read_request(payload: bytes) -> Result[RequestOptions, Failure]:
    """Decode the options of a request."""
    return _decode(payload).map(_request_of)


def read_response(payload: bytes) -> Result[ResponseOptions, Failure]:
    """Decode the options of a response."""
    return _decode(payload).map(_response_of)


def rewrite_header(
    payload: bytes, token: bytes, mid: int, kind: Type | None = None
) -> bytes:
    """Return the message with a different token, id and type, otherwise unchanged."""
    old = payload[0] & 0x0F
    kind_bits = payload[0] & 0x30 if kind is None else kind << 4
    first = VERSION << 6 | kind_bits | len(token)
    head = bytes((first, payload[1])) + mid.to_bytes(2)
    return head + token + payload[HEADER_BYTES + old :]


def empty_message(kind: Type, mid: int) -> bytes:
    """Build an empty ACK or RST (RFC 7252, section 4.2) for a message id."""
    return bytes((VERSION << 6 | kind << 4, Code.EMPTY)) + mid.to_bytes(2)


def refusal(
    req: Header,
    kind: ErrorKind,
    text: str,
    max_age_s: int = 0,
    separate_mid: int | None = None,
) -> bytes:
    """Build the response that refuses a request, with the time to retry.

    A confirmable request gets a response piggybacked on its ACK. Any other
    request, or one that was acknowledged before, gets a non-confirmable message
    with the id ``separate_mid``::

        refusal(req, ErrorKind.NOT_RUN, "not run; come back in 3 s", 3)
    """
    piggybacked = req.type == Type.CON and separate_mid is None
    msg = Message(
        code=Code(ERROR_CODES[kind].coap_code),
        payload=text.encode(),
        _mtype=Type.ACK if piggybacked else Type.NON,
        _mid=req.mid if piggybacked else separate_mid or 0,
        _token=req.token,
    )
    if max_age_s:
        msg.opt.max_age = max_age_s
    return msg.encode()


def _decode(payload):
    try:
        return Success(Message.decode(payload))
    except (UnparsableMessage, ValueError, IndexError) as exc:
        return _bad_input(f"cannot decode CoAP options: {exc}")


def _request_of(msg):
    blocks = [blk for blk in (msg.opt.block1, msg.opt.block2) if blk is not None]
    names = (*msg.opt.uri_path, "?", *msg.opt.uri_query)
    digest = blake2b(digest_size=PATH_DIGEST_BYTES)
    digest.update(bytes((msg.code,)))
    digest.update("/".join(names).encode())
    for tag in msg.opt.request_tag:
        digest.update(tag)
    return RequestOptions(
        observe=msg.opt.observe,
        block=max((blk.block_number for blk in blocks), default=0),
        path_digest=digest.digest(),
    )


def _response_of(msg):
    max_age_s = msg.opt.max_age
    return ResponseOptions(
        observe=msg.opt.observe,
        max_age_s=max_age_s,
        shed=msg.code in SHED_CODES and max_age_s is not None,
    )


def _bad_input(message):
    return Err(Failure(ErrorKind.BAD_INPUT, message))
