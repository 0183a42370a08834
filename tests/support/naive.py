"""The naive version: hash each flow over the target list, keep an own table."""

import xxhash

from kumquatshift.engine.actions import SendCaller, SendTarget
from kumquatshift.engine.choice import admitted
from kumquatshift.engine.entry import EntryEngine
from kumquatshift.engine.packets import check, destination, flow_key


class NaiveEngine(EntryEngine):
    """An entry that asks no other one: only its packet decisions differ."""

    def __init__(self, *args):
        super().__init__(*args)
        self._table = {}

    def packet(self, data):
        assert check(data) is None
        view = self.node.store.by_address.get(destination(data))
        if view is None:
            return [SendCaller(data)]
        key = flow_key(data)
        name = self._table.get(key)
        target = view.targets.get(name)
        if target is None:
            target = self._hashed(view, key)
            self._table[key] = target.name
        return [SendTarget(target.host, target.port, data)]

    def _hashed(self, view, key):
        targets = sorted(admitted(view), key=lambda target: target.name)
        return targets[xxhash.xxh32_intdigest(key) % len(targets)]
