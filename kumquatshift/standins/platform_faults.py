"""Injected faults of the platform stand-in, changeable at run time."""

from dataclasses import dataclass, fields, replace

from ..fields import Integer, Invalid, Number

MAX_DELAY_S = 3600.0


@dataclass(frozen=True)
class Faults:
    """Faults that are currently injected.

    ``outage`` fails every call with status 503 and aborts the watches. ``latency_s``
    delays every response. The next ``lose_answers`` writes are applied, but their
    connection is aborted before the response; the next ``lose_requests`` writes are
    aborted without being applied; the responses to the next ``garble_answers``
    writes lack most of the object. Reads lag ``stale_versions`` versions behind.
    ``hang_watches`` keeps watches open without sending anything on them.
    """

    outage: bool = False
    latency_s: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    garble_answers: int = 0
    stale_versions: int = 0
    hang_watches: bool = False

    def changed(self, value: object) -> "Faults":
        """Return the faults updated with the fields of a JSON object."""
        if not isinstance(value, dict):
            raise ValueError("allowed: an object")
        checks = {
            bool: None,
            float: Number(0, MAX_DELAY_S, "seconds"),
            int: Integer(0, 1_000_000),
        }
        types = {item.name: item.type for item in fields(self)}
        for key, found in value.items():
            if key not in types:
                raise ValueError(f"{key}: allowed fields: {', '.join(types)}")
            check = checks[types[key]]
            try:
                accepted = (
                    isinstance(found, bool) if check is None else check.read(found)
                )
            except Invalid as exc:
                raise ValueError(f"{key}: {check.allowed}") from exc
            if accepted is False:
                raise ValueError(f"{key}: allowed: true, false")
        return replace(self, **value)
