"""Client of the operators' interface, for the command line and for programs."""

from dataclasses import dataclass, replace
from enum import Enum
from typing import TypeVar

import httpx
import msgspec
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.decoding import DECODER_ERRORS
from fuchsiaroute.operators._messages import (
    ChangeOutcome,
    ChangeReply,
    ConfigurationReply,
    EntryStatus,
    Explanation,
    ExplanationRequest,
    OperatorError,
    SubmittedChange,
)

#: Submissions of one change, all with the same change id.
MAX_SUBMIT_ATTEMPTS = 5
#: Delay before the second attempt; doubles with each further attempt.
INITIAL_BACKOFF = Milliseconds(250)
#: Outcomes after which the same change is submitted again.
_RETRIED_OUTCOMES = frozenset({ChangeOutcome.UNKNOWN, ChangeOutcome.NOT_WRITTEN})

_Message = TypeVar("_Message")


class ClientErrorKind(Enum):
    """Kind of a failed call, by whether the call may have taken effect."""

    #: The entry refused the call; it had no effect.
    REFUSED = "refused"
    #: No connection to the entry; the call had no effect.
    UNREACHABLE = "unreachable"
    #: No complete answer arrived; a change may have taken effect.
    NO_ANSWER = "no-answer"


@dataclass(frozen=True, kw_only=True)
class ClientError:
    """Why a call to an entry gave no usable answer."""

    kind: ClientErrorKind
    message: str


class OperatorClient:
    """Calls the operators' interface of one entry."""

    def __init__(self, http: httpx.AsyncClient, *, clock: Clock, key: str = "") -> None:
        self._http = http
        self._clock = clock
        self._headers = {"authorization": f"Bearer {key}"} if key else {}

    async def status(self) -> Result[EntryStatus, ClientError]:
        """Return the state of the entry."""
        return await self._call("GET", "/v1/status", EntryStatus)

    async def in_force(self) -> Result[ConfigurationReply, ClientError]:
        """Return the configuration that the entry enforces."""
        return await self._call("GET", "/v1/configuration", ConfigurationReply)

    async def explain(
        self, question: ExplanationRequest
    ) -> Result[Explanation, ClientError]:
        """Return how a request would be routed."""
        body = msgspec.json.encode(question)
        return await self._call("POST", "/v1/explain", Explanation, body=body)

    async def submit(self, change: SubmittedChange) -> Result[ChangeReply, ClientError]:
        """
        Submit ``change`` until its outcome is known or the attempts run out.

        Submitting it again after a lost answer is safe: a change id takes effect at
        most once. The last reply may still be ``UNKNOWN``.
        """
        body = msgspec.json.encode(change)
        backoff = INITIAL_BACKOFF
        may_be_in_force = False
        for attempt in range(MAX_SUBMIT_ATTEMPTS):
            if attempt:
                await self._clock.sleep(backoff)
                backoff = Milliseconds(2 * backoff)
            result = await self._call("POST", "/v1/changes", ChangeReply, body=body)
            if _is_final(result):
                return result
            may_be_in_force = may_be_in_force or _may_have_taken_effect(result)
        return (
            result.map(_with_unknown_outcome).alt(_as_no_answer)
            if may_be_in_force
            else result
        )

    async def _call(
        self, method: str, path: str, message: type[_Message], *, body: bytes = b""
    ) -> Result[_Message, ClientError]:
        try:
            response = await self._http.request(
                method, path, content=body, headers=self._headers
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            kind = ClientErrorKind.UNREACHABLE
            return Failure(ClientError(kind=kind, message=str(error)))
        except httpx.HTTPError as error:
            return Failure(_no_answer(f"{type(error).__name__}: {error}"))
        try:
            return Success(msgspec.json.decode(response.content, type=message))
        except DECODER_ERRORS:
            return Failure(_error_of(response))


def _is_final(result: Result[ChangeReply, ClientError]) -> bool:
    match result:
        case Success(reply):
            return reply.outcome not in _RETRIED_OUTCOMES
        case Failure(ClientError(kind=kind)):
            return kind is ClientErrorKind.REFUSED
    return False


def _may_have_taken_effect(result: Result[ChangeReply, ClientError]) -> bool:
    """Return whether the change may have taken effect in this attempt."""
    match result:
        case Success(reply):
            return reply.outcome is ChangeOutcome.UNKNOWN
        case Failure(ClientError(kind=kind)):
            return kind is ClientErrorKind.NO_ANSWER
    return True


def _with_unknown_outcome(reply: ChangeReply) -> ChangeReply:
    """Return ``reply`` for all attempts, one of which may have taken effect."""
    return replace(reply, outcome=ChangeOutcome.UNKNOWN)


def _as_no_answer(error: ClientError) -> ClientError:
    return replace(error, kind=ClientErrorKind.NO_ANSWER)


def _error_of(response: httpx.Response) -> ClientError:
    try:
        error = msgspec.json.decode(response.content, type=OperatorError)
    except DECODER_ERRORS:
        return _no_answer(f"status {response.status_code} with an unrecognised body")
    return ClientError(kind=ClientErrorKind.REFUSED, message=error.message)


def _no_answer(message: str) -> ClientError:
    return ClientError(kind=ClientErrorKind.NO_ANSWER, message=message)
