"""State of an event stream that is being relayed, over all its responses."""

from dataclasses import dataclass, field

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.forwarding._endpoint_client import OpenResponse
from fuchsiaroute.forwarding._event_pace import EventPace
from fuchsiaroute.forwarding._events import MAX_EVENT_BYTES, EventSplitter
from fuchsiaroute.forwarding._held_answer import HeldAnswer
from fuchsiaroute.http1 import ExchangeError
from fuchsiaroute.platform import EventId

#: Reasons in the log for streams whose end, however it is marked, is not one.
_INSIDE_EVENT = "the stream ended inside an event"
_BEFORE_EVENT = "the stream ended before an event that had begun elsewhere"
_WITHOUT_EVENT = "the rest of the stream has no event and no marked end"


@dataclass(slots=True)
class RelayState:
    """State of a stream that is being relayed."""

    response: OpenResponse
    #: Weak answer to relay if ``response`` ends before its first event.
    fallback: HeldAnswer | None = None
    splitter: EventSplitter = field(default_factory=EventSplitter)
    #: Pace of ``response``.
    pace: EventPace = field(default_factory=EventPace)
    #: Whether ``response`` has delivered an event.
    has_event: bool = False
    #: When ``response`` delivered its first event, if it has.
    first_event_at: Milliseconds = Milliseconds(0)
    #: Whether a former response broke off inside the next event.
    is_event_missing: bool = False
    resumptions: int = 0
    #: When the latest event was complete, or ``response`` was taken.
    progress_at: Milliseconds = Milliseconds(0)
    #: Bytes of ``response`` that were read while another endpoint was looked for.
    ahead: bytes = b""
    #: Whether the end of ``response`` was read meanwhile.
    has_ended: bool = False

    async def read(self) -> bytes:
        """Return the next bytes of the response; empty at its end."""
        if self.ahead:
            data, self.ahead = self.ahead, b""
            return data
        if self.has_ended:
            return b""
        self._keep()
        return await self.response.read()

    async def wait_for_event(self) -> bool:
        """
        Wait until a further event is complete, or the response has ended.

        Return False if the response breaks off, or an event does not end. Single bytes
        and comments are no sign that an endpoint goes on: a stalled one may send them
        for ever.
        """
        while not (self.has_ended or self.splitter.completes(self.ahead)):
            if len(self.ahead) > MAX_EVENT_BYTES:
                return False
            self._keep()
            try:
                data = await self.response.read()
            except ExchangeError:
                return False
            self.ahead += data
            self.has_ended = not data
        return True

    def drop_incomplete(self) -> None:
        """
        Discard the event that ``response`` has begun, once it is given up.

        Another response may be long in coming, and the memory counts no longer.
        """
        self.is_event_missing |= self.splitter.has_incomplete
        self.splitter.drop_incomplete()
        self.ahead = b""

    def _keep(self) -> None:
        # The next bytes are added to a copy of those that are kept.
        self.response.keep(2 * (self.splitter.pending_bytes + len(self.ahead)))


def early_end(state: RelayState) -> str | None:
    """Return why the end of a response is not that of the stream; None if it is."""
    if state.splitter.has_incomplete:
        return _INSIDE_EVENT
    if state.is_event_missing:
        return _BEFORE_EVENT
    if state.has_event or not state.resumptions:
        return None
    # All events may have been relayed before. An empty answer without a mark of its end
    # cannot be told from one that its endpoint has stopped to write.
    is_empty_stream = state.response.fields.is_event_stream
    is_marked = not state.response.ends_with_connection
    return None if is_empty_stream and is_marked else _WITHOUT_EVENT


def last_event_id(state: RelayState) -> EventId | None:
    """Return the id of the last event that was relayed."""
    last_id = state.splitter.last_id
    return EventId(last_id.decode("latin-1")) if last_id else None
