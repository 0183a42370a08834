"""A fake `kumquat-ctl` for demos with fake entries: plain writes, no checks.

``python -m tests.support.fake_ctl --platform URL apply FILE``, and
``target retire NAME``, ``domain out NAME`` or ``domain in NAME``.
"""

import json
import sys
import urllib.error
import urllib.request
from configparser import ConfigParser

NUMBERS = ("port", "slots", "connections")


def call(url, method="GET", value=None, version=None):
    data = None if value is None else json.dumps(value).encode()
    headers = {} if version is None else {"If-Match": str(version)}
    req = urllib.request.Request(url, data, headers, method=method)
    with urllib.request.urlopen(req, timeout=5) as response:
        return json.load(response)


def put(platform, kind, name, version, body):
    call(f"{platform}/v1/objects/{kind}/{name}", "PUT", {"body": body}, version)


def apply(platform, path):
    cfg = ConfigParser()
    cfg.read(path)
    for title in cfg.sections():
        kind, name = title.split()
        body = {k: int(v) if k in NUMBERS else v for k, v in cfg[title].items()}
        put(platform, kind, name, 0, body)


def change(platform, kind, name, **fields):
    stands = call(f"{platform}/v1/objects/{kind}/{name}")
    put(platform, kind, name, stands["version"], {**stands["body"], **fields})


def main(args):
    platform = args[1]
    match args[2:]:
        case ["apply", path]:
            apply(platform, path)
        case ["target", "retire", name]:
            change(platform, "target", name, state="retired")
        case ["domain", ("in" | "out") as state, name, *_]:
            change(platform, "domain", name, state=state)
        case other:
            sys.exit(f"unknown command {other}")


if __name__ == "__main__":
    main(sys.argv[1:])
