"""Failures to connect are told apart by their kind and by endpoint."""

import json

import pytest

from fuchsiaroute.clock import ManualClock
from fuchsiaroute.forwarding import ConnectRecords, Counters
from fuchsiaroute.http1 import ConnectError, ConnectTimeoutError, NobodyListensError
from fuchsiaroute.ids import EndpointId
from fuchsiaroute.linelog import LineLog

ONE, OTHER = EndpointId("one"), EndpointId("other")


class Records:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.counters = Counters()
        self.lines: list[bytes] = []
        self.known = {ONE, OTHER}
        self.records = ConnectRecords(
            clock=self.clock,
            counters=self.counters,
            log=LineLog(clock=self.clock, instance="i", write=self._write),
            is_known=lambda endpoint: endpoint in self.known,
        )

    def _write(self, data: bytes) -> int:
        self.lines.append(data)
        return len(data)

    def events(self) -> list[tuple[str, str, int]]:
        found = [json.loads(line) for line in b"".join(self.lines).splitlines()]
        return [(item["event"], item["endpoint"], item["unreached"]) for item in found]


@pytest.mark.parametrize(
    ("error", "kind"),
    [
        (NobodyListensError("x"), "refused"),
        (ConnectTimeoutError("x"), "timed-out"),
        (ConnectError("x"), "other"),
    ],
)
def test_failures_are_counted_by_kind(error: ConnectError, kind: str) -> None:
    case = Records()
    for _ in range(3):
        case.records.record_failure(ONE, error)
    assert case.counters.counts[("connect_failures", (kind,))] == 3
    assert case.events() == [("endpoint:unreached", "one", 1)]


def test_unreached_endpoints_are_known_until_a_connection_is_established() -> None:
    case = Records()
    case.records.record_success(ONE)
    case.records.record_failure(ONE, ConnectTimeoutError("x"))
    case.records.record_failure(OTHER, ConnectTimeoutError("x"))
    assert case.records.unreached == 2
    case.records.record_success(ONE)
    assert case.events() == [
        ("endpoint:unreached", "one", 1),
        ("endpoint:unreached", "other", 2),
        ("endpoint:reached", "one", 1),
    ]
    case.known.remove(OTHER)
    case.records.remove_unknown()
    assert case.records.unreached == 0
