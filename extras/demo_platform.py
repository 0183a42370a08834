"""Run a site with direct return on loopback: `make demo-platform`.

Five entry processes, a store, eight targets and callers; a target is replaced, an
entry killed, another stopped, and a domain evacuated. It ends by itself with what
the callers saw; the exit status is 1 if a promise was broken.
"""

import sys

from tests.soak import faults
from tests.soak.run import run

STORY = (
    faults.drain_target,
    faults.kill_entry,
    faults.stop_entry,
    faults.evacuate,
    faults.change_configuration,
)

if __name__ == "__main__":
    sys.exit(run(seed=1, seconds=30.0, net=39, story=STORY))
