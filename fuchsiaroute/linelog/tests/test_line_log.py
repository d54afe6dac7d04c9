"""Rate limit, buffer limit and reports of dropped lines."""

import errno
import json
import os
import subprocess
import sys

import pytest

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
        self.error_number: int | None = None

    def write(self, data: bytes) -> int:
        if self.error_number is not None:
            raise OSError(self.error_number, os.strerror(self.error_number))
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


@pytest.mark.parametrize(
    "error_number", [errno.EPIPE, errno.ENOSPC, errno.EIO, errno.EBADF]
)
def test_failing_output_raises_nothing_and_is_reported_once_it_works(
    error_number: int,
) -> None:
    """An exception of the log in a request handler would cut off an answer."""
    clock, output = ManualClock(), Output()
    output.error_number = error_number
    log = new_log(clock, output)
    log.write("request:answered", request="first")
    clock.tick(Milliseconds(500))
    log.write("request:answered", request="second")
    log.flush()
    output.error_number = None
    log.flush()
    first, second, report = output.lines
    assert (first["request"], second["request"]) == ("first", "second")
    assert report["event"] == "log:output-failed"
    assert report["reason"] == os.strerror(error_number)
    assert (report["failed_writes"], report["failing_ms"]) == (3, 500)
    log.flush()
    assert len(output.lines) == 3


@pytest.mark.parametrize("error_number", [None, errno.ENOSPC])
def test_no_count_of_dropped_lines_is_lost(error_number: int | None) -> None:
    """A report that did not fit into the full buffer lost the counts it held."""
    clock, output = ManualClock(), Output()
    output.free_bytes = 0
    output.error_number = error_number
    log = new_log(clock, output)
    for _ in range(2_000):
        log.write("event", text="x" * 200)
        clock.tick(Milliseconds(50))
        log.flush()
    assert len(log._pending) <= MAX_PENDING_BYTES
    output.free_bytes = 10**9
    output.error_number = None
    log.flush()
    events = [line["event"] for line in output.lines]
    report = output.lines[-1]
    assert report["event"] == "log:lines-left-out"
    assert report["lines"] == {"event": 2_000 - events.count("event")}


def test_closed_standard_output_does_not_end_the_process() -> None:
    """The reader of the log is restarted while the instance goes on serving."""
    program = (
        "import sys\n"
        "from fuchsiaroute.clock import SystemClock\n"
        "from fuchsiaroute.linelog import LineLog\n"
        "LineLog.unblock_standard_output()\n"
        "log = LineLog(clock=SystemClock(), instance='i')\n"
        "sys.stdin.read()\n"
        "log.write('request:answered')\n"
        "log.flush()\n"
        "print('serving', file=sys.stderr)\n"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", program],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    assert process.stdout is not None
    process.stdout.close()
    process.stdout = None
    _, errors = process.communicate(timeout=30)
    assert errors == b"serving\n"
    assert process.returncode == 0
