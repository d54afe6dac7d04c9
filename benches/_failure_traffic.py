"""Callers of a deployment under failures, and what each of them saw."""

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import httpx
import msgspec

from examples import timberline
from fuchsiaroute.gateway import Advice

ATTEMPTS = 6
TIMEOUT_SECONDS = 8.0
PAUSE_SECONDS = 0.25
THINK_SECONDS = 0.1
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
    """One answer or error that a caller had."""

    #: Unix time in milliseconds.
    at: int
    #: HTTP status; 0 if the connection broke.
    status: int
    verdict: str
    reason: str
    version: str
    is_whole: bool
    #: Base URL of the entry that was asked.
    entry: str


@dataclass(kw_only=True)
class Story:
    """One request with all its attempts."""

    request: str
    organisation: str
    session: str
    is_idempotent: bool
    responses: list[Response] = field(default_factory=list)

    @property
    def is_answered(self) -> bool:
        """Return whether the caller had a whole answer."""
        return any(response.is_whole for response in self.responses)


@dataclass(kw_only=True)
class TrafficCaller:
    """One organisation's client: asks for an entry, retries with the same id."""

    organisation: str
    entry_urls: Sequence[str]
    randomness: random.Random
    stories: list[Story] = field(default_factory=list)
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
                await asyncio.sleep(self.randomness.random() * THINK_SECONDS)

    async def _request(self, client: httpx.AsyncClient) -> None:
        is_idempotent = self.randomness.random() > NON_IDEMPOTENT_SHARE
        if self.randomness.random() < 0.1:
            self._session += 1
            self._pin = ""
        story = Story(
            request=f"{self.organisation}-{len(self.stories)}",
            organisation=self.organisation,
            session=f"session-{self._session}",
            is_idempotent=is_idempotent,
        )
        self.stories.append(story)
        for _ in range(ATTEMPTS):
            response = await self._attempt(client, story)
            story.responses.append(response)
            if response.is_whole or response.status in (403, 409, 410):
                return
            await asyncio.sleep(PAUSE_SECONDS)

    async def _attempt(self, client: httpx.AsyncClient, story: Story) -> Response:
        entry = await self._advised(client, attempt=len(story.responses))
        try:
            if story.is_idempotent:
                return await self._complete(client, entry, story)
            return await self._issue(client, entry, story)
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

    async def _advised(self, client: httpx.AsyncClient, *, attempt: int) -> str:
        """Return the advised entry, at each further attempt the next one."""
        asked = self.randomness.choice(self.entry_urls)
        try:
            reply = await client.get(
                f"{asked}/v1/entries", headers=self._authorization(), timeout=1.0
            )
            advice = msgspec.json.decode(reply.content, type=Advice)
        except (httpx.HTTPError, msgspec.MsgspecError):
            return self.randomness.choice(self.entry_urls)
        if not advice.entries:
            return asked
        return advice.entries[attempt % len(advice.entries)].url

    async def _complete(
        self, client: httpx.AsyncClient, entry: str, story: Story
    ) -> Response:
        body = {
            "model": "auto",
            "stream": True,
            "max_tokens": TOKENS,
            "messages": [{"role": "user", "content": story.request}],
        }
        headers = {
            **self._headers(story),
            "x-request-class": SESSION_CLASS,
            "x-session-id": story.session,
        }
        if self._pin:
            headers["x-session-pin"] = self._pin
        reply = await client.post(
            f"{entry}/v1/chat/completions", json=body, headers=headers
        )
        self._pin = reply.headers.get("x-session-pin", self._pin)
        own = reply.content.count(f'"{story.request}-'.encode())
        is_whole = STREAM_END in reply.content and own == TOKENS
        return _response(reply, entry=entry, is_whole=is_whole)

    async def _issue(
        self, client: httpx.AsyncClient, entry: str, story: Story
    ) -> Response:
        reply = await client.post(
            f"{entry}/v1/services/permit-app/permits/issue",
            json={"subject": story.request},
            headers=self._headers(story),
        )
        is_whole = reply.is_success and story.request in reply.text
        return _response(reply, entry=entry, is_whole=is_whole)

    def _headers(self, story: Story) -> dict[str, str]:
        return {**self._authorization(), "x-request-id": story.request}

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
