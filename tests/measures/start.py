"""Measure processor time and memory of starting an entry with direct return.

The process imports all modules that it needs for forwarding. Processor time is the
least of several starts, since the machine may be busy; memory is the largest.
"""

import resource
import subprocess
import sys
import tempfile
from pathlib import Path

from kumquatshift.measures.measure import Measure, at_most, reported

ROOT = Path(__file__).resolve().parents[2]
STARTS = 7
MAX_CPU_S = 0.25
MAX_MEMORY_MB = 40
KB_PER_MB = 1024

START = """
import sys
sys.path[:0] = {paths!r}
import kumquatshift.platform.start, kumquatshift.platform.entry
import kumquatshift.platform.peering
with open("/proc/self/status") as status:
    peak = next(line for line in status if line.startswith("VmHWM"))
print(peak.split()[1])
"""


def measure_start() -> tuple[Measure, ...]:
    """Return processor time and memory of a start, and the ratio to asyncio's time."""
    paths = [str(ROOT), *[path for path in sys.path if path.endswith("packages")]]
    with tempfile.TemporaryDirectory() as folder:
        script = Path(folder) / "start.py"
        script.write_text(START.format(paths=paths))
        runs = [_run([str(script)]) for _ in range(STARTS)]
        asyncio_runs = [_run(["-c", "import asyncio"]) for _ in range(STARTS)]
    cpu_s = min(cpu for cpu, _ in runs)
    memory_mb = max(float(out) for _, out in runs) / KB_PER_MB
    return (
        at_most("direct_start_cpu_seconds", cpu_s, MAX_CPU_S),
        at_most("direct_start_memory_mb", memory_mb, MAX_MEMORY_MB),
        reported(
            "direct_start_ratio_to_asyncio", cpu_s / min(cpu for cpu, _ in asyncio_runs)
        ),
    )


def _run(args: list[str]) -> tuple[float, str]:
    """Return the processor time of one start and its output."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    cmd = [sys.executable, "-S", *args]
    done = subprocess.run(cmd, capture_output=True, text=True, check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    user_s = after.ru_utime - before.ru_utime
    system_s = after.ru_stime - before.ru_stime
    return user_s + system_s, done.stdout.strip()


MEASURES = (measure_start,)
