"""Active routes: which service handles flows to a destination."""

from __future__ import annotations

from typing import NamedTuple

import xxhash

# Latency objective of routes that do not state one.
DEFAULT_OBJECTIVE_S = 1.0


class Share(NamedTuple):
    """A service and its weight in a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Assigns new flows to ``destination``, an address and port, to services.

    ``priority`` 0 is the most urgent. Answers are expected within
    ``objective_s`` of a request.
    """

    name: str
    destination: bytes
    shares: tuple[Share, ...]
    priority: int = 0
    objective_s: float = DEFAULT_OBJECTIVE_S


class ServiceLimits(NamedTuple):
    """Load limits of a service's targets.

    A cold target takes ``cold_flows_per_s`` new flows per second, and each target
    has at most ``max_flows`` flows at a time.
    """

    service: str
    cold_flows_per_s: float
    max_flows: int


NO_LIMITS = ServiceLimits("", 0.0, 1 << 31)


class Configuration(NamedTuple):
    """A complete configuration; ``version`` increases with each change."""

    version: int
    routes: tuple[Route, ...]
    idle_timeout_s: float
    limits: tuple[ServiceLimits, ...] = ()


class RouteTable:
    """The active configuration; an older version never replaces a newer one.

    If the store lost a version before it was confirmed, operators may give out its
    number again: of two with the same number the later one counts.
    """

    def __init__(self):
        self.version = -1
        self._active: Configuration | None = None
        self.idle_timeout_s = 60.0
        self._routes: dict[bytes, Route] = {}
        self._limits: dict[str, ServiceLimits] = {}
        # The most urgent and the least urgent priority of all routes.
        self.priority_range = (0, 0)

    def __len__(self) -> int:
        return len(self._routes)

    def put(self, cfg: Configuration) -> bool:
        """Activate a configuration; return False if it is older or the same."""
        if cfg.version < self.version or cfg == self._active:
            return False
        self._active = cfg
        self.version = cfg.version
        self.idle_timeout_s = cfg.idle_timeout_s
        self._routes = {route.destination: route for route in cfg.routes}
        self._limits = {limits.service: limits for limits in cfg.limits}
        priorities = [route.priority for route in cfg.routes]
        if priorities:
            self.priority_range = min(priorities), max(priorities)
        return True

    def destinations(self) -> set[bytes]:
        """Return the addresses and ports that are routed."""
        return set(self._routes)

    def get(self, destination: bytes) -> Route | None:
        """Return the route of an address and port, or None."""
        return self._routes.get(destination)

    def limits(self, service: str) -> ServiceLimits:
        """Return the limits of a service's targets, `NO_LIMITS` if unknown."""
        return self._limits.get(service, NO_LIMITS)


def service_for_flow(route: Route, flow: bytes) -> str:
    """Return the service for a new flow, chosen by the weights of its route.

    The choice depends only on the flow and the route, so all entries agree::

        service = service_for_flow(route, packet.flow)
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
