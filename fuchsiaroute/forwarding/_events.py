"""Splitting an event stream at event boundaries."""

import re

from fuchsiaroute.decoding import parse_digits

_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)
_END = re.compile(rb"\r?\n\r?\n")
#: Bytes of an event boundary that has not been received in full.
_MAX_PARTIAL_END = 3
_COMMENT = b":"
#: Maximum size of one event; a longer one is treated as a broken stream.
MAX_EVENT_BYTES = 1_048_576
#: Maximum size of a stream, as separators may come without end. Answers are some
#: hundred kilobytes at most.
MAX_STREAM_BYTES = 16 * MAX_EVENT_BYTES


class EventStreamError(Exception):
    """Bytes that cannot be relayed as the next events of a stream."""


class EventTooLongError(EventStreamError):
    """No event boundary within ``MAX_EVENT_BYTES``, or no end of the stream."""


class EventOutOfOrderError(EventStreamError):
    """An event in the rest of a stream that does not follow those before it."""


class EventSplitter:
    """
    Buffers the bytes of an event until it is complete.

    If a stream breaks off, the caller has then received complete events only, and the
    stream can be resumed after the last of them.
    """

    def __init__(self) -> None:
        self._pending = bytearray()
        self._size = 0
        #: Id that the events of the rest of a stream must exceed; None if unchecked.
        self._floor: int | None = None
        #: Id of the last complete event, as received; None before the first.
        self.last_id: bytes | None = None
        #: Number of complete events, and of those that are not comments.
        self.count = 0
        self.progress = 0

    @property
    def pending_bytes(self) -> int:
        """Return the size of the event that has begun."""
        return len(self._pending)

    @property
    def has_incomplete(self) -> bool:
        """Return whether an event has begun and not ended."""
        return bool(self._pending.strip(b"\r\n"))

    def feed(self, data: bytes) -> bytes:
        """Add ``data``; return the buffered bytes up to the last event boundary."""
        self._size += len(data)
        if self._size > MAX_STREAM_BYTES:
            raise EventTooLongError(f"no end of the stream in {self._size} bytes")
        # What was pending holds no boundary, but the beginning of one.
        start = max(len(self._pending) - _MAX_PARTIAL_END, 0)
        self._pending += data
        end = 0
        for found in _END.finditer(self._pending, start):
            end = found.end()
        if not end:
            if len(self._pending) > MAX_EVENT_BYTES:
                raise EventTooLongError(
                    f"no event boundary in {len(self._pending)} bytes"
                )
            return b""
        complete = bytes(self._pending[:end])
        del self._pending[:end]
        if self._floor is not None:
            self._check_order(complete, self._floor)
        ids = _ID.findall(complete)
        self.count += len(_END.findall(complete))
        self.progress += _count_events(complete)
        if ids:
            self.last_id = ids[-1]
        return complete

    def completes(self, data: bytes) -> bool:
        """Return whether ``data`` would complete an event that is not a comment."""
        whole = bytes(self._pending) + data
        end = max((found.end() for found in _END.finditer(whole)), default=0)
        return _count_events(whole[:end]) > 0

    def begin_rest(self) -> None:
        """
        Prepare for the rest of the stream from another response.

        It begins with the incomplete event, which is discarded. Its events must follow
        the last complete one: a response that starts the stream anew, or that tells of
        an error in an event without an id, does not go on with it.
        """
        self.drop_incomplete()
        self._floor = parse_digits(self.last_id) if self.last_id else None

    def drop_incomplete(self) -> None:
        """Discard the event that has begun, and the memory that it takes."""
        self._pending.clear()

    def _check_order(self, complete: bytes, floor: int) -> None:
        for event in _END.split(complete):
            if all(line.startswith(_COMMENT) for line in event.splitlines()):
                continue
            found = _ID.search(event)
            number = parse_digits(found[1].strip()) if found else None
            if number is None or number <= floor:
                self._pending.clear()
                raise EventOutOfOrderError(f"the event after {floor} has id {number}")
            floor = number
        self._floor = floor


def _count_events(complete: bytes) -> int:
    """Return the number of complete events that have a line other than a comment."""
    return sum(
        any(line and not line.startswith(_COMMENT) for line in event.splitlines())
        for event in _END.split(complete)
    )
