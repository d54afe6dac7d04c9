"""A claim: the right to dispatch one request, and its states."""

from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.idempotency._record import ClaimRecord, ClaimToken
from fuchsiaroute.request import Request


class ClaimState(Enum):
    """State of a claim within the incarnation that made it."""

    #: The put-if-absent has no answer yet.
    PENDING = "pending"
    #: The store did not confirm the write in time; a retry uses the same token.
    UNRESOLVED = "unresolved"
    #: The claim is granted; the request may be dispatched.
    HELD = "held"
    #: The request has ended and is not dispatched again.
    CLOSED = "closed"


class Claim:
    """The right of this incarnation to dispatch one non-idempotent request."""

    def __init__(self, *, request: Request, key: str, record: ClaimRecord) -> None:
        self._request = request
        self._key = key
        self._record = record
        self._state = ClaimState.PENDING

    @property
    def request(self) -> Request:
        """Return the claimed request."""
        return self._request

    @property
    def key(self) -> str:
        """Return the key of the claim's record."""
        return self._key

    @property
    def record(self) -> ClaimRecord:
        """Return the claim's record as last written or to be written."""
        return self._record

    @property
    def token(self) -> ClaimToken:
        """Return the token that distinguishes this attempt to claim from others."""
        return self._record.token

    @property
    def state(self) -> ClaimState:
        """Return the state."""
        return self._state

    def may_dispatch(self, now: Milliseconds) -> bool:
        """
        Return whether the request may be sent to an endpoint at Unix time ``now``.

        Call it right before each dispatch, with no ``await`` in between: the process
        may have been paused since the claim was made.
        """
        return self._state is ClaimState.HELD and now <= self._request.deadline

    def set_state(self, state: ClaimState) -> None:
        """Set the state; called by ``ClaimTable`` only."""
        self._state = state

    def close(self, record: ClaimRecord) -> None:
        """End the claim with ``record``; called by ``ClaimTable`` only."""
        self._record = record
        self._state = ClaimState.CLOSED
