"""Results of serving a request."""

from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import EndpointId, ModelId, VersionId
from fuchsiaroute.pool import NoChoice, QueueRefusal


class Ending(Enum):
    """How serving a request ended."""

    #: The complete response of an endpoint was sent.
    ANSWERED = "answered"
    #: Nothing was sent: no endpoint was reserved.
    NO_PLACE = "no-place"
    #: Nothing was sent: all attempts failed.
    ATTEMPTS_FAILED = "attempts-failed"
    #: The stream was aborted before its end.
    BROKEN_OFF = "broken-off"


class Silence(Enum):
    """What becomes of a request that no other endpoint takes over."""

    #: Its endpoint may go on with it.
    KEPT = "kept"
    #: Its run was ended; no endpoint works on it.
    GIVEN_UP = "given-up"


@dataclass(frozen=True, kw_only=True)
class NoReservation:
    """The queue refused the request; nothing was sent in this attempt."""

    refusal: QueueRefusal


@dataclass(frozen=True, kw_only=True)
class CallResult:
    """How serving a request ended, with details for the log."""

    ending: Ending
    endpoint: EndpointId | None = None
    version: VersionId | None = None
    model: ModelId | None = None
    #: Confidence of the model that answered, from 0 to 1.
    confidence: float | None = None
    #: Whether a larger model replaced a weak answer.
    is_escalated: bool = False
    #: How often a broken stream was resumed at another endpoint.
    resumptions: int = 0
    #: Why no endpoint was reserved, if the queue refused.
    no_place: NoChoice | None = None
    retry_after: Milliseconds = Milliseconds(0)
    #: Expected wait when the queue refused, and the requests that were before this one.
    expected_wait: Milliseconds = Milliseconds(0)
    ahead: int = 0


def refused_result(refusal: QueueRefusal) -> CallResult:
    """Return the result of a request that the queue refused."""
    return CallResult(
        ending=Ending.NO_PLACE,
        no_place=refusal.reason,
        retry_after=refusal.retry_after,
        expected_wait=refusal.expected_wait,
        ahead=refusal.ahead,
    )
