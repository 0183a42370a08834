"""``python -m kumquatshift.measures``: run every measure."""

import sys
import time
from pathlib import Path

from ..context import Environment
from .registry import GROUPS, functions_of
from .run import run_measures

PATH = Path("build/measures.json")


class MonotonicClock:
    """The time that passes, for runs without a reactor."""

    def seconds(self) -> float:
        """Return a time in seconds that never goes back."""
        return time.monotonic()


if __name__ == "__main__":
    sys.exit(run_measures(GROUPS, functions_of, MonotonicClock(), PATH, Environment()))
