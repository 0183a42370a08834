"""Reads the replies of the platform's object API."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from returns import result
from returns.pipeline import is_successful
from returns.result import Result

from .. import tolerant_json
from ..codec import object_from_json
from ..engine.objects import Kind, Versioned
from ..eras import ordered
from ..errors import ErrorKind, Failure
from ..logs import Part, logger_for
from ..platform_port import Conflict, Listing, Vm, VmState

# Rises by one each time that the platform comes back from an older copy.
ERA_HEADER = "store-era"

log = logger_for(Part.PLATFORM)


@dataclass(frozen=True)
class Reply:
    """The status code, the JSON value and the platform's era of one reply."""

    code: int
    value: object
    era: int = 0


def era_of(response) -> int:
    """Return the platform's era from the headers of an answer; 0 without one."""
    value = response.headers.getRawHeaders(ERA_HEADER, ["0"])[0]
    if not value.isdigit():
        log.warning("Ignored an invalid era of the platform: {!r}.", value)
        return 0
    return int(value)


def parse(data: bytes) -> object:
    """Return the JSON value of a reply, None if it is not JSON.

    Objects in it that cannot be read are found invalid when they are decoded.
    """
    try:
        return tolerant_json.loads(data)[0]
    except ValueError:
        return None


def _unexpected_reply(reply):
    why = reply.value.get("error", "") if isinstance(reply.value, dict) else ""
    kind = ErrorKind.BAD_INPUT if reply.code == 400 else ErrorKind.UNAVAILABLE
    return Failure(
        kind, f"the platform answered {reply.code} {why}".strip(), "try again later"
    )


def decode_object(value: object, era: int) -> Result[Versioned, Failure]:
    """Decode an object of an era; its versions stay in order over all eras.

    It keeps the era of its creation, since flows belong to one creation of a service.
    """
    return object_from_json(value).map(
        lambda obj: replace(
            obj,
            version=ordered(era, obj.version),
            created=ordered(_era_of_creation(value), obj.created),
        )
    )


def _era_of_creation(value: Mapping) -> int:
    era = value.get("created_era", 0)
    return era if isinstance(era, int) and era >= 0 else 0


def decode_or_skip(value: object, era: int) -> Versioned | None:
    """Return an object; log a warning and return None if it is invalid."""
    obj = decode_object(value, era)
    if is_successful(obj):
        return obj.unwrap()
    log.warning("Skipped an invalid object: {}.", obj.failure().message)
    return None


def read_listing(reply: Reply) -> Result[Listing, Failure]:
    """Return the listed objects; invalid ones are skipped."""
    value = reply.value
    if reply.code != 200 or not isinstance(value, dict):
        return result.Failure(_unexpected_reply(reply))
    items, skipped = [], []
    for item in value.get("items", []):
        obj = decode_or_skip(item, reply.era)
        if obj is not None:
            items.append(obj)
        elif isinstance(item, dict):
            skipped.append((str(item.get("kind")), str(item.get("name"))))
    version = ordered(reply.era, value["version"])
    return result.Success(Listing(version, tuple(items), tuple(skipped)))


def read_object(reply: Reply, kind: Kind, name: str) -> Result[Versioned, Failure]:
    """Return one object, or its tombstone from a 404 reply."""
    if reply.code == 200:
        return decode_object(reply.value, reply.era).alt(_unreadable)
    if reply.code == 404:
        return _tombstone_or_not_found(reply, kind, name)
    return result.Failure(_unexpected_reply(reply))


def _tombstone_or_not_found(reply, kind, name):
    obj = decode_object(reply.value, reply.era)
    if is_successful(obj):
        return obj
    text = f"{kind}/{name} does not exist"
    return result.Failure(
        Failure(ErrorKind.NOT_FOUND, text, f"see: kumquat-ctl {kind} list")
    )


def read_written(
    reply: Reply, kind: Kind, name: str, version: int
) -> Result[Versioned, Failure]:
    """Return the written object, a `Conflict`, or OUTCOME_UNKNOWN.

    Only a status from 400 to 499 proves that nothing was written.
    """
    if reply.code in (404, 409):
        return result.Failure(_conflict(reply, kind, name, version))
    if 400 <= reply.code < 500:
        return result.Failure(_unexpected_reply(reply))
    written = decode_object(reply.value, reply.era)
    if reply.code == 200 and is_successful(written):
        return written
    text = f"the platform answered the write with {reply.code}: outcome unknown"
    return result.Failure(Failure(ErrorKind.OUTCOME_UNKNOWN, text))


def _conflict(reply, kind, name, version):
    obj = decode_object(reply.value, reply.era)
    current = obj.unwrap() if is_successful(obj) else None
    live = current is not None and current.body is not None
    found = f"version {current.version}" if live else "nothing"
    text = f"{kind}/{name}: expected version {version}, but found {found}"
    remedy = f"show it with: kumquat-ctl {kind} show {name}"
    return Conflict(ErrorKind.CONFLICT, text, remedy, current)


def read_vms(reply: Reply) -> Result[tuple[Vm, ...], Failure]:
    """Return the listed VMs; invalid ones are skipped."""
    value = reply.value
    if reply.code != 200 or not isinstance(value, dict):
        return result.Failure(_unexpected_reply(reply))
    vms = [_vm(item) for item in value.get("items", [])]
    return result.Success(tuple(vm for vm in vms if vm is not None))


def _vm(item):
    try:
        state = VmState(item["state"])
        return Vm(item["name"], item["domain"], item["role"], item["address"], state)
    except (KeyError, TypeError, ValueError) as exc:
        log.warning("Skipped an invalid VM of the list: {!r}.", exc)
        return None


def _unreadable(failure):
    text = f"cannot read the platform's object: {failure.message}"
    return Failure(
        ErrorKind.UNAVAILABLE, text, "check whether kumquat-ctl is too old for it"
    )
