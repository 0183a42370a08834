"""Starts the entry on the users' platform; the settings' path is in the environment.

A script, and not ``python -m``: the interpreter starts without site packages
and without the module runner, which together cost more than the entry's imports.
"""

import os
import sys

sys.path[0] = os.path.dirname(sys.path[0])

from kumquatshift.platform.start import start  # noqa: E402

sys.exit(start(os.environ["KUMQUATSHIFT_BOOT"]))
