"""File object for log lines that neither blocks nor raises an exception."""

import os
import select
from collections.abc import Callable

#: Largest buffer of lines that the output does not accept yet.
MAX_PENDING_BYTES = 262_144
#: Buffered bytes up to which dropped lines are reported, so that the report fits.
MAX_PENDING_BYTES_FOR_REPORT = MAX_PENDING_BYTES // 2
#: Maximum time at the end of the process until the output accepts bytes.
MAX_CLOSING_WAIT_SECONDS = 1.0
_NOT_READ = "the output was not read"

#: Receives the number of dropped lines and why the output accepted none.
OnRecovered = Callable[[int, str], None]


class LogOutput:
    """
    Writes lines to a non-blocking descriptor, since requests are served meanwhile.

    Lines that the output does not accept are buffered. Those that do not fit are
    dropped and counted; ``on_recovered`` is called once the output accepts lines again.
    """

    def __init__(self, descriptor: int, *, on_recovered: OnRecovered) -> None:
        self._descriptor = descriptor
        self._on_recovered = on_recovered
        self._pending = bytearray()
        self._dropped = 0
        self._reason = ""

    def write(self, line: bytes) -> None:
        """Buffer a line, or count it as dropped."""
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._dropped += 1
            self._reason = self._reason or _NOT_READ
        else:
            self._pending += line

    def flush(self) -> None:
        """Write the buffered lines that the output accepts."""
        is_working = self._drain()
        has_room = len(self._pending) <= MAX_PENDING_BYTES_FOR_REPORT
        if self._reason and is_working and has_room:
            dropped, reason = self._dropped, self._reason
            self._dropped, self._reason = 0, ""
            self._on_recovered(dropped, reason)

    def finish(self) -> None:
        """Write the buffered lines; wait while the output accepts some in time."""
        pending = len(self._pending) + 1
        while 0 < len(self._pending) < pending:
            pending = len(self._pending)
            select.select([], [self._descriptor], [], MAX_CLOSING_WAIT_SECONDS)
            self.flush()

    def _drain(self) -> bool:
        """Write buffered lines; return False if the output fails."""
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            return True
        except OSError as error:
            self._reason = error.strerror or repr(error)
            return False
        return True
