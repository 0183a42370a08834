"""Configurations of many routes, as the platform's store holds them."""


def routes(count, timeout_ms=2500):
    """Return this many routes, all to one service."""
    return [
        {
            "name": f"r{number:05x}",
            "host": f"198.18.{number >> 8}.{number & 255}",
            "pathPrefix": "/443/",
            "service": "tills",
            "type": "safe",
            "timeoutMs": timeout_ms,
            "priority": 2,
        }
        for number in range(count)
    ]
