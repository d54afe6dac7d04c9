"""The status of an endpoint, read on a separate connection."""

import httpx
import msgspec
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.decoding import DECODER_ERRORS
from fuchsiaroute.ids import Incarnation
from fuchsiaroute.transport import NoHook, sending_hook

STATUS_PATH = "/status"
INCARNATION_HEADER = "x-incarnation"
#: Timeout of a status request.
STATUS_TIMEOUT = Milliseconds(1_000)
MILLISECONDS_PER_SECOND = 1_000
_HEADERS = {"connection": "close"}


class EndpointStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status that an endpoint reports."""

    #: 0 if not reported.
    incarnation: Incarnation = Incarnation(0)
    #: Requests running or queued; -1 if not reported.
    in_flight: int = -1


async def read_status(
    client: httpx.AsyncClient, url: str
) -> Result[EndpointStatus, str]:
    """Return the status; one without values if the endpoint does not serve any."""
    timeout = STATUS_TIMEOUT / MILLISECONDS_PER_SECOND
    # The sending hook of the call must not run for the status request as well.
    token = sending_hook.set(NoHook())
    try:
        response = await client.get(
            url + STATUS_PATH, timeout=timeout, headers=_HEADERS
        )
    except httpx.HTTPError as error:
        return Failure(type(error).__name__)
    finally:
        sending_hook.reset(token)
    if response.status_code != httpx.codes.OK:
        return Success(EndpointStatus())
    try:
        return Success(msgspec.json.decode(response.content, type=EndpointStatus))
    except DECODER_ERRORS:
        return Success(EndpointStatus())


def parse_incarnation(headers: httpx.Headers) -> Incarnation:
    """Return the incarnation in the headers of an answer; 0 if there is none."""
    value = headers.get(INCARNATION_HEADER, "")
    return Incarnation(int(value) if value.isascii() and value.isdigit() else 0)
