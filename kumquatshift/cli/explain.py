"""Tell the story of a flow, a target or a second from the log lines of entries.

Log lines are JSON objects; what stands before the first brace of a line, such
as what a collector adds, is passed over. The cause is named only where lines
show it; else the answer says that they do not.
"""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

#: Lines about a target or an entry belong to a flow's story within this time.
CONTEXT_WINDOW_S = 5.0

_OWN_FIELDS = ("time", "uptime_s", "entry", "event")

_RESET_CAUSES = {
    "target_silent": "its target stopped to answer, and its flows were given up",
    "target_gone": "its target had ended and was off the list",
    "unknown_cookie": "its target was not on the list of the entry that it came to",
    "no_route": "no route led to the address and port that the caller asked for",
    "no_target": "no target of the service could take a flow",
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
    """Lines in the order of their time, and what they come to."""

    lines: tuple[LogLine, ...]
    cause: str


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Read log lines, and pass over what is none."""
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
    """Tell what became of a flow, given as in the log or as its caller's end."""
    lines = _by_time(lines)
    own_lines = [ln for ln in lines if _is_of_flow(ln, flow)]
    if not own_lines:
        return Explanation((), f"no line names {flow}; it may have met no entry")
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
    """Tell what entries have seen of a target, without the flows placed there."""
    own_lines = _by_time(
        line
        for line in lines
        if line.fields.get("target") == target and line.event != "flow opened"
    )
    if not own_lines:
        return Explanation((), f"no line names {target}")
    counts = Counter(line.event for line in own_lines)
    details = ", ".join(f"{count} {event}" for event, count in counts.items())
    return Explanation(tuple(own_lines), details)


def explain_second(lines: Iterable[LogLine], second: int) -> Explanation:
    """Tell what all entries logged within a second, and how often each event."""
    own_lines = _by_time(line for line in lines if second <= line.time < second + 1)
    counts = Counter(line.event for line in own_lines)
    details = ", ".join(f"{count} {event}" for event, count in counts.most_common())
    return Explanation(tuple(own_lines), details or f"no line is of second {second}")


def explain_failures(lines: Iterable[LogLine]) -> Explanation:
    """Tell how many flows were refused, reset or lost packets, by cause.

    What was sent to an entry that had died, and what did not fit a log's budget,
    left no line; how often that happened is told, since the lines can not tell
    which flows it met.
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
    """Return what kept flows from leaving a line."""
    details = []
    restarts = _unclean_restarts(lines).total()
    if restarts:
        details.append(
            f"{restarts} x entry ended without a stop, and what was sent to it until"
            " it was back left no line"
        )
    left_out = [line for line in lines if line.event == "lines left out"]
    if left_out:
        details.append(f"{len(left_out)} x lines were left out, as logs are bounded")
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
            return f"{entry} ended without a stop: it was killed or lost its power"
    return "the lines do not tell what became of it after it was placed"


def _unclean_restarts(lines: Iterable[LogLine]) -> Counter[str]:
    """Count how often each entry started again without having stopped."""
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
