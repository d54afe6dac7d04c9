"""Refusals: typed errors for callers."""

from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.verdict._verdict import Verdict


class RefusalReason(Enum):
    """Why a request was refused or failed."""

    #: The request is malformed.
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
    #: The session pin is forged, expired or was issued for another session.
    INVALID_PIN = "invalid-pin"
    #: The organisation has reached its cost limit.
    COST_LIMIT = "cost-limit"
    #: The organisation's fair share or the admission limit is exhausted.
    OVERLOADED = "overloaded"
    #: No endpoint that may serve the request is available.
    NO_ENDPOINT = "no-endpoint"
    #: The deadline has passed or cannot be met.
    DEADLINE = "deadline"
    #: A request with this id has been accepted before.
    DUPLICATE = "duplicate"
    #: This entry is not ready, isolated or stopping.
    NOT_READY = "not-ready"
    #: The platform's store did not answer in time.
    STORE_UNAVAILABLE = "store-unavailable"
    #: The endpoint failed, stopped responding or aborted its answer.
    ENDPOINT_FAILED = "endpoint-failed"
    #: An unhandled error in the entry.
    INTERNAL = "internal-error"


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why a request has no complete answer; the error side of a ``Result``."""

    reason: RefusalReason
    #: Whether the request may have run.
    verdict: Verdict
    #: Sentence for the caller; never contains names of other organisations' models.
    message: str
    #: Delay after which a retry is useful, in milliseconds; 0 for no advice.
    retry_after: Milliseconds = Milliseconds(0)
