"""Rows of the store from a writer that is neither an operator nor an endpoint."""

import json

from fuchsiaroute.platform.tests.soak_platform import APP

#: More levels than a decoder follows, in a field that it skips.
_NESTED = b'{"x":' + b"[" * 10_000


def _announcement(port: str) -> bytes:
    value = {
        "Service": APP,
        "Address": f"127.0.0.1:{port}",
        "Zone": "z1",
        "Version": "v1",
        "Slots": 8,
        "State": "ready",
        "ColdLeftMs": 0,
        "Seq": 1,
        "born": 1,
    }
    return json.dumps(value).encode()


#: Table, key and value by variant.
FOREIGN_ROWS = {
    "nested-endpoint": ("servers", "foreign", _NESTED),
    "endpoint-without-port": ("servers", "foreign", _announcement("70000")),
    "endpoint-with-long-port": ("servers", "foreign", _announcement("8" * 5_000)),
    "nested-rollout": ("op", "rollout/foreign", _NESTED),
}
