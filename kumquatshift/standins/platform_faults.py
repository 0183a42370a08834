"""Faults of the platform stand-in, switched on and off while it runs."""

from dataclasses import dataclass, fields, replace

from ..fields import Integer, Invalid, Number

MAX_DELAY_S = 3600.0


@dataclass(frozen=True)
class Faults:
    """What goes wrong at present.

    ``outage`` answers every call with 503 and cuts the watches. ``latency_s``
    delays every answer. The next ``lose_answers`` writes take effect and their
    connection is cut; the next ``lose_requests`` ones are cut without effect; the
    answers of the next ``garble_answers`` ones lack most of the object. Reads are
    ``stale_versions`` behind. ``hang_watches`` keeps watches open and says nothing
    on them.
    """

    outage: bool = False
    latency_s: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    garble_answers: int = 0
    stale_versions: int = 0
    hang_watches: bool = False

    def changed(self, value: object) -> "Faults":
        """Return the faults with the fields of a JSON object changed."""
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
                good = isinstance(found, bool) if check is None else check.read(found)
            except Invalid as exc:
                raise ValueError(f"{key}: {check.allowed}") from exc
            if good is False:
                raise ValueError(f"{key}: allowed: true, false")
        return replace(self, **value)
