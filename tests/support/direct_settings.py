"""Settings file and readiness check of a direct-return entry under test."""

import json
import urllib.error
import urllib.request

PACKET_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 7000, 7001, 7002, 7003

SETTINGS_TEMPLATE = """[entry]
name = {name}
domain = {domain}
packet_address = {host}:7000
ready_address = {host}:7001
metrics_port = 7003
peer_address = {host}:7002
seeds = {seeds}
link_mbps = 1000

[store]
address = {store}

[bounds]
stable_window_ms = 4000
drain_ms = 3000
config_ms = 3000
evacuate_ms = 5000
stop_s = 6
warmup_burst_factor = 1.5
warmup_slack = 5
"""


def is_ready(host: str, timeout_s: float) -> bool:
    """Query readiness of the entry at ``host``, as the platform's routers do."""
    try:
        url = f"http://{host}:{READY_PORT}/api/ready"
        with urllib.request.urlopen(url, timeout=timeout_s) as answer:
            return answer.status == 200
    except (urllib.error.URLError, OSError):
        return False


def read_dump(host: str, timeout_s: float) -> dict:
    """Return the state that the entry at ``host`` shows; raises `OSError`."""
    url = f"http://{host}:{READY_PORT}/dump"
    with urllib.request.urlopen(url, timeout=timeout_s) as answer:
        return json.load(answer)
