"""Everything that writes to the store of a soak: operators, targets, the platform."""

from kumquatshift.standins.metadata_store import StoreApi


class StoreWriters:
    """Writes to the store, and repeats what the store has lost."""

    def __init__(self, api: StoreApi):
        self._api = api
        # The last spec that was written for each object, None after a deletion.
        self._written: dict[tuple[str, str], object] = {}

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object."""
        self._written[kind, name] = spec
        self._api.put(kind, name, spec)

    def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        self._written[kind, name] = None
        self._api.delete(kind, name)

    def repeat(self) -> None:
        """Write again whatever differs from what was written last."""
        for key, spec in self._written.items():
            obj = self._api.store.objects.get(key)
            if spec == (obj and obj["spec"]):
                continue
            if spec is None:
                self._api.delete(*key)
            else:
                self._api.put(*key, spec)
