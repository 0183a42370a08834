"""Choose a target for a new flow.

The cost of a target depends on its recent rate of new flows, so that warm targets
get equal work; on the flows that it already holds, within limits, so that a lasting
imbalance evens out; and on a share that grows while the target warms up.
"""

import math

import xxhash

from .objects import Target, TargetState
from .store import ServiceView

WARM_UP_S = 20.0
INITIAL_SHARE = 0.1
OPENINGS_HALF_LIFE_S = 10.0
MAX_HELD_FACTOR = 2.0


class TargetChooser:
    """Chooses targets for new flows and tracks the rate of its choices."""

    def __init__(self):
        self._openings: dict[str, tuple[float, float]] = {}
        self._first_seen: dict[str, float] = {}

    def update_targets(
        self, targets: dict[str, Target], now: float, warm: bool
    ) -> None:
        """Update the set of targets; with ``warm``, new ones skip the warm-up."""
        for name in targets:
            seen = now - WARM_UP_S if warm else now
            self._first_seen.setdefault(name, seen)
        for name in self._first_seen.keys() - targets.keys():
            del self._first_seen[name]
            self._openings.pop(name, None)

    def restart_warm_up(
        self, domain: str, targets: dict[str, Target], now: float
    ) -> None:
        """Restart the warm-up of a domain's targets after it returned to service."""
        for name, target in targets.items():
            if target.domain == domain:
                self._first_seen[name] = now

    def pick(
        self,
        view: ServiceView,
        usable: list[Target],
        held: dict[str, int],
        key: bytes,
        now: float,
    ) -> Target | None:
        """Return the target for a new flow, or None if none can take it."""
        if not usable:
            return None
        mean = None
        # Ignore held flows while any target warms up. Otherwise a cold target would
        # be preferred for holding few flows.
        if all(self.share(target.name, now) >= 1 for target in usable):
            mean = sum(held.get(target.name, 0) for target in usable) / len(usable)
        chosen = min(usable, key=lambda t: self._cost(t, held, mean, key, now))
        self._openings[chosen.name] = (self._recent_openings(chosen.name, now) + 1, now)
        return chosen

    def share(self, name: str, now: float) -> float:
        """Return the fraction of a full share that a target takes, from 0.1 to 1."""
        age_s = now - self._first_seen.get(name, now)
        return min(1.0, INITIAL_SHARE + (1 - INITIAL_SHARE) * age_s / WARM_UP_S)

    def _cost(self, target, held, mean, key, now):
        factor = 1.0
        if mean is not None:
            factor = (held.get(target.name, 0) + 1) / (mean + 1)
            factor = min(MAX_HELD_FACTOR, max(1 / MAX_HELD_FACTOR, factor))
        opened = self._recent_openings(target.name, now) + 1
        cost = opened * factor / self.share(target.name, now)
        return cost, xxhash.xxh32_intdigest(key + target.name.encode())

    def _recent_openings(self, name, now):
        count, when = self._openings.get(name, (0.0, now))
        return count * math.exp2((when - now) / OPENINGS_HALF_LIFE_S)


def admitted(view: ServiceView) -> list[Target]:
    """Return the targets of a service that accept new work."""
    return [t for t in view.targets.values() if t.state is TargetState.ADMITTED]
