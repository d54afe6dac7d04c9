"""How the serving of a request ended."""

from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import EndpointId, ModelId, VersionId
from fuchsiaroute.pool import NoChoice, QueueRefusal


class Ending(Enum):
    """What the caller got."""

    #: An endpoint's response, whole.
    ANSWERED = "answered"
    #: Nothing yet: no endpoint has a place.
    NO_PLACE = "no-place"
    #: Nothing yet: the attempts failed.
    ATTEMPTS_FAILED = "attempts-failed"
    #: A stream that could not be brought to its end.
    BROKEN_OFF = "broken-off"


@dataclass(frozen=True, kw_only=True)
class CallResult:
    """The ending, with what the log needs of it."""

    ending: Ending
    endpoint: EndpointId | None = None
    version: VersionId | None = None
    model: ModelId | None = None
    #: Of the model that answered, from 0 to 1.
    confidence: float | None = None
    #: Whether a larger model answered after a weak answer.
    is_escalated: bool = False
    #: Times that a broken stream was continued.
    resumptions: int = 0
    #: Why no place was given, if none was.
    no_place: NoChoice | None = None
    retry_after: Milliseconds = Milliseconds(0)


def without_place(refusal: QueueRefusal) -> CallResult:
    """Return the result of a request that the gate has refused."""
    return CallResult(
        ending=Ending.NO_PLACE,
        no_place=refusal.reason,
        retry_after=refusal.retry_after,
    )
