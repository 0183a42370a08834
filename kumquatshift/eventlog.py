"""Decisions as structured lines: one JSON object a line, bounded, never blocking.

Each event has a budget of lines a second, so that a flood of one kind costs a
bounded number of lines and leaves room for the others; what is left out is
counted and told. A reader that does not read costs lines, never time.
"""

from __future__ import annotations

import json
import os
import time

from .direct.events import Event

# Routine lines are for tracing one flow among many; the others explain failures
# and come first. Per second and event.
ROUTINE_LINES_PER_S = 20
OTHER_LINES_PER_S = 50
ROUTINE = frozenset({Event.FLOW_OPENED})

# Some hundred lines: enough for a reader that pauses for a moment.
MAX_BUFFERED_BYTES = 64 * 1024


class EventLog:
    """Writes events of one process to a descriptor.

    ``flow_text`` turns a flow's key into text for people.
    """

    def __init__(self, clock, name: str, flow_text, descriptor: int = 1):
        self._clock = clock
        self._name = name
        self._flow_text = flow_text
        self._descriptor = descriptor
        self._buffer = b""
        self.counts: dict[Event, int] = dict.fromkeys(Event, 0)
        self.lines_left_out = 0
        self._second = 0
        self._written: dict[Event, int] = {}
        self._left_out: dict[Event, int] = {}
        os.set_blocking(descriptor, False)

    def emit(self, event: Event, **inputs: object) -> None:
        """Write one event with the inputs that decided it."""
        self.counts[event] += 1
        second = int(self._clock.seconds())
        if second != self._second:
            self._begin(second)
        written = self._written.get(event, 0)
        budget = ROUTINE_LINES_PER_S if event in ROUTINE else OTHER_LINES_PER_S
        if written >= budget:
            self._leave_out(event)
            return
        self._written[event] = written + 1
        self._write(event, inputs)

    def flush(self) -> None:
        """Write what is buffered, as far as the reader takes it."""
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; there is no other place to tell it.
            written = len(self._buffer)
        self._buffer = self._buffer[written:]

    def _leave_out(self, event: Event) -> None:
        self.lines_left_out += 1
        self._left_out[event] = self._left_out.get(event, 0) + 1

    def _begin(self, second: int) -> None:
        self._second = second
        self._written.clear()
        if self._left_out:
            counts = {event.value: n for event, n in self._left_out.items()}
            self._left_out = {}
            self._write(Event.LINES_LEFT_OUT, {"counts": counts})

    def _write(self, event: Event, inputs: dict[str, object]) -> None:
        if len(self._buffer) >= MAX_BUFFERED_BYTES:
            self._leave_out(event)
            self.flush()
            return
        flow = inputs.get("flow")
        if isinstance(flow, bytes):
            inputs["flow"] = self._flow_text(flow)
        line = {
            "time": round(time.time(), 4),
            "uptime_s": round(self._clock.seconds(), 4),
            "entry": self._name,
            "event": event.value,
            **inputs,
        }
        self._buffer += json.dumps(line, default=str).encode() + b"\n"
        self.flush()
