"""The headers of a caller's request that the router reads, checked."""

import re
import secrets
from collections.abc import Iterable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.gateway._limits import CallerLimits
from fuchsiaroute.gateway._refusals import invalid, refuse
from fuchsiaroute.ids import RequestClass, RequestId, SessionId
from fuchsiaroute.request import NoSession, SessionChoice
from fuchsiaroute.verdict import Refusal, RefusalReason

AUTHORIZATION_HEADER = "authorization"
REQUEST_ID_HEADER = "x-request-id"
REQUEST_CLASS_HEADER = "x-request-class"
SESSION_HEADER = "x-session-id"
PIN_HEADER = "x-session-pin"
TIMEOUT_HEADER = "x-timeout-ms"
REQUEST_ID_BYTES = 16

# Ids become parts of store keys and of log lines, hence the narrow alphabet.
_IDENTIFIER = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}", re.ASCII)
_FORMS = {
    AUTHORIZATION_HEADER: re.compile(r"[\x20-\x7e]{1,1024}", re.ASCII),
    REQUEST_ID_HEADER: _IDENTIFIER,
    REQUEST_CLASS_HEADER: _IDENTIFIER,
    SESSION_HEADER: _IDENTIFIER,
    PIN_HEADER: re.compile(r"[\x21-\x7e]{1,2048}", re.ASCII),
    TIMEOUT_HEADER: re.compile(r"[0-9]{1,9}", re.ASCII),
}
_BEARER = re.compile(r"Bearer +([\x21-\x7e]+)", re.ASCII | re.IGNORECASE)

RawHeaders = Iterable[tuple[bytes, bytes]]


@dataclass(frozen=True, kw_only=True)
class CallerHeaders:
    """What the headers of a request say."""

    #: Chosen by the caller, or by this entry if the caller names none.
    request_id: RequestId
    #: Whether the caller chose the id.
    is_id_chosen: bool = False
    #: Empty if the caller names none.
    request_class: RequestClass = RequestClass("")
    session: SessionChoice = NoSession.TOKEN
    #: Empty if the caller sends none.
    pin: str = ""
    #: Time from the arrival until an answer is of no use.
    timeout: Milliseconds


def parse_key(raw: RawHeaders) -> Result[str, Refusal]:
    """Return the caller's API key."""
    found = _collect(raw).map(lambda values: values.get(AUTHORIZATION_HEADER, ""))
    if isinstance(found, Failure):
        return found
    match = _BEARER.fullmatch(found.unwrap())
    if match is None:
        reason = RefusalReason.UNAUTHENTICATED
        return Failure(refuse(reason, "a bearer key is required"))
    return Success(match[1])


def parse_headers(
    raw: RawHeaders, *, limits: CallerLimits
) -> Result[CallerHeaders, Refusal]:
    """Return what the headers say, or a refusal that names the faulty one."""
    collected = _collect(raw)
    if isinstance(collected, Failure):
        return collected
    values = collected.unwrap()
    timeout = int(values.get(TIMEOUT_HEADER, limits.default_deadline))
    if not 0 < timeout <= limits.max_deadline:
        message = f"{TIMEOUT_HEADER} must be from 1 to {limits.max_deadline}"
        return Failure(invalid(message))
    session = values.get(SESSION_HEADER, "")
    return Success(
        CallerHeaders(
            request_id=RequestId(
                values.get(REQUEST_ID_HEADER) or secrets.token_hex(REQUEST_ID_BYTES)
            ),
            is_id_chosen=REQUEST_ID_HEADER in values,
            request_class=RequestClass(values.get(REQUEST_CLASS_HEADER, "")),
            session=SessionId(session) if session else NoSession.TOKEN,
            pin=values.get(PIN_HEADER, ""),
            timeout=Milliseconds(timeout),
        )
    )


def _collect(raw: RawHeaders) -> Result[dict[str, str], Refusal]:
    """
    Return the headers that the router reads, by name.

    A header that comes twice is refused: which of the two counts would be anybody's
    guess, and a proxy before the caller may have guessed otherwise.
    """
    values: dict[str, str] = {}
    for raw_name, raw_value in raw:
        name = raw_name.decode("latin-1").lower()
        if name not in _FORMS:
            continue
        if name in values:
            return Failure(invalid(f"{name} is given twice"))
        value = raw_value.decode("latin-1").strip(" \t")
        if _FORMS[name].fullmatch(value) is None:
            return Failure(invalid(f"{name} is malformed"))
        values[name] = value
    return Success(values)
