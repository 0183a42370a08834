"""Store the configuration in force: the highest known version of each object.

Objects may arrive from the platform or from peers, in any order and repeatedly.
Merging keeps the highest version, so an object never reverts to an older one.
Deleted objects are kept as tombstones. Two stores with the same versions have the
same digest; bucket digests show in which buckets two stores differ.
"""

import ipaddress
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from .objects import (
    Domain,
    DomainState,
    Kind,
    Mode,
    Profile,
    Protocol,
    Service,
    Target,
    Versioned,
)
from .packets import PROTOCOL_TCP, PROTOCOL_UDP

DIGEST_BUCKETS = 64

_PROTOCOL_NUMBERS = {Protocol.UDP: PROTOCOL_UDP, Protocol.TCP: PROTOCOL_TCP}


@dataclass(slots=True)
class ServiceView:
    """A service in force, with its profile and its targets by name."""

    service: Service
    created: int
    profile: Profile
    targets: dict[str, Target] = field(default_factory=dict)
    takes_requests: bool = field(init=False)

    def __post_init__(self):
        self.takes_requests = self.profile.mode is Mode.REQUEST


class ConfigStore:
    """All configuration objects known to one entry."""

    def __init__(self):
        self.digest = 0
        self.domains: dict[str, Domain] = {}
        self._domains_out: frozenset[str] = frozenset()
        self.targets: dict[str, Target] = {}
        self.by_address: dict[bytes, ServiceView] = {}
        self.by_name: dict[str, ServiceView] = {}
        self._objects: dict[tuple[Kind, str], Versioned] = {}
        self._bucket_digests = [0] * DIGEST_BUCKETS

    def merge(self, objects: Iterable[Versioned]) -> list[Versioned]:
        """Merge objects; return those that are new or newer than the stored ones."""
        changed = [obj for obj in objects if self._put(obj)]
        if changed:
            self._rebuild()
        return changed

    def get(self, kind: Kind, name: str) -> Versioned | None:
        """Return an object, which may be a tombstone, or None."""
        return self._objects.get((kind, name))

    def objects(self) -> list[Versioned]:
        """Return all objects, including tombstones."""
        return list(self._objects.values())

    def versions(self) -> dict[str, int]:
        """Return the version of every object by ``kind/name``."""
        return {f"{k}/{name}": obj.version for (k, name), obj in self._objects.items()}

    def bucket_digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket of object names."""
        return tuple(self._bucket_digests)

    def differing(self, digests: tuple[int, ...]) -> list[Versioned]:
        """Return the objects in the buckets whose digest differs from ``digests``."""
        return [
            obj
            for obj in self._objects.values()
            if digests[_bucket(obj)] != self._bucket_digests[_bucket(obj)]
        ]

    def domain_in_service(self, name: str) -> bool:
        """Return whether a failure domain is in service; unknown ones count as such."""
        return name not in self._domains_out

    def _put(self, obj):
        key = (obj.kind, obj.name)
        old = self._objects.get(key)
        if old is not None and old.version >= obj.version:
            return False
        if old is not None:
            self._toggle(old)
        self._toggle(obj)
        self._objects[key] = obj
        return True

    def _toggle(self, obj):
        text = f"{obj.kind}/{obj.name}/{obj.version}".encode()
        value = xxhash.xxh3_64_intdigest(text)
        self.digest ^= value
        self._bucket_digests[_bucket(obj)] ^= value

    def _rebuild(self):
        live = [obj for obj in self._objects.values() if obj.body is not None]
        bodies = {kind: {} for kind in Kind}
        for obj in live:
            bodies[obj.kind][obj.name] = obj
        self.domains = {n: o.body for n, o in bodies[Kind.DOMAIN].items()}
        self._domains_out = frozenset(
            name
            for name, domain in self.domains.items()
            if domain.state is DomainState.OUT
        )
        self.targets = _targets_by_name(bodies[Kind.TARGET].values())
        self.by_name = {
            name: _service_view(obj, bodies[Kind.PROFILE])
            for name, obj in sorted(bodies[Kind.SERVICE].items(), key=_creation_order)
        }
        self.by_address = {
            service_address(view.service): view for view in self.by_name.values()
        }
        for name, target in self.targets.items():
            if target.service in self.by_name:
                self.by_name[target.service].targets[name] = target


def service_address(service: Service) -> bytes:
    """Return address, port and protocol as `packets.destination` gives them."""
    address = ipaddress.IPv4Address(service.address).packed
    protocol = _PROTOCOL_NUMBERS[service.protocol]
    return address + service.port.to_bytes(2, "big") + bytes([protocol])


def _creation_order(item):
    _name, obj = item
    return obj.created, obj.version


def _targets_by_name(objects):
    """Return the targets by name; of several at one host and port, only the newest.

    When an address is reused, the new target may arrive before the deletion of the
    old one, and packets of the old target's service must not reach the new target.
    The same applies to services at one address.
    """
    owners = {}
    for obj in sorted(objects, key=lambda obj: (obj.created, obj.version)):
        owners[obj.body.host, obj.body.port] = obj.body
    return {target.name: target for target in owners.values()}


def _service_view(obj, profiles):
    profile = profiles.get(obj.body.profile)
    body = profile.body if profile is not None else Profile(obj.body.profile)
    return ServiceView(obj.body, obj.created, body)


def _bucket(obj):
    return xxhash.xxh32_intdigest(f"{obj.kind}/{obj.name}".encode()) % DIGEST_BUCKETS
