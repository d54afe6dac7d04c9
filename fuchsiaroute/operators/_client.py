"""Client of the operators' interface, for the command line and for programs."""

from dataclasses import dataclass, replace
from enum import Enum
from typing import TypeVar

import httpx
import msgspec
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
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

#: Attempts to learn the outcome of one change; each repeats the same change id.
SUBMIT_ATTEMPTS = 5
FIRST_BACKOFF = Milliseconds(250)
#: Outcomes after which the same change is submitted again.
_UNSETTLED = frozenset({ChangeOutcome.UNKNOWN, ChangeOutcome.NOT_WRITTEN})

_Message = TypeVar("_Message")


class ClientErrorKind(Enum):
    """What an error of the client says about the call."""

    #: The entry refused the call; it had no effect.
    REFUSED = "refused"
    #: The call never left; it had no effect.
    UNREACHABLE = "unreachable"
    #: No whole answer arrived; a change may have taken effect.
    NO_ANSWER = "no-answer"


@dataclass(frozen=True, kw_only=True)
class ClientError:
    """A call of an entry that gave no usable answer."""

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

        A lost answer is resolved by the same change with the same id, which takes
        effect at most once. The last reply may still be ``UNKNOWN``.
        """
        body = msgspec.json.encode(change)
        backoff = FIRST_BACKOFF
        is_in_doubt = False
        for attempt in range(SUBMIT_ATTEMPTS):
            if attempt:
                await self._clock.sleep(backoff)
                backoff = Milliseconds(2 * backoff)
            result = await self._call("POST", "/v1/changes", ChangeReply, body=body)
            if _is_settled(result):
                return result
            is_in_doubt = is_in_doubt or _is_in_doubt(result)
        return result.map(_doubtful).alt(_doubtful_error) if is_in_doubt else result

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
        except msgspec.MsgspecError:
            return Failure(_error(response))


def _is_settled(result: Result[ChangeReply, ClientError]) -> bool:
    match result:
        case Success(reply):
            return reply.outcome not in _UNSETTLED
        case Failure(ClientError(kind=kind)):
            return kind is ClientErrorKind.REFUSED
    return False


def _is_in_doubt(result: Result[ChangeReply, ClientError]) -> bool:
    """Return whether an attempt that ended like this may have taken effect."""
    match result:
        case Success(reply):
            return reply.outcome is ChangeOutcome.UNKNOWN
        case Failure(ClientError(kind=kind)):
            return kind is ClientErrorKind.NO_ANSWER
    return True


def _doubtful(reply: ChangeReply) -> ChangeReply:
    """Return the last reply as one on all attempts, of which one is in doubt."""
    return replace(reply, outcome=ChangeOutcome.UNKNOWN)


def _doubtful_error(error: ClientError) -> ClientError:
    return replace(error, kind=ClientErrorKind.NO_ANSWER)


def _error(response: httpx.Response) -> ClientError:
    try:
        error = msgspec.json.decode(response.content, type=OperatorError)
    except msgspec.MsgspecError:
        return _no_answer(f"status {response.status_code} without a known message")
    return ClientError(kind=ClientErrorKind.REFUSED, message=error.message)


def _no_answer(message: str) -> ClientError:
    return ClientError(kind=ClientErrorKind.NO_ANSWER, message=message)
