"""Refusals: typed errors that a caller can act on."""

from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.verdict._verdict import Verdict


class RefusalReason(Enum):
    """Why a request was refused or failed."""

    #: The request could not be understood.
    INVALID_REQUEST = "invalid-request"
    #: The request exceeds a size limit.
    TOO_LARGE = "too-large"
    #: The request did not arrive within the time limit.
    TOO_SLOW = "too-slow"
    #: The caller's key is unknown.
    UNAUTHENTICATED = "unauthenticated"
    #: No permitted model or service matches the request.
    NOT_PERMITTED = "not-permitted"
    #: The session's version has been withdrawn.
    VERSION_WITHDRAWN = "version-withdrawn"
    #: The session pin is forged, expired or belongs to somebody else.
    INVALID_PIN = "invalid-pin"
    #: The organisation has reached its cost limit.
    COST_LIMIT = "cost-limit"
    #: The organisation's fair share or the admission limit is exhausted.
    OVERLOADED = "overloaded"
    #: No endpoint that may serve the request is in service.
    NO_ENDPOINT = "no-endpoint"
    #: The deadline has passed or cannot be met.
    DEADLINE = "deadline"
    #: A request with this id has been accepted before.
    DUPLICATE = "duplicate"
    #: This entry is not ready, isolated or stopping.
    NOT_READY = "not-ready"
    #: The platform's store did not answer in time.
    STORE_UNAVAILABLE = "store-unavailable"
    #: The endpoint failed, fell silent or broke off its answer.
    ENDPOINT_FAILED = "endpoint-failed"
    #: The entry failed in a way that it does not foresee.
    INTERNAL = "internal-error"


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """A request that has no whole answer; the error side of a ``Result``."""

    #: The class of the failure.
    reason: RefusalReason
    #: Whether the request may have run.
    verdict: Verdict
    #: One sentence for the caller; never names another organisation's models.
    message: str
    #: Earliest useful time of a retry in milliseconds from now; 0 for no advice.
    retry_after: Milliseconds = Milliseconds(0)
