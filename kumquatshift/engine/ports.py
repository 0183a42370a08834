"""Ports through which time and chance reach the engine."""

from typing import Protocol


class Clock(Protocol):
    """The runtime's clock; Twisted's reactor and its test `Clock` both fit."""

    def seconds(self) -> float:
        """Return the time in seconds since the epoch."""
        ...


class Randomness(Protocol):
    """Source of chance; `random.Random` fits."""

    def random(self) -> float:
        """Return a number in [0, 1)."""
        ...

    def randrange(self, stop: int) -> int:
        """Return a whole number in [0, stop)."""
        ...
