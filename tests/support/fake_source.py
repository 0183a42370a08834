"""Fake data source for the admin port, which fails in states that a test selects."""

FLOWS = [{"key": f"{number:032x}", "target": "t1"} for number in range(60_000)]


class FakeSource:
    def __init__(self, state="ready"):
        self.state = state

    def ready(self):
        self.raise_if_failing()
        return self.state != "not ready"

    def dump(self):
        self.raise_if_failing()
        if self.state == "large":
            return {"name": "e1", "flows": FLOWS, "by_key": {"a": 1}, "none": []}
        if self.state == "breaking":
            return {"flows": FLOWS[:5000], "odd": {(): 1}}
        return {"name": "e1"}

    def metrics(self):
        self.raise_if_failing()
        return "kumquatshift_flows 2\n"

    def versions(self):
        return {"service/tills": 7}

    def raise_if_failing(self):
        if self.state == "failing":
            raise RuntimeError("Traceback")
