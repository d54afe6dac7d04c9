"""A caller that gets advice on entries and sends requests to an advised one."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import httpx
import msgspec

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import Configuration, Organisation, RequestClassSpec
from fuchsiaroute.gateway import Advice

TIMEOUT_SECONDS = 10.0
MAX_TOKENS = 8
SERVICE_SHARE = 0.2
STREAMED_SHARE = 0.7
#: Weights of the product's classes, in the order of their declaration.
CLASS_WEIGHTS = (75, 20, 5)


@dataclass(frozen=True, kw_only=True)
class Exchange:
    """A request of a caller and its outcome."""

    organisation: str
    #: Request class, or path of a plain service.
    work: str
    status: int
    version: str
    request: str
    #: Time until the first byte of the body, in milliseconds.
    first_byte: Milliseconds
    #: Time until the end of the answer, in milliseconds.
    total: Milliseconds


class _Body(msgspec.Struct):
    messages: list[dict[str, str]]
    model: str = "auto"
    stream: bool = False
    max_tokens: int = MAX_TOKENS


class _ServiceBody(msgspec.Struct):
    subject: str


@dataclass(frozen=True, kw_only=True)
class _PreparedRequest:
    work: str
    path: str
    body: bytes
    headers: dict[str, str]


class Caller:
    """Client program of one organisation."""

    def __init__(
        self,
        *,
        organisation: Organisation,
        key: str,
        configuration: Configuration,
        clock: Clock,
        random: Random,
    ) -> None:
        self._organisation = organisation
        self._key = key
        self._configuration = configuration
        self._clock = clock
        self._random = random
        self._client = httpx.AsyncClient(timeout=TIMEOUT_SECONDS, trust_env=False)

    async def close(self) -> None:
        """Close the caller's connections."""
        await self._client.aclose()

    async def choose_entry(self, entry_url: str) -> str:
        """Return the base URL of an entry that ``entry_url`` advises."""
        domains = self._configuration.failure_domains
        domain = self._random.choice(domains).id
        response = await self._client.get(
            f"{entry_url}/v1/entries", params={"failure_domain": domain}
        )
        advice = msgspec.json.decode(response.content, type=Advice)
        preferred = [
            entry for entry in advice.entries if entry.failure_domain == domain
        ]
        return self._random.choice(preferred or list(advice.entries)).url

    async def send(self, entry_url: str) -> Exchange:
        """Send one request drawn from the organisation's traffic mix."""
        prepared = self._prepare_request()
        headers = {"authorization": f"Bearer {self._key}", **prepared.headers}
        started = self._clock.now()
        first = started
        async with self._client.stream(
            "POST", entry_url + prepared.path, content=prepared.body, headers=headers
        ) as response:
            async for _ in response.aiter_raw():
                if first == started:
                    first = self._clock.now()
        ended = self._clock.now()
        return Exchange(
            organisation=self._organisation.id,
            work=prepared.work,
            status=response.status_code,
            version=response.headers.get("x-model-version", ""),
            request=response.headers.get("x-request-id", ""),
            first_byte=Milliseconds(first - started),
            total=Milliseconds(ended - started),
        )

    def _prepare_request(self) -> _PreparedRequest:
        is_service = self._random.random() < SERVICE_SHARE
        choices: dict[bool, Callable[[], _PreparedRequest]] = {
            True: self._service_call,
            False: self._completion,
        }
        return choices[is_service]()

    def _service_call(self) -> _PreparedRequest:
        service = self._configuration.services[0]
        call = self._random.choice(service.calls)
        return _PreparedRequest(
            work=call.path,
            path=f"/v1/services/{service.id}{call.path}",
            body=msgspec.json.encode(_ServiceBody(subject="example")),
            headers={},
        )

    def _completion(self) -> _PreparedRequest:
        spec = self._request_class()
        body = _Body(
            messages=[{"role": "user", "content": f"an example of {spec.id}"}],
            stream=self._random.random() < STREAMED_SHARE,
        )
        return _PreparedRequest(
            work=spec.id,
            path="/v1/chat/completions",
            body=msgspec.json.encode(body),
            headers={"x-request-class": spec.id},
        )

    def _request_class(self) -> RequestClassSpec:
        product = next(
            item
            for item in self._configuration.products
            if item.id == self._organisation.product
        )
        return self._random.choices(product.classes, CLASS_WEIGHTS)[0]
