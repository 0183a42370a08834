"""Explains what happened to a flow or target, or in a second, from logs of entries.

Log lines are JSON objects; text before the first brace of a line, such as the
prefix of a log collector, is ignored. A cause is reported only if log lines show
it; otherwise the explanation says that they do not.
"""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

#: Lines about a target or an entry are included in the explanation of a flow if
#: they are at most this long before its first or after its last line.
CONTEXT_WINDOW_S = 5.0

_OWN_FIELDS = ("time", "uptime_s", "entry", "event")

_RESET_CAUSES = {
    "target_silent": "its target stopped answering, and its flows were dropped",
    "target_gone": "its target had terminated and was no longer listed",
    "unknown_cookie": "its target was not listed at the entry that received it",
    "no_route": "no route matched the address and port that the caller requested",
    "no_target": "no target of the service could accept a flow",
}


@dataclass(frozen=True)
class LogLine:
    """One line of an entry's log."""

    time: float
    entry: str
    event: str
    fields: dict

    def __str__(self):
        details = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time:.3f} {self.entry}: {self.event} {details}".rstrip()


@dataclass(frozen=True)
class Explanation:
    """Log lines in order of time, and the cause that they show."""

    lines: tuple[LogLine, ...]
    cause: str


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines of ``texts``; ignore everything else."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
            fields = {k: v for k, v in line.items() if k not in _OWN_FIELDS}
            yield LogLine(float(line["time"]), line["entry"], line["event"], fields)
        except (ValueError, TypeError, KeyError, AttributeError):
            continue


def explain_flow(lines: Iterable[LogLine], flow: str) -> Explanation:
    """Explain one flow, given as in the log or by its caller's address and port."""
    lines = _by_time(lines)
    own_lines = [ln for ln in lines if _is_of_flow(ln, flow)]
    if not own_lines:
        return Explanation(
            (), f"no line mentions {flow}; it may not have reached any entry"
        )
    begin, end = (
        own_lines[0].time - CONTEXT_WINDOW_S,
        own_lines[-1].time + CONTEXT_WINDOW_S,
    )
    targets = {
        ln.fields[key] for ln in own_lines for key in _TARGET_KEYS if key in ln.fields
    }
    entries = {line.entry for line in own_lines}
    context_lines = [
        line
        for line in lines
        if begin <= line.time <= end
        and (line in own_lines or _is_context(line, targets, entries))
    ]
    return Explanation(
        tuple(context_lines), _cause(own_lines, context_lines, targets, entries)
    )


def explain_target(lines: Iterable[LogLine], target: str) -> Explanation:
    """Summarise the events of a target, except for flows opened to it."""
    own_lines = _by_time(
        line
        for line in lines
        if line.fields.get("target") == target and line.event != "flow opened"
    )
    if not own_lines:
        return Explanation((), f"no line mentions {target}")
    counts = Counter(line.event for line in own_lines)
    details = ", ".join(f"{count} {event}" for event, count in counts.items())
    return Explanation(tuple(own_lines), details)


def explain_second(lines: Iterable[LogLine], second: int) -> Explanation:
    """Summarise what all entries logged within one second, with a count per event."""
    own_lines = _by_time(line for line in lines if second <= line.time < second + 1)
    counts = Counter(line.event for line in own_lines)
    details = ", ".join(f"{count} {event}" for event, count in counts.most_common())
    return Explanation(
        tuple(own_lines), details or f"no line falls within second {second}"
    )


def explain_failures(lines: Iterable[LogLine]) -> Explanation:
    """Count the flows that were refused, reset or lost packets, by cause.

    Packets sent to an entry that had crashed, and events beyond the limits of log
    output, leave no line. The number of such cases is reported, since the lines
    cannot show which flows were affected.
    """
    lines = _by_time(lines)
    failed = [line for line in lines if line.event in _FAILURES]
    counts = Counter((line.event, line.fields.get("reason", "")) for line in failed)
    details = [
        f"{count} x {event} ({reason})" for (event, reason), count in counts.items()
    ]
    details = details or ["no flow was refused or reset, and no packet dropped"]
    return Explanation(tuple(failed), "; ".join(details + _unlogged_losses(lines)))


_TARGET_KEYS = ("target", "silent")
_FAILURES = ("flow refused", "flow reset", "packet dropped")
_ENTRY_EVENTS = (
    "started",
    "stopping",
    "stopped",
    "unready",
    "store lost",
    "store regained",
    "store call abandoned",
    "internal error",
)
_TARGET_EVENTS = (
    "target suspected",
    "target trusted",
    "target draining",
    "target gone",
)


def _by_time(lines: Iterable[LogLine]) -> list[LogLine]:
    return sorted(lines, key=lambda line: line.time)


def _unlogged_losses(lines: list[LogLine]) -> list[str]:
    """Return the reasons why failed flows may be missing from the log."""
    details = []
    restarts = _unclean_restarts(lines).total()
    if restarts:
        details.append(
            f"{restarts} x entry terminated without shutting down; packets sent to it"
            " until it restarted are not logged"
        )
    left_out = [line for line in lines if line.event == "lines left out"]
    if left_out:
        details.append(
            f"{len(left_out)} x lines were omitted because log output is limited"
        )
    return details


def _is_of_flow(line: LogLine, flow: str) -> bool:
    line_flow = str(line.fields.get("flow", ""))
    return line_flow == flow or line_flow.startswith(f"{flow}>")


def _is_context(line: LogLine, targets: set[str], entries: set[str]) -> bool:
    if line.event in _TARGET_EVENTS:
        return line.fields.get("target") in targets
    return line.event in _ENTRY_EVENTS and line.entry in entries


def _cause(own_lines, context_lines, targets, entries) -> str:
    last = own_lines[-1]
    reason = last.fields.get("reason", "")
    if last.event in ("flow reset", "flow refused") and reason in _RESET_CAUSES:
        return f"{last.event}: {_RESET_CAUSES[reason]}"
    if last.event == "packet dropped":
        return f"its last packet was dropped by {last.entry}: {reason}"
    later_lines = [line for line in context_lines if line.time >= last.time]
    for line in later_lines:
        if line.event in ("target suspected", "target gone"):
            return (
                f"{line.event}: {line.fields.get('target')} after the flow was placed"
            )
    restarts = _unclean_restarts(context_lines)
    for entry in sorted(entries):
        if restarts[entry]:
            return (
                f"{entry} terminated without shutting down: it was killed or lost power"
            )
    return "the log does not show what happened to it after it was placed"


def _unclean_restarts(lines: Iterable[LogLine]) -> Counter[str]:
    """Count how often each entry restarted without having shut down."""
    restarts = Counter()
    running = set()
    for line in lines:
        if line.event == "stopped":
            running.discard(line.entry)
            continue
        if line.event == "started" and line.entry in running:
            restarts[line.entry] += 1
        running.add(line.entry)
    return restarts
