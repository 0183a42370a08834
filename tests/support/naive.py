"""Naive baseline: hash new flows over the target list, keep a local flow table."""

import xxhash

from kumquatshift.engine.actions import SendCaller, SendTarget
from kumquatshift.engine.choice import admitted
from kumquatshift.engine.entry import EntryEngine
from kumquatshift.engine.packets import check, destination, flow_key


class NaiveEngine(EntryEngine):
    """Entry engine that selects targets without its peers.

    Only its packet decisions differ from those of `EntryEngine`.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self._targets_by_flow = {}

    def packet(self, data):
        assert check(data) is None
        view = self.node.store.by_address.get(destination(data))
        if view is None:
            return [SendCaller(data)]
        key = flow_key(data)
        name = self._targets_by_flow.get(key)
        target = view.targets.get(name)
        if target is None:
            target = self._select_target(view, key)
            self._targets_by_flow[key] = target.name
        return [SendTarget(target.host, target.port, data)]

    def _select_target(self, view, key):
        targets = sorted(admitted(view), key=lambda target: target.name)
        return targets[xxhash.xxh32_intdigest(key) % len(targets)]
