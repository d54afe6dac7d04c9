"""Attempts: endpoint choice, dispatch and retries."""

import random
from collections import Counter
from functools import singledispatchmethod

import msgspec
from returns.result import Failure, Result, Success

from fuchsiaroute.configuration import Endpoint
from fuchsiaroute.dispatch import Dispatcher, DispatchFailure, EndpointCall
from fuchsiaroute.entry._call import Call, ModelTarget, NoVersion, ServiceTarget
from fuchsiaroute.entry._current import CurrentConfiguration
from fuchsiaroute.entry._steps import Attempt
from fuchsiaroute.ids import EndpointId, Nonce, VersionId
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict, combine_verdicts

COMPLETIONS_PATH = "/v1/chat/completions"
NONCE_BITS = 96
#: Calls for one attempt, counting retries.
MAXIMUM_CALLS = 3

_BODY = msgspec.json.Decoder(dict[str, msgspec.Raw])


class LeastInFlightAttempt:
    """Tries the endpoint with the fewest own requests; implements ``AttemptStep``."""

    def __init__(
        self,
        *,
        current: CurrentConfiguration,
        dispatcher: Dispatcher,
        randomness: random.Random,
    ) -> None:
        self._current = current
        self._dispatcher = dispatcher
        self._randomness = randomness
        self._in_flight: Counter[EndpointId] = Counter()

    async def attempt(
        self, call: Call, version: VersionId | NoVersion
    ) -> Result[Attempt, Refusal]:
        """Return an open answer of ``version``, or of the call's plain service."""
        tried: set[EndpointId] = set()
        verdicts: list[Verdict] = []
        for _ in range(MAXIMUM_CALLS):
            endpoint = self._choose(call, version, tried)
            if endpoint is None:
                break
            tried.add(endpoint.id)
            match await self._send(call, version, endpoint):
                case Success(attempt):
                    return Success(attempt)
                case Failure(DispatchFailure(verdict=verdict)):
                    verdicts.append(verdict)
                    if (
                        verdict is not Verdict.NOT_RUN
                        and not call.request.is_idempotent
                    ):
                        break
        reason = RefusalReason.ENDPOINT_FAILED if tried else RefusalReason.NO_ENDPOINT
        refusal = Refusal(
            reason=reason,
            verdict=combine_verdicts(verdicts),
            message="no endpoint answered",
        )
        return Failure(refusal)

    def _choose(
        self, call: Call, version: VersionId | NoVersion, tried: set[EndpointId]
    ) -> Endpoint | None:
        configuration = self._current.configuration
        out = {outage.failure_domain for outage in configuration.outages}
        usable = [
            endpoint
            for endpoint in configuration.endpoints
            if _serves(endpoint, call, version)
            and endpoint.id not in tried
            and endpoint.failure_domain not in out
        ]
        self._randomness.shuffle(usable)
        return min(usable, key=lambda item: self._in_flight[item.id], default=None)

    async def _send(
        self, call: Call, version: VersionId | NoVersion, endpoint: Endpoint
    ) -> Result[Attempt, DispatchFailure]:
        sent = EndpointCall(
            url=endpoint.url,
            path=self._path(call.target),
            body=_body(call, version),
            nonce=Nonce(f"{self._randomness.getrandbits(NONCE_BITS):x}"),
            deadline=call.request.deadline,
        )
        self._in_flight[endpoint.id] += 1
        try:
            opened = await self._dispatcher.open(sent)
        finally:
            self._in_flight[endpoint.id] -= 1
        return opened.map(
            lambda answer: Attempt(
                endpoint=endpoint.id,
                status=answer.status,
                content_type=answer.content_type,
                chunks=answer.chunks,
            )
        )

    @singledispatchmethod
    def _path(self, target: ModelTarget | ServiceTarget) -> str:
        raise NotImplementedError(type(target).__name__)

    @_path.register
    def _(self, target: ModelTarget) -> str:
        return COMPLETIONS_PATH

    @_path.register
    def _(self, target: ServiceTarget) -> str:
        return target.path


def _serves(endpoint: Endpoint, call: Call, version: VersionId | NoVersion) -> bool:
    if isinstance(call.target, ServiceTarget):
        return call.target.service in endpoint.services
    return version in endpoint.versions


def _body(call: Call, version: VersionId | NoVersion) -> bytes:
    """Return the caller's body with the version in place of the model's name."""
    if isinstance(version, NoVersion):
        return call.body
    fields = _BODY.decode(call.body)
    fields["model"] = msgspec.Raw(msgspec.json.encode(version))
    return msgspec.json.encode(fields)
