"""Issues request ids to callers."""

from typing import Protocol

import msgspec
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.gateway._refusals import invalid
from fuchsiaroute.ids import OrganisationId, RequestId
from fuchsiaroute.verdict import Refusal

MAX_IDS_PER_CALL = 100


class RequestIds(Protocol):
    """Issues ids for requests that only this entry dispatches."""

    def issue(self, organisation: OrganisationId) -> RequestId:
        """Return a new id for a request of ``organisation``."""

    @property
    def issued_lifetime(self) -> Milliseconds:
        """Return the time for which an issued id may be used."""


class IssuedIds(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to ``POST /v1/request-ids``."""

    request_ids: tuple[RequestId, ...]
    #: Time for which the ids may be used, on this entry only, in milliseconds.
    lifetime: Milliseconds


def issue_ids(
    request_ids: RequestIds, organisation: OrganisationId, count: str
) -> Result[IssuedIds, Refusal]:
    """Return ``count`` ids; ``count`` is the query parameter as received."""
    if not count.isascii() or not count.isdigit():
        return Failure(invalid("count must be a number"))
    if (
        len(count) > len(str(MAX_IDS_PER_CALL))
        or not 1 <= int(count) <= MAX_IDS_PER_CALL
    ):
        return Failure(invalid(f"count must be from 1 to {MAX_IDS_PER_CALL}"))
    issued = tuple(request_ids.issue(organisation) for _ in range(int(count)))
    return Success(IssuedIds(request_ids=issued, lifetime=request_ids.issued_lifetime))
