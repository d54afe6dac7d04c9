"""Request ids that the entry issues to callers."""

from typing import Protocol

import msgspec
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.gateway._refusals import invalid
from fuchsiaroute.ids import OrganisationId, RequestId
from fuchsiaroute.verdict import Refusal

#: Ids that a caller may ask for at once.
MAX_COUNT = 100


class RequestIds(Protocol):
    """Issues ids of requests that this entry alone dispatches."""

    def issue(self, organisation: OrganisationId) -> RequestId:
        """Return a fresh id for a request of ``organisation``."""

    @property
    def issued_lifetime(self) -> Milliseconds:
        """Return the time in which an issued id may be used."""


class IssuedIds(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to ``POST /v1/request-ids``."""

    request_ids: tuple[RequestId, ...]
    #: Time in which the ids may be used, at this entry only, in milliseconds.
    lifetime: Milliseconds


def issue_ids(
    request_ids: RequestIds, organisation: OrganisationId, count: str
) -> Result[IssuedIds, Refusal]:
    """Return as many ids for ``organisation`` as ``count`` says."""
    if not count.isascii() or not count.isdigit():
        return Failure(invalid("count must be a number"))
    if len(count) > len(str(MAX_COUNT)) or not 1 <= int(count) <= MAX_COUNT:
        return Failure(invalid(f"count must be from 1 to {MAX_COUNT}"))
    issued = tuple(request_ids.issue(organisation) for _ in range(int(count)))
    return Success(IssuedIds(request_ids=issued, lifetime=request_ids.issued_lifetime))
