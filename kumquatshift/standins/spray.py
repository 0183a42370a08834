"""Per-packet spraying by the fabric: each packet goes to a random ready entry."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..engine.ports import Randomness
from ..settings.standins import FabricStandinSection

REORDER_DELAY_S = 0.02


@dataclass(frozen=True)
class Faults:
    """Probabilities that a packet is lost, delayed or duplicated, each in [0, 1]."""

    loss: float = 0.0
    reorder: float = 0.0
    duplicate: float = 0.0

    @classmethod
    def from_config(cls, cfg: FabricStandinSection):
        """Return the faults configured in the settings."""
        return cls(cfg.loss, cfg.reorder, cfg.duplicate)


class PacketSprayer:
    """Sends each packet to a random ready entry.

    ``send`` is called with the host of the entry and the packet; ``clock`` schedules
    packets that are delayed to cause reordering. ``counters`` counts the outcomes.
    """

    def __init__(
        self,
        entries: Mapping[str, str],
        faults: Faults,
        rng: Randomness,
        clock,
        send: Callable[[str, bytes], None],
    ):
        self.entries = dict(entries)
        self.faults = faults
        self.rng = rng
        self.clock = clock
        self.send = send
        self.ready: tuple[str, ...] = ()
        self.counters = Counter()

    def set_ready(self, name, is_ready):
        """Set whether the entry ``name`` receives packets."""
        others = [entry for entry in self.ready if entry != name]
        self.ready = tuple(sorted([*others, name] if is_ready else others))

    def forward(self, direction, packet):
        """Forward one packet of ``direction``, with faults injected."""
        self.counters[f"{direction}.received"] += 1
        if self.rng.random() < self.faults.loss:
            self.counters[f"{direction}.lost"] += 1
            return
        copies = 1
        if self.rng.random() < self.faults.duplicate:
            self.counters[f"{direction}.duplicated"] += 1
            copies = 2
        for _ in range(copies):
            self._send_one(direction, packet)

    def _send_one(self, direction, packet):
        if self.rng.random() < self.faults.reorder:
            self.counters[f"{direction}.delayed"] += 1
            delay = REORDER_DELAY_S * self.rng.random()
            self.clock.callLater(delay, self._send_now, direction, packet)
            return
        self._send_now(direction, packet)

    def _send_now(self, direction, packet):
        if not self.ready:
            self.counters[f"{direction}.no-ready-entry"] += 1
            return
        name = self.ready[self.rng.randrange(len(self.ready))]
        self.counters[f"{direction}.sent.{name}"] += 1
        self.send(self.entries[name], packet)
