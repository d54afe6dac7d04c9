"""A log of JSON lines that does not block if its output is not read."""

import os
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from fuchsiaroute.clock import Clock, Milliseconds

#: Size and refill rate of each event's token bucket. A line has about 300 bytes, so
#: one event writes at most 60 kB per second.
BURST_LINES = 400
LINES_PER_SECOND = 200
#: Largest buffer of lines that the output does not accept yet.
MAX_PENDING_BYTES = 262_144
#: Buffered bytes above which dropped lines are not reported: the report itself could be
#: dropped, and the counts with it.
MAX_PENDING_BYTES_FOR_REPORT = MAX_PENDING_BYTES // 2
#: Time between two reports of dropped lines.
REPORT_INTERVAL = Milliseconds(1_000)
_STDOUT_DESCRIPTOR = 1
MILLISECONDS_PER_SECOND = 1_000


def _write_to_stdout(data: bytes) -> int:
    """Return the number of bytes written to standard output; 0 if it would block."""
    try:
        return os.write(_STDOUT_DESCRIPTOR, data)
    except BlockingIOError:
        return 0


@dataclass(kw_only=True)
class _OutputFailure:
    """Writes that failed since the output last accepted data."""

    #: Error of the first failed write.
    reason: str
    #: Monotonic time of the first failed write.
    since: Milliseconds
    failed_writes: int = 0


class LineLog:
    """
    Writes one line per event with its time, name and fields.

    The rate is limited per event name. Lines above the limit, and lines that do not
    fit into the buffer, are dropped; their number is logged by event name.

    No method raises an exception if a write to the output fails, since they are called
    while requests are served. The failure is logged once the output works again.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        instance: str,
        write: Callable[[bytes], int] = _write_to_stdout,
    ) -> None:
        self._clock = clock
        self._instance = instance
        self._write_bytes = write
        self._pending = bytearray()
        self._tokens: dict[str, tuple[float, Milliseconds]] = {}
        self._dropped: Counter[str] = Counter()
        self._reported_at = clock.now()
        self._failure: _OutputFailure | None = None

    @staticmethod
    def unblock_standard_output() -> None:
        """Make writes to standard output non-blocking."""
        os.set_blocking(_STDOUT_DESCRIPTOR, False)

    def write(self, event: str, **fields: Any) -> None:
        """Write a line, or count it as dropped."""
        if not self._take_token(event):
            self._dropped[event] += 1
            return
        line = msgspec.json.encode(
            {
                "time_ms": self._clock.wall(),
                "steady_ms": self._clock.now(),
                "instance": self._instance,
                "event": event,
                **fields,
            }
        )
        self._append(event, line)

    def flush(self) -> None:
        """Write buffered lines, and report dropped lines once the buffer has room."""
        self._drain()
        now = self._clock.now()
        is_due = now - self._reported_at >= REPORT_INTERVAL
        has_room = len(self._pending) <= MAX_PENDING_BYTES_FOR_REPORT
        if self._dropped and is_due and has_room:
            self._reported_at = now
            counts = dict(self._dropped)
            self._dropped.clear()
            self.write("log:lines-left-out", lines=counts)

    def _append(self, event: str, line: bytes) -> None:
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._dropped[event] += 1
            return
        self._pending += line
        self._pending += b"\n"
        self._drain()

    def _drain(self) -> None:
        while self._pending:
            try:
                written = self._write_bytes(bytes(self._pending))
            except OSError as error:
                self._record_failed_write(error)
                return
            if written <= 0:
                return
            del self._pending[:written]
        self._report_failed_writes()

    def _record_failed_write(self, error: OSError) -> None:
        if self._failure is None:
            self._failure = _OutputFailure(
                reason=error.strerror or repr(error), since=self._clock.now()
            )
        self._failure.failed_writes += 1

    def _report_failed_writes(self) -> None:
        failure = self._failure
        if failure is not None:
            self._failure = None
            self.write(
                "log:output-failed",
                reason=failure.reason,
                failed_writes=failure.failed_writes,
                failing_ms=self._clock.now() - failure.since,
            )

    def _take_token(self, event: str) -> bool:
        now = self._clock.now()
        tokens, filled_at = self._tokens.get(event, (float(BURST_LINES), now))
        tokens += (now - filled_at) / MILLISECONDS_PER_SECOND * LINES_PER_SECOND
        tokens = min(tokens, float(BURST_LINES))
        has_token = tokens >= 1.0
        self._tokens[event] = (tokens - 1.0 if has_token else tokens, now)
        return has_token
