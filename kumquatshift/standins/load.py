"""Load report of a target, optionally delayed and scaled to be misleading."""

from collections import deque
from dataclasses import dataclass

from twisted.internet.task import LoopingCall

from ..settings.standins import TargetStandinSection

SAMPLE_PERIOD_S = 0.25


@dataclass(frozen=True)
class LoadSettings:
    """``load_lag_s`` is the age of the reported load; ``load_factor`` scales it."""

    load_lag_s: float = 0.0
    load_factor: float = 1.0

    @classmethod
    def from_config(cls, cfg: TargetStandinSection):
        """Return the load report settings of a target."""
        return cls(cfg.load_lag_s, cfg.load_factor)


class LoadReport:
    """Samples the load of a target, and reports it with the configured lag."""

    def __init__(self, settings: LoadSettings, capacity, clock):
        self.settings = settings
        self.capacity = capacity
        sample_count = 1 + round(settings.load_lag_s / SAMPLE_PERIOD_S)
        self.samples = deque([0], maxlen=sample_count)
        self.loop = LoopingCall(self.sample)
        self.loop.clock = clock

    def start(self):
        """Start sampling."""
        self.loop.start(SAMPLE_PERIOD_S)

    def stop(self):
        """Stop sampling."""
        self.loop.stop()

    def sample(self):
        """Record the current load."""
        self.samples.append(self.capacity.held)

    def read(self):
        """Return the report: running and waiting requests, and number of slots."""
        return {
            "held": self.samples[0] * self.settings.load_factor,
            "slots": self.capacity.settings.slots,
        }
