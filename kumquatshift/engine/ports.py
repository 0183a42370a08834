"""Interfaces through which the engine gets time and random numbers."""

from typing import Protocol


class Clock(Protocol):
    """A clock; Twisted's reactor and its test `Clock` both implement it."""

    def seconds(self) -> float:
        """Return the time in seconds since the epoch."""
        ...


class Randomness(Protocol):
    """A source of random numbers; `random.Random` implements it."""

    def random(self) -> float:
        """Return a random float in [0, 1)."""
        ...

    def randrange(self, stop: int) -> int:
        """Return a random integer in [0, stop)."""
        ...
