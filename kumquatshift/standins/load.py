"""What a target says of its own load; it may lag, and it may mislead."""

from collections import deque
from dataclasses import dataclass

from twisted.internet.task import LoopingCall

from ..settings.standins import TargetStandinSection

SAMPLE_PERIOD_S = 0.25


@dataclass(frozen=True)
class LoadSettings:
    """``load_lag_s`` is how old the report is; ``load_factor`` scales it."""

    load_lag_s: float = 0.0
    load_factor: float = 1.0

    @classmethod
    def from_config(cls, cfg: TargetStandinSection):
        """Return what a target's settings say of its report."""
        return cls(cfg.load_lag_s, cfg.load_factor)


class LoadReport:
    """Samples the load of a target, and tells it with the lag that is set."""

    def __init__(self, settings: LoadSettings, capacity, clock):
        self.settings = settings
        self.capacity = capacity
        kept = 1 + round(settings.load_lag_s / SAMPLE_PERIOD_S)
        self.samples = deque([0], maxlen=kept)
        self.loop = LoopingCall(self.sample)
        self.loop.clock = clock

    def start(self):
        """Begin to sample."""
        self.loop.start(SAMPLE_PERIOD_S)

    def stop(self):
        """Sample no more."""
        self.loop.stop()

    def sample(self):
        """Note the load of this moment."""
        self.samples.append(self.capacity.held)

    def read(self):
        """Return the report: work held, and how many slots there are."""
        return {
            "held": self.samples[0] * self.settings.load_factor,
            "slots": self.capacity.settings.slots,
        }
