"""Starts an entry on the users' platform; the environment names its settings file.

This is a script rather than ``python -m`` to shorten the start: the interpreter runs
without site packages and the module runner, which together take longer than the
imports of the entry.
"""

import os
import sys

sys.path[0] = os.path.dirname(sys.path[0])

from kumquatshift.platform.start import start  # noqa: E402

sys.exit(start(os.environ["KUMQUATSHIFT_BOOT"]))
