"""INI settings of every program, checked as a whole at start.

Each program has one frozen data class, and each section of its file another::

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
