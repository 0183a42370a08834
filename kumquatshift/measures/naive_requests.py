"""A naive request policy, as a baseline for the measurements.

It keeps one table per entry and retries on another target after a time-out.
"""

from itertools import count
from types import SimpleNamespace

from ..engine import coap
from ..engine.datagrams import packet_to_caller, read_datagram
from ..engine.decisions import Cause, ForwardToTarget, Refuse, ReturnToCaller
from ..errors import ErrorKind

TRY_TIMEOUT_S = 1.0
MAX_TRIES = 3


def naive_policy(entry):
    """Create the naive policy of one entry."""
    return NaivePolicy(sorted(entry.site.targets))


class NaivePolicy:
    """Retries after a time-out, and shares no state with other entries."""

    def __init__(self, targets):
        self.targets, self.next, self.open = targets, count(), {}

    def request(self, service, flow, packet, now):
        """Send a request to the next target, also if it is a retransmission."""
        header = coap.read_header(read_datagram(packet).unwrap().payload).unwrap()
        if header.is_empty:
            return []
        key = (flow, header.token)
        if key not in self.open:
            self.open[key] = SimpleNamespace(
                packet=packet, header=header, target="", tries=0, due=now
            )
        return self.send(self.open[key], now)

    def send(self, req, now):
        """Send the request to the next target, round robin."""
        req.target = self.targets[next(self.next) % len(self.targets)]
        req.tries += 1
        req.due = now + TRY_TIMEOUT_S
        return [ForwardToTarget(req.target, req.packet)]

    def response(self, flow, packet, now):
        """Pass any response of a target to the caller."""
        header = coap.read_header(read_datagram(packet).unwrap().payload).unwrap()
        self.open.pop((flow, header.token), None)
        return [ReturnToCaller(packet)]

    def adopt(self, service, record, now):
        """Accept every record of another entry."""
        return True

    def tick(self, now):
        """Retry requests that timed out; after `MAX_TRIES`, refuse as "not run"."""
        decisions = []
        for (flow, token), req in list(self.open.items()):
            if now < req.due:
                continue
            if req.tries < MAX_TRIES:
                decisions += self.send(req, now)
                continue
            del self.open[flow, token]
            text = coap.refusal(req.header, ErrorKind.NOT_RUN, "not run")
            data = packet_to_caller(flow, text)
            decisions.append(Refuse(ErrorKind.NOT_RUN, Cause.EXPIRED_SENT, data))
        return decisions
