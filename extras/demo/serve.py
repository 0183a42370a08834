"""The site of the demo without its load: runs until Ctrl-C."""

import signal
import sys
import time

import fire
import prepare
from run import BINARIES, DIRECTORY, Demo, interrupt
from runner import Runner

CHECK_PERIOD_S = 0.5


def serve(block=prepare.BLOCK):
    """Start the site, and stop it on Ctrl-C or SIGTERM; return the exit status.

    All addresses are loopback addresses; BLOCK is their second byte.
    """
    signal.signal(signal.SIGTERM, interrupt)
    preparation = prepare.Preparation(block, DIRECTORY)
    preparation.write_all()
    commands = [[str(BINARIES / name)] for name in ("kumquat-entry", "kumquat-ctl")]
    with open(DIRECTORY / "demo.log", "w", encoding="utf-8") as log:
        runner = Runner(log)
        demo = Demo(preparation.site, runner, *commands)
        try:
            demo.start_site()
            demo.print_progress(
                f"the site is ready; logs are in {log.name}; stop with Ctrl-C"
            )
            report_exits(demo)
        except KeyboardInterrupt:
            demo.print_progress("stopping all processes")
        except (RuntimeError, TimeoutError) as exc:
            print(f"FAILED: {exc}; see {log.name}")
            return 1
        finally:
            runner.stop_all()
    return 0


def report_exits(demo):
    """Report each process that exits, until a signal arrives."""
    reported = set()
    while True:
        for name in set(demo.unexpected_exits()) - reported:
            reported.add(name)
            demo.print_progress(f"{name} has exited")
        time.sleep(CHECK_PERIOD_S)


if __name__ == "__main__":
    sys.exit(fire.Fire(serve, serialize=lambda _: None))
