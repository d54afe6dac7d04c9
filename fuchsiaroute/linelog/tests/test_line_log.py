"""Rate limit, buffer limit and reports of dropped lines."""

import json

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.linelog._line_log import (
    BURST_LINES,
    LINES_PER_SECOND,
    MAX_PENDING_BYTES,
)


class Output:
    def __init__(self) -> None:
        self.data = b""
        self.free_bytes = 10**9

    def write(self, data: bytes) -> int:
        accepted = data[: self.free_bytes]
        self.free_bytes -= len(accepted)
        self.data += accepted
        return len(accepted)

    @property
    def lines(self) -> list[dict]:
        return [json.loads(line) for line in self.data.splitlines()]


def new_log(clock: ManualClock, output: Output) -> LineLog:
    return LineLog(clock=clock, instance="i", write=output.write)


def test_line_has_both_clocks_the_event_and_its_fields() -> None:
    clock, output = ManualClock(), Output()
    new_log(clock, output).write("request:answered", request="q", took_ms=3)
    (line,) = output.lines
    assert line["event"] == "request:answered"
    assert (line["request"], line["took_ms"], line["instance"]) == ("q", 3, "i")
    assert line["steady_ms"] == clock.now()


def test_burst_of_one_event_is_limited_without_dropping_others() -> None:
    """A surge of callers writes many lines of the same event."""
    clock, output = ManualClock(), Output()
    log = new_log(clock, output)
    for _ in range(100):
        for _ in range(100):
            log.write("request:answered")
        clock.tick(Milliseconds(100))
    log.write("rollout:progress")
    events = [line["event"] for line in output.lines]
    allowed = BURST_LINES + 10 * LINES_PER_SECOND
    assert events.count("request:answered") <= allowed
    assert events[-1] == "rollout:progress"
    clock.tick(Milliseconds(2_000))
    log.flush()
    report = output.lines[-1]
    assert report["event"] == "log:lines-left-out"
    written = events.count("request:answered")
    assert report["lines"] == {"request:answered": 10_000 - written}


def test_buffer_is_bounded_if_the_output_is_not_read() -> None:
    clock, output = ManualClock(), Output()
    output.free_bytes = 0
    log = new_log(clock, output)
    for _ in range(10_000):
        log.write("event", text="x" * 200)
        clock.tick(Milliseconds(50))
    assert len(log._pending) <= MAX_PENDING_BYTES
    output.free_bytes = 10**9
    clock.tick(Milliseconds(2_000))
    log.flush()
    assert output.lines[-1]["event"] == "log:lines-left-out"


def test_partially_written_line_is_completed_by_flush() -> None:
    clock, output = ManualClock(), Output()
    output.free_bytes = 10
    log = new_log(clock, output)
    log.write("event")
    output.free_bytes = 10**9
    log.flush()
    assert output.lines[0]["event"] == "event"
