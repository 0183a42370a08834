"""Run a program by its name: ``python -m kumquatshift ctl status``."""

import sys

from .context import Environment
from .core import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], Environment()))
