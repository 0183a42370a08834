"""What an admin port shows in tests, well or badly."""

FLOWS = [{"key": f"{number:032x}", "target": "t1"} for number in range(60_000)]


class FakeSource:
    def __init__(self, state="ready"):
        self.state = state

    def ready(self):
        self.fail_if_told()
        return self.state != "not ready"

    def dump(self):
        self.fail_if_told()
        if self.state == "large":
            return {"name": "e1", "flows": FLOWS, "by_key": {"a": 1}, "none": []}
        if self.state == "breaking":
            return {"flows": FLOWS[:5000], "odd": {(): 1}}
        return {"name": "e1"}

    def metrics(self):
        self.fail_if_told()
        return "kumquatshift_flows 2\n"

    def versions(self):
        return {"service/tills": 7}

    def fail_if_told(self):
        if self.state == "failing":
            raise RuntimeError("Traceback")
