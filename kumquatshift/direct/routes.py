"""Routes in force: which service takes the flows to an address and port."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash


@dataclass(frozen=True, slots=True)
class Share:
    """A service, and its weight among those of one route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where new flows to ``place``, an address and port, are sent.

    ``priority`` 0 is the most urgent.
    """

    name: str
    place: bytes
    shares: tuple[Share, ...]
    priority: int = 0


@dataclass(frozen=True, slots=True)
class ServiceWarmth:
    """What a cold target of a service bears, in new flows a second."""

    service: str
    flows_per_s: float


@dataclass(frozen=True, slots=True)
class Configuration:
    """One whole configuration; ``version`` grows with each change."""

    version: int
    routes: tuple[Route, ...]
    idle_timeout_s: float
    warmth: tuple[ServiceWarmth, ...] = ()


class RouteTable:
    """The configuration in force; an older version never replaces a newer one."""

    def __init__(self):
        self.version = -1
        self.idle_timeout_s = 60.0
        self._routes: dict[bytes, Route] = {}
        self._cold_flows_per_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._routes)

    def put(self, cfg: Configuration) -> bool:
        """Put a configuration in force; False if it is not newer."""
        if cfg.version <= self.version:
            return False
        self.version = cfg.version
        self.idle_timeout_s = cfg.idle_timeout_s
        self._routes = {route.place: route for route in cfg.routes}
        self._cold_flows_per_s = {w.service: w.flows_per_s for w in cfg.warmth}
        return True

    def get(self, place: bytes) -> Route | None:
        """Return the route of an address and port, or None."""
        return self._routes.get(place)

    def cold_flows_per_s(self, service: str) -> float:
        """Return what a cold target of the service bears; 0 if it was not told."""
        return self._cold_flows_per_s.get(service, 0.0)


def share_of(route: Route, flow: bytes) -> str:
    """Return the service of a new flow, by the weights of its route.

    It depends on the flow and the route alone, so that all entries agree::

        service = share_of(route, packet.flow)
    """
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    total = sum(share.weight for share in shares)
    point = xxhash.xxh32_intdigest(flow) / 2**32 * total
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return shares[-1].service
