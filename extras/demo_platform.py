"""Run a site with direct return on loopback: `make demo-platform`.

It has five entry processes, a store, eight targets and callers. A target is replaced,
an entry killed, another stopped, and a domain evacuated. At the end it prints what
the callers saw; the exit status is 1 if a guarantee was violated.
"""

import sys

from tests.soak import faults
from tests.soak.run import run

SCENARIO = (
    faults.drain_target,
    faults.kill_entry,
    faults.stop_entry,
    faults.evacuate,
    faults.change_configuration,
)

if __name__ == "__main__":
    sys.exit(run(seed=1, seconds=30.0, net=39, story=SCENARIO))
