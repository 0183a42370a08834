"""The demo's site without its load: starts, and stays until Ctrl-C."""

import signal
import sys
import time

import fire
import prepare
from run import BINARIES, DIRECTORY, Demo, interrupt
from runner import Runner

CHECK_PERIOD_S = 0.5


def serve(block=prepare.BLOCK):
    """Start the site, and end it when asked to; return the exit status.

    All its addresses are loopback ones, whose second byte is BLOCK.
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
            demo.say(f"all is ready; {log.name} has the logs; end with Ctrl-C")
            stay(demo)
        except KeyboardInterrupt:
            demo.say("end all processes")
        except (RuntimeError, TimeoutError) as exc:
            print(f"FAILED: {exc}; see {log.name}")
            return 1
        finally:
            runner.stop_all()
    return 0


def stay(demo):
    """Tell of each process that ends, until a signal comes."""
    told = set()
    while True:
        for name in set(demo.died()) - told:
            told.add(name)
            demo.say(f"{name} has ended")
        time.sleep(CHECK_PERIOD_S)


if __name__ == "__main__":
    sys.exit(fire.Fire(serve, serialize=lambda _: None))
