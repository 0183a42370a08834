"""Runs the processes of the demo with honcho, and stops them by their process IDs."""

import datetime
import os
import queue
import shlex
import signal
import threading
import time
from dataclasses import dataclass

from honcho.printer import Message, Printer
from honcho.process import Process

START_LIMIT_S = 10.0
STOP_LIMIT_S = 6.0
POLL_PERIOD_S = 0.05


@dataclass
class Run:
    """A process: its ID once it is started, its return code once it has exited."""

    name: str
    pid: int | None = None
    returncode: int | None = None

    @property
    def alive(self):
        """Whether the process was started and has not exited."""
        return self.pid is not None and self.returncode is None


class Runner:
    """Starts processes, writes their output to one log file, and stops them."""

    def __init__(self, log):
        self.printer = Printer(log, colour=False, width=8)
        self.events = queue.Queue()
        self.runs = {}
        self.threads = []
        self.collector = threading.Thread(target=self._collect, daemon=True)
        self.collector.start()

    def start(self, name, command, output=None):
        """Start ``command``, a list of words, and wait until it has a process ID.

        If ``output`` is given, standard output is redirected to that file.
        """
        run = self.runs[name] = Run(name)
        shell_line = "exec " + shlex.join(command)
        if output is not None:
            shell_line += " > " + shlex.quote(str(output))
        process = Process(shell_line, name=name)
        thread = threading.Thread(target=process.run, args=(self.events,), daemon=True)
        thread.start()
        self.threads.append(thread)
        wait_for(lambda: run.pid is not None, START_LIMIT_S, f"{name} to start")
        return run

    def _collect(self):
        while True:
            event = self.events.get()
            run = self.runs[event.name]
            if event.type == "start":
                run.pid = event.data["pid"]
            elif event.type == "stop":
                run.returncode = event.data["returncode"]
                self._log_event(run.name, f"exited with status {run.returncode}")
            else:
                self.printer.write(event)

    def _log_event(self, name, text):
        now = datetime.datetime.now()
        self.printer.write(Message("line", text, now, name, None))

    def signal(self, name, signum):
        """Send a signal to a process if it is running."""
        run = self.runs[name]
        if run.alive:
            os.kill(run.pid, signum)

    def wait(self, name, limit_s):
        """Wait until a process has exited; return its return code."""
        run = self.runs[name]
        wait_for(lambda: not run.alive, limit_s, f"{name} to exit")
        return run.returncode

    def ended(self):
        """Return the names of the processes that have exited."""
        return [run.name for run in self.runs.values() if run.returncode is not None]

    def stop_all(self):
        """Send SIGTERM to all processes, and SIGKILL to those that do not exit.

        Ignores another Ctrl-C meanwhile, and waits for processes that are still being
        started, so that none is left running.
        """
        for signum in (signal.SIGINT, signal.SIGTERM):
            signal.signal(signum, signal.SIG_IGN)
        starting = [run for run in self.runs.values() if run.pid is None]
        for run in starting:
            wait_for(lambda run=run: run.pid is not None, START_LIMIT_S, run.name)
        for signum in (signal.SIGTERM, signal.SIGKILL):
            for name in self.runs:
                self.signal(name, signum)
            deadline = time.monotonic() + STOP_LIMIT_S
            while time.monotonic() < deadline:
                if not any(run.alive for run in self.runs.values()):
                    return
                time.sleep(POLL_PERIOD_S)


def wait_for(condition, limit_s, what):
    """Wait until ``condition()`` holds; raise TimeoutError after ``limit_s``."""
    deadline = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {limit_s:g} s for {what}")
        time.sleep(POLL_PERIOD_S)
