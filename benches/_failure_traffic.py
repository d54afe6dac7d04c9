"""Callers of a deployment with injected failures; they record all responses."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

import httpx
import msgspec

from examples import timberline
from fuchsiaroute.gateway import Advice

MAX_ATTEMPTS = 6
TIMEOUT_SECONDS = 8.0
RETRY_DELAY_SECONDS = 0.25
MAX_THINK_SECONDS = 0.1
NON_IDEMPOTENT_SHARE = 0.3
TOKENS = 8
STREAM_END = b"data: [DONE]"
SESSION_CLASS = "stand-lookup"


class _Error(msgspec.Struct):
    verdict: str
    reason: str = ""


class _ErrorBody(msgspec.Struct):
    error: _Error


@dataclass(frozen=True, kw_only=True)
class Response:
    """One response or connection error at a caller."""

    #: Unix time in milliseconds.
    at: int
    #: HTTP status; 0 for a connection error.
    status: int
    verdict: str
    reason: str
    version: str
    is_whole: bool
    #: Base URL of the entry.
    entry: str


@dataclass(kw_only=True)
class RequestHistory:
    """One request with the responses to all its attempts."""

    request: str
    organisation: str
    session: str
    is_idempotent: bool
    responses: list[Response] = field(default_factory=list)

    @property
    def is_answered(self) -> bool:
        """Return whether the caller received a complete answer."""
        return any(response.is_whole for response in self.responses)


@dataclass(kw_only=True)
class TrafficCaller:
    """Client of one organisation that retries with the same request id."""

    organisation: str
    entry_urls: Sequence[str]
    random: Random
    histories: list[RequestHistory] = field(default_factory=list)
    _pin: str = ""
    _session: int = 0

    async def run(self, until: float) -> None:
        """Send requests until ``until`` on the monotonic clock."""
        limits = httpx.Limits(max_keepalive_connections=4)
        async with httpx.AsyncClient(
            timeout=TIMEOUT_SECONDS, limits=limits, trust_env=False
        ) as client:
            while time.monotonic() < until:
                await self._request(client)
                await asyncio.sleep(self.random.random() * MAX_THINK_SECONDS)

    async def _request(self, client: httpx.AsyncClient) -> None:
        is_idempotent = self.random.random() > NON_IDEMPOTENT_SHARE
        if self.random.random() < 0.1:
            self._session += 1
            self._pin = ""
        history = RequestHistory(
            request=f"{self.organisation}-{len(self.histories)}",
            organisation=self.organisation,
            session=f"session-{self._session}",
            is_idempotent=is_idempotent,
        )
        self.histories.append(history)
        for _ in range(MAX_ATTEMPTS):
            response = await self._attempt(client, history)
            history.responses.append(response)
            if response.is_whole or response.status in (403, 409, 410):
                return
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _attempt(
        self, client: httpx.AsyncClient, history: RequestHistory
    ) -> Response:
        entry = await self._choose_entry(client, attempt=len(history.responses))
        try:
            if history.is_idempotent:
                return await self._complete(client, entry, history)
            return await self._issue(client, entry, history)
        except httpx.HTTPError as error:
            return Response(
                at=_now(),
                status=0,
                verdict="",
                reason=type(error).__name__,
                version="",
                is_whole=False,
                entry=entry,
            )

    async def _choose_entry(self, client: httpx.AsyncClient, *, attempt: int) -> str:
        """Return the advised entry for an attempt, a different one for each attempt."""
        queried = self.random.choice(self.entry_urls)
        try:
            reply = await client.get(
                f"{queried}/v1/entries", headers=self._authorization(), timeout=1.0
            )
            advice = msgspec.json.decode(reply.content, type=Advice)
        except (httpx.HTTPError, msgspec.MsgspecError):
            return self.random.choice(self.entry_urls)
        if not advice.entries:
            return queried
        return advice.entries[attempt % len(advice.entries)].url

    async def _complete(
        self, client: httpx.AsyncClient, entry: str, history: RequestHistory
    ) -> Response:
        body = {
            "model": "auto",
            "stream": True,
            "max_tokens": TOKENS,
            "messages": [{"role": "user", "content": history.request}],
        }
        headers = {
            **self._headers(history),
            "x-request-class": SESSION_CLASS,
            "x-session-id": history.session,
        }
        if self._pin:
            headers["x-session-pin"] = self._pin
        reply = await client.post(
            f"{entry}/v1/chat/completions", json=body, headers=headers
        )
        self._pin = reply.headers.get("x-session-pin", self._pin)
        own_tokens = reply.content.count(f'"{history.request}-'.encode())
        is_whole = STREAM_END in reply.content and own_tokens == TOKENS
        return _response(reply, entry=entry, is_whole=is_whole)

    async def _issue(
        self, client: httpx.AsyncClient, entry: str, history: RequestHistory
    ) -> Response:
        reply = await client.post(
            f"{entry}/v1/services/permit-app/permits/issue",
            json={"subject": history.request},
            headers=self._headers(history),
        )
        is_whole = reply.is_success and history.request in reply.text
        return _response(reply, entry=entry, is_whole=is_whole)

    def _headers(self, history: RequestHistory) -> dict[str, str]:
        return {**self._authorization(), "x-request-id": history.request}

    def _authorization(self) -> dict[str, str]:
        key = timberline.example_key(self.organisation)
        return {"authorization": f"Bearer {key}"}


def _response(reply: httpx.Response, *, entry: str, is_whole: bool) -> Response:
    error = _Error(verdict="")
    if not reply.is_success:
        try:
            error = msgspec.json.decode(reply.content, type=_ErrorBody).error
        except msgspec.MsgspecError:
            error = _Error(verdict="untyped")
    return Response(
        at=_now(),
        status=reply.status_code,
        verdict=error.verdict,
        reason=error.reason,
        version=reply.headers.get("x-model-version", ""),
        is_whole=is_whole and reply.is_success,
        entry=entry,
    )


def _now() -> int:
    return time.time_ns() // 1_000_000
