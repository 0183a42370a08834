"""The environment of a program run."""

import os
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TextIO


@dataclass(frozen=True)
class Environment:
    """Standard streams and environment variables of one program run.

    Tests can replace any of them::

        env = Environment(stdout=io.StringIO())
        status = core.main(["entry", "--check", "entry.ini"], env)
    """

    stdin: TextIO = field(default_factory=lambda: sys.stdin)
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    variables: Mapping[str, str] = field(default_factory=lambda: os.environ)
