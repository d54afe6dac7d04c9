"""Log lines and metrics of the requests that pass through an entry."""

from collections.abc import AsyncIterator
from dataclasses import replace
from itertools import count
from typing import Protocol

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.entry._call import Answer, Bill, Call, NoVersion
from fuchsiaroute.entry._steps import BillStep
from fuchsiaroute.ids import VersionId
from fuchsiaroute.logs import AnswerEnded, RequestBilled, RequestRefused, log_event
from fuchsiaroute.metrics import Metrics, StreamTimer
from fuchsiaroute.verdict import Refusal


class CallHandler(Protocol):
    """Obtains the answers of calls."""

    async def handle(self, call: Call) -> Result[Answer, Refusal]:
        """Return the answer of ``call``, or the reason for refusing it."""


class ObservedPipeline:
    """Logs and measures the calls of another handler; implements ``CallHandler``."""

    def __init__(
        self, *, pipeline: CallHandler, metrics: Metrics, clock: Clock
    ) -> None:
        self._pipeline = pipeline
        self._metrics = metrics
        self._clock = clock
        self._sequence = count()

    async def handle(self, call: Call) -> Result[Answer, Refusal]:
        """Return the answer of ``call``; its end is logged and measured too."""
        arrived = self._clock.now()
        self._metrics.request_started()
        is_open = False
        try:
            result = await self._pipeline.handle(call)
            match result:
                case Failure(refusal):
                    self._record_refusal(call, refusal)
                case Success(answer):
                    is_open = True
                    observed = self._relay(call, answer, arrived)
                    return Success(replace(answer, chunks=observed))
            return result
        finally:
            if not is_open:
                self._metrics.request_ended()

    def _record_refusal(self, call: Call, refusal: Refusal) -> None:
        request = call.request
        self._metrics.record_refusal(
            request.product, reason=refusal.reason, verdict=refusal.verdict
        )
        log_event(
            RequestRefused(
                request=request.id,
                organisation=request.organisation,
                reason=refusal.reason,
                verdict=refusal.verdict,
                message=refusal.message,
            )
        )

    async def _relay(
        self, call: Call, answer: Answer, arrived: Milliseconds
    ) -> AsyncIterator[bytes]:
        timer = StreamTimer(
            self._metrics,
            self._clock,
            call.request.product,
            arrived=arrived,
            sequence=next(self._sequence),
        )
        size = 0
        is_whole = False
        try:
            async for chunk in answer.chunks:
                size += len(chunk)
                timer.record_chunk()
                yield chunk
            is_whole = True
        finally:
            timer.finish()
            self._record_end(call, answer, arrived, size=size, is_whole=is_whole)

    def _record_end(
        self,
        call: Call,
        answer: Answer,
        arrived: Milliseconds,
        *,
        size: int,
        is_whole: bool,
    ) -> None:
        duration = Milliseconds(self._clock.now() - arrived)
        self._metrics.request_ended()
        self._metrics.record_answer(
            call.request.product, size=size, duration=duration, is_whole=is_whole
        )
        log_event(
            AnswerEnded(
                request=call.request.id,
                organisation=call.request.organisation,
                endpoint=answer.endpoint,
                version=_version_id(answer.version),
                answer_bytes=size,
                duration_ms=duration,
                is_whole=is_whole,
            )
        )


class ObservedBillStep:
    """Logs and counts the bills of another step; implements ``BillStep``."""

    def __init__(self, *, bill: BillStep, metrics: Metrics) -> None:
        self._bill = bill
        self._metrics = metrics

    def check_capacity(self) -> Result[None, Refusal]:
        """Refuse new requests that could not be billed."""
        return self._bill.check_capacity()

    async def bill(self, bill: Bill) -> None:
        """Record the cost of one answered request, once."""
        await self._bill.bill(bill)
        versions = tuple(_version_id(attempt.version) for attempt in bill.attempts)
        self._metrics.record_bill(bill.request.product, versions, bill.cost)
        log_event(
            RequestBilled(
                request=bill.request.id,
                organisation=bill.request.organisation,
                versions=versions,
                cost_microunits=bill.cost,
            )
        )


def _version_id(version: VersionId | NoVersion) -> VersionId:
    return VersionId("") if isinstance(version, NoVersion) else version
