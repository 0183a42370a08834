"""One request policy without peers, driven directly by a test."""

import random

from kumquatshift.engine.objects import Mode, Profile, Target
from kumquatshift.engine.requests import RequestPolicy
from kumquatshift.engine.slots import SlotPool
from kumquatshift.measures.coap_packets import flow_of


class FakeFlowAuthority:
    """Flow authority whose answers are set by the test for all flows."""

    primary = quorum = True

    def is_primary(self, flow):
        return self.primary

    def has_quorum(self, flow):
        return self.quorum


class SinglePolicy:
    """A request policy with a manual clock and the flow of a default caller."""

    def __init__(self, targets=4, slots=2, warm=True, seed=1, **profile):
        self.now = 100.0
        self.authority = FakeFlowAuthority()
        self.flow = flow_of()
        profiles = {"s": Profile("p", mode=Mode.REQUEST, **profile)}
        members = [
            Target(f"t{i}", "s", "north", f"127.0.2.{i}", 6080, slots)
            for i in range(1, targets + 1)
        ]
        self.pool = SlotPool.from_config(profiles, members, self.now)
        if warm:
            for limiter in self.pool.hosts.values():
                limiter.limit = limiter.ceiling
        self.policy = RequestPolicy.from_config(
            profiles, self.pool, self.authority, random.Random(seed)
        )

    def request(self, packet, flow=None):
        return self.policy.request("s", flow or self.flow, packet, self.now)

    def response(self, packet, flow=None):
        return self.policy.response(flow or self.flow, packet, self.now)

    def tick(self, seconds=0.0):
        self.now += seconds
        return self.policy.tick(self.now)
