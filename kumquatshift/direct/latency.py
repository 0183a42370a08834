"""Latency of answers, estimated from callers' acknowledgements.

An entry sees only what callers send. The first acknowledgement of new data after a
request shows when its answer began to arrive, and how much of it did::

    ratio = latency_ratio(waited_s, route.objective_s, answered_bytes, is_last=False)
"""

from __future__ import annotations

# Callers delay the acknowledgement of an answer of a single packet, unless they
# close the flow with it.
DELAYED_ACK_S = 0.04
MAX_PACKET_BYTES = 1200

# An answer of no more bytes than this is taken for a refusal by a full target: a
# status line and headers without content.
MAX_REFUSAL_BYTES = 256

# A refusal counts as an answer that is late by half of the objective or more.
REFUSAL_RATIO = 1.5


def latency_ratio(
    waited_s: float, objective_s: float, answered_bytes: int, is_last: bool
) -> float:
    """Return the latency of an answer, relative to the latency objective.

    ``answered_bytes`` is 0 if the packet acknowledges no new data, as after an answer
    whose packets arrive in another order.
    """
    is_single_packet = 0 < answered_bytes <= MAX_PACKET_BYTES
    if is_single_packet and not is_last:
        waited_s = max(0.0, waited_s - DELAYED_ACK_S)
    ratio = waited_s / objective_s
    # The closing packet of a target counts as one byte.
    if 1 < answered_bytes <= MAX_REFUSAL_BYTES:
        return max(REFUSAL_RATIO, ratio)
    return ratio
