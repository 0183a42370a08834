"""Structured log of decisions: one JSON object a line, rate limited, non-blocking.

Each kind of event has a limit of lines per second, so that a flood of one kind
writes a bounded number of lines and does not displace the others; suppressed
lines are counted and reported. If the reader of the log is slow, lines are
suppressed; the process never waits for it.
"""

from __future__ import annotations

import json
import os
import time

from .direct.events import Event

# Limits per second and kind of event. Routine lines serve to trace single flows;
# the others explain failures and get the higher limit.
ROUTINE_LINES_PER_S = 20
OTHER_LINES_PER_S = 50
ROUTINE = frozenset({Event.FLOW_OPENED})

# A few hundred lines: covers a short pause of the reader.
MAX_BUFFERED_BYTES = 64 * 1024


class EventLog:
    """Writes the events of one process to a file descriptor.

    ``flow_text`` converts the key of a flow to readable text.
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
        self._written_counts: dict[Event, int] = {}
        self._suppressed_counts: dict[Event, int] = {}
        os.set_blocking(descriptor, False)

    def emit(self, event: Event, **inputs: object) -> None:
        """Write one event with the inputs of the decision."""
        self.counts[event] += 1
        second = int(self._clock.seconds())
        if second != self._second:
            self._start_second(second)
        written = self._written_counts.get(event, 0)
        budget = ROUTINE_LINES_PER_S if event in ROUTINE else OTHER_LINES_PER_S
        if written >= budget:
            self._suppress(event)
            return
        self._written_counts[event] = written + 1
        self._write(event, inputs)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone; there is no other place to report this.
            written = len(self._buffer)
        self._buffer = self._buffer[written:]

    def _suppress(self, event: Event) -> None:
        self.lines_left_out += 1
        self._suppressed_counts[event] = self._suppressed_counts.get(event, 0) + 1

    def _start_second(self, second: int) -> None:
        self._second = second
        self._written_counts.clear()
        if self._suppressed_counts:
            counts = {event.value: n for event, n in self._suppressed_counts.items()}
            self._suppressed_counts = {}
            self._write(Event.LINES_LEFT_OUT, {"counts": counts})

    def _write(self, event: Event, inputs: dict[str, object]) -> None:
        if len(self._buffer) >= MAX_BUFFERED_BYTES:
            self._suppress(event)
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
