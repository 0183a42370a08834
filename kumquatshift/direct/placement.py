"""Selection of a target for a new flow.

Targets in the entry's own failure domain are preferred: such a flow survives
network partitions between domains and causes no cross-domain traffic. A flow
goes to another domain only if its own has no usable target, or if those there have
as many requests in progress as they can answer in time (see `admission`). This
handles domains that are unreachable, evacuated or short of targets, and bursts
beyond the capacity of a domain. A flow that no domain admits is refused at once.
"""

from __future__ import annotations

from collections.abc import Iterable

from .admission import Admission, Demand
from .failure_detector import PROBE_INTERVAL_S, may_probe
from .packets import Reason
from .routes import ServiceLimits
from .targets import LiveTarget, TargetTable
from .warmup import Warmup

# After the list was unreachable, missing targets have this long to reappear; the
# platform lists live ones again within two seconds.
RELIST_GRACE_S = 2.3

# A target that was unlisted without draining stays in use if it answered within
# this time: its lease may have expired because of a fault of the platform.
RECENT_ANSWER_S = 1.0

# Number of targets compared for a new flow in a domain that has more.
MAX_COMPARED_TARGETS = 32


class Placement:
    """Chooses targets for one entry of ``domain``."""

    def __init__(self, domain: str, warmup: Warmup):
        self._domain = domain
        self._warmup = warmup
        self._picks = 0
        self.admission = Admission()
        self.evacuated: frozenset[str] = frozenset()
        self.kept_evacuated: frozenset[str] = frozenset()
        self._evacuated_kept_until = float("-inf")
        self.relisting_since = -RELIST_GRACE_S

    def pick(
        self,
        targets: TargetTable,
        service: str,
        limits: ServiceLimits,
        demand: Demand,
        now: float,
    ) -> LiveTarget | Reason:
        """Return the target for a new flow, or why none can take it."""
        chosen = self._pick_admitted(targets, service, limits, demand, now)
        if chosen is None:
            chosen = self._pick_suspected(targets.of_service(service), limits, now)
        if isinstance(chosen, Reason):
            return chosen
        if chosen.is_cold(now):
            self._warmup.note_flow(chosen, limits.cold_flows_per_s, now)
        if chosen.suspected:
            chosen.next_probe_at = now + PROBE_INTERVAL_S
        self._picks += 1
        chosen.last_picked = self._picks
        return chosen

    def note_answer(self, target: LiveTarget, ratio: float, now: float) -> None:
        """Record an answer, ``ratio`` times its latency objective after the request."""
        self.admission.limit(target.service, target.domain).note_answer(ratio, now)

    def _pick_admitted(
        self,
        targets: TargetTable,
        service: str,
        limits: ServiceLimits,
        demand: Demand,
        now: float,
    ) -> LiveTarget | Reason | None:
        """Return the best target of the best pool that admits the flow.

        That is the pool of the own domain, or else the one that is used the least.
        Without any usable target this returns None.
        """
        own = self._usable(targets.of_domain(service, self._domain), limits, now)
        if own and self._used_share(own, demand) is not None:
            return min(own, key=_cost)
        found = Reason.OVERLOADED if own else None
        least_used = float("inf")
        for domain in targets.domains(service):
            if domain == self._domain:
                continue
            usable = self._usable(targets.of_domain(service, domain), limits, now)
            if not usable:
                continue
            used = self._used_share(usable, demand.elsewhere())
            if used is not None and used < least_used:
                found, least_used = min(usable, key=_cost), used
            elif found is None:
                found = Reason.OVERLOADED
        return found

    def _used_share(self, pool: list[LiveTarget], demand: Demand) -> float | None:
        """Return the used share of a pool's limit, or None if it admits no more."""
        limit = self.admission.limit(pool[0].service, pool[0].domain)
        in_progress = sum(target.busy for target in pool)
        slots = sum(target.slots for target in pool)
        if not limit.admits(in_progress, slots, demand):
            return None
        return in_progress / slots / limit.limit

    def _pick_suspected(
        self, targets: Iterable[LiveTarget], limits: ServiceLimits, now: float
    ) -> LiveTarget | Reason:
        """Return a suspected target: this entry's own link may be at fault."""
        suspected = [t for t in self._eligible(targets, limits, now) if t.suspected]
        return min(suspected, key=_cost, default=Reason.NO_TARGET)

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

    def _usable(
        self, targets: tuple[LiveTarget, ...], limits: ServiceLimits, now: float
    ) -> list[LiveTarget]:
        """Return usable targets of a pool, from a rotating window if it is large.

        The least loaded of a few dozen is about as good as the least loaded of all.
        """
        if len(targets) > MAX_COMPARED_TARGETS:
            start = self._picks * MAX_COMPARED_TARGETS % len(targets)
            targets = targets[start : start + MAX_COMPARED_TARGETS]
        eligible = self._eligible(targets, limits, now)
        return [t for t in eligible if self._is_usable(t, limits, now)]

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


def _cost(target: LiveTarget) -> tuple[float, float, int]:
    """Order targets by actual load, then by the potential load of idle flows."""
    return (
        target.busy / target.slots,
        target.flows / target.slots,
        target.last_picked,
    )
