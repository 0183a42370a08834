"""Selection of a target for a new flow.

Targets in the entry's own failure domain are preferred: such a flow survives
network partitions between domains and causes no cross-domain traffic. A flow
goes to another domain only if its own has no usable target, or if the load there
outweighs the cost of crossing domains. This handles domains that are
unreachable, evacuated or short of targets, and bursts beyond the capacity of a
domain.
"""

from __future__ import annotations

from collections.abc import Iterable

from .failure_detector import PROBE_INTERVAL_S, may_probe
from .routes import ServiceLimits
from .targets import LiveTarget, TargetTable
from .warmup import Warmup

# After the list was unreachable, missing targets have this long to reappear; the
# platform lists live ones again within two seconds.
RELIST_GRACE_S = 2.3

# A target that was unlisted without draining stays in use if it answered within
# this time: its lease may have expired because of a fault of the platform.
RECENT_ANSWER_S = 1.0

# Load difference, in flows per slot, at which crossing domains pays off. It is
# high because long-lived flows are idle most of the time.
OTHER_DOMAIN_PENALTY_FLOWS = 40.0

# Number of targets compared for a new flow in a domain that has more.
MAX_COMPARED_TARGETS = 32

# A request in progress is actual load, an open flow only potential load.
WAITING_WEIGHT = 2.0


class Placement:
    """Chooses targets for one entry of ``domain``."""

    def __init__(self, domain: str, warmup: Warmup):
        self._domain = domain
        self._warmup = warmup
        self._picks = 0
        self.evacuated: frozenset[str] = frozenset()
        self.kept_evacuated: frozenset[str] = frozenset()
        self._evacuated_kept_until = float("-inf")
        self.relisting_since = -RELIST_GRACE_S

    def pick(
        self, targets: TargetTable, service: str, limits: ServiceLimits, now: float
    ) -> LiveTarget | None:
        """Return the target for a new flow, or None if none can take it."""
        local = targets.of_domain(service, self._domain)
        chosen = self._pick_local(local, limits, now)
        if chosen is None:
            chosen = self._pick_any(targets.of_service(service), limits, now)
        if chosen is None:
            return None
        if chosen.is_cold(now):
            self._warmup.note_flow(chosen, limits.cold_flows_per_s, now)
        if chosen.suspected:
            chosen.next_probe_at = now + PROBE_INTERVAL_S
        self._picks += 1
        chosen.last_picked = self._picks
        return chosen

    def _pick_local(
        self, local: tuple[LiveTarget, ...], limits: ServiceLimits, now: float
    ) -> LiveTarget | None:
        """Return the best target of the own domain, or None if another may be better.

        In a large domain only a rotating window of targets is compared: the least
        loaded of a few dozen is about as good as the least loaded of all.
        """
        if len(local) > MAX_COMPARED_TARGETS:
            start = self._picks * MAX_COMPARED_TARGETS % len(local)
            local = local[start : start + MAX_COMPARED_TARGETS]
        eligible = self._eligible(local, limits, now)
        usable = [t for t in eligible if self._is_usable(t, limits, now)]
        if not usable:
            return None
        chosen = min(usable, key=self._cost)
        load, _ = self._cost(chosen)
        return chosen if load < OTHER_DOMAIN_PENALTY_FLOWS else None

    def _pick_any(
        self, targets: Iterable[LiveTarget], limits: ServiceLimits, now: float
    ) -> LiveTarget | None:
        eligible = self._eligible(targets, limits, now)
        usable = [t for t in eligible if self._is_usable(t, limits, now)]
        # If all are suspected, this entry's own link may be at fault: try one.
        usable = usable or [target for target in eligible if target.suspected]
        return min(usable, key=self._cost, default=None)

    def is_present(self, target: LiveTarget, now: float) -> bool:
        """Return whether a target is presumed available."""
        if target.listed:
            return True
        if target.draining or now - target.unlisted_at > RELIST_GRACE_S:
            return False
        if self.is_relisting(now):
            return not target.suspected
        return now - target.last_answer_at < RECENT_ANSWER_S

    def is_gone(self, target: LiveTarget, now: float) -> bool:
        """Return whether a target has ended, so that its open flows are lost.

        Leases may also expire because of faults of the platform; a target that
        has answered since it was unlisted is alive.
        """
        if target.listed or self.is_relisting(now):
            return False
        return target.last_answer_at < target.unlisted_at

    def is_evacuated(self, domain: str, now: float) -> bool:
        """Return whether a domain gets no new flows."""
        is_kept = now < self._evacuated_kept_until
        return domain in (self.kept_evacuated if is_kept else self.evacuated)

    def keep_evacuated(self, now: float) -> None:
        """Keep the domains evacuated that are so now, whatever a list says.

        This lasts for `RELIST_GRACE_S`; single changes apply at once.
        """
        if now >= self._evacuated_kept_until:
            self.kept_evacuated = self.evacuated
        self._evacuated_kept_until = now + RELIST_GRACE_S

    def is_relisting(self, now: float) -> bool:
        """Return whether the list was unreachable until recently."""
        return now - self.relisting_since < RELIST_GRACE_S

    def _eligible(
        self, targets: Iterable[LiveTarget], limits: ServiceLimits, now: float
    ) -> list[LiveTarget]:
        return [
            target
            for target in targets
            if target.flows < limits.max_flows and self._is_eligible(target, now)
        ]

    def _is_eligible(self, target: LiveTarget, now: float) -> bool:
        if target.draining or self.is_evacuated(target.domain, now):
            return False
        return self.is_present(target, now)

    def _is_usable(self, target: LiveTarget, limits: ServiceLimits, now: float) -> bool:
        if target.is_cold(now):
            per_s = limits.cold_flows_per_s
            if not self._warmup.admits(target, per_s, now):
                return False
        return not target.suspected or may_probe(target, now)

    def _cost(self, target: LiveTarget):
        load = (target.flows + WAITING_WEIGHT * target.waiting) / target.slots
        if target.domain != self._domain:
            load += OTHER_DOMAIN_PENALTY_FLOWS
        return load, target.last_picked
