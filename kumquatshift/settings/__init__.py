"""INI settings of every program, fully validated at start-up.

The settings of a program are one frozen data class with a field for each section
of its file; each section is a frozen data class too::

    match EntrySettings.load("entry.ini"):
        case Success(cfg):
            print(cfg.entry.name, cfg.limits.max_flows)
        case Failure(problems):
            for problem in problems:
                print(problem)
"""

from .bench import BenchSettings
from .check import check
from .ctl import CtlSettings
from .entry import EntrySettings
from .problems import Problem
from .standins import (
    FabricStandinSettings,
    PlatformStandinSettings,
    TargetStandinSettings,
)

__all__ = [
    "BenchSettings",
    "CtlSettings",
    "EntrySettings",
    "FabricStandinSettings",
    "PlatformStandinSettings",
    "Problem",
    "TargetStandinSettings",
    "check",
]
