"""``python -m kumquatshift.measures``: run all measurements."""

import sys
import time
from pathlib import Path

from ..context import Environment
from .registry import GROUPS, functions_of
from .run import run_measures

PATH = Path("build/measures.json")


class MonotonicClock:
    """Real-time clock for runs without a Twisted reactor."""

    def seconds(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()


if __name__ == "__main__":
    sys.exit(run_measures(GROUPS, functions_of, MonotonicClock(), PATH, Environment()))
