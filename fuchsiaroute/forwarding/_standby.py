"""Looks for an endpoint that takes a request over from a silent one."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.forwarding._endpoint_client import AttemptFailure, OpenResponse
from fuchsiaroute.forwarding._result import NoReservation, Silence
from fuchsiaroute.ids import ModelId
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.platform import EventId
from fuchsiaroute.pool import Reservation

#: Time for which two endpoints work on one request. Beyond it, the work counts as done
#: twice.
MAX_OVERLAP = Milliseconds(250)
MILLISECONDS_PER_SECOND = 1_000

_Attempt = asyncio.Task[OpenResponse | AttemptFailure | NoReservation]


class Attempts(Protocol):
    """The part of ``AttemptRunner`` that runs and compares attempts."""

    async def attempt(
        self,
        call: Call,
        *,
        model: ModelId | None,
        resume_after: EventId | None = None,
        is_resumption: bool = False,
        max_silence: Milliseconds | None = None,
        before_send: Callable[[Reservation], None],
        is_alone: Callable[[], bool],
    ) -> OpenResponse | AttemptFailure | NoReservation:
        """Reserve an endpoint and send the request to it."""
        ...

    async def check_crash(
        self, call: Call, endpoint: Endpoint, *, has_event: bool = False
    ) -> None:
        """Record whether an endpoint crashed; see ``CrashGuard.check``."""
        ...

    def is_rather_alive(
        self,
        call: Call,
        reservation: Reservation,
        silent: Endpoint,
        *,
        model: ModelId | None,
    ) -> bool:
        """Return whether a reserved endpoint is preferable to a silent one."""
        ...


class StandbyRunner:
    """
    Sends a request whose endpoint is silent to another one beside its present run.

    The present run is ended only once the other endpoint answers, with an event stream
    if events have been sent, or is more likely to be alive. Ended any sooner, the
    answer is lost if the other endpoint is silent, full or failing as well.
    """

    def __init__(self, attempts: Attempts) -> None:
        self._attempts = attempts

    async def replace(
        self,
        call: Call,
        silent: Endpoint,
        *,
        goes_on: Coroutine[Any, Any, bool],
        model: ModelId | None,
        max_silence: Milliseconds,
        give_up: Callable[[], None],
        resume_after: EventId | None = None,
        is_resumption: bool = False,
    ) -> OpenResponse | Silence:
        """
        Return the successful response of another endpoint that takes over, if any.

        ``goes_on`` ends when the silent endpoint sends something or its run fails, and
        returns False if it fails. An endpoint that has been silent for ``max_silence``
        does not get the request. ``give_up`` is called to end the present run; it is
        unless ``KEPT`` is returned.
        """
        reserved: list[Reservation] = []
        is_given_up = has_failed = False
        attempt: _Attempt = asyncio.create_task(
            self._attempts.attempt(
                call,
                model=model,
                resume_after=resume_after,
                is_resumption=is_resumption,
                max_silence=max_silence,
                before_send=reserved.append,
                is_alone=lambda: is_given_up or has_failed,
            )
        )
        data = asyncio.create_task(goes_on)
        try:
            await asyncio.wait(
                {attempt, data},
                timeout=MAX_OVERLAP / MILLISECONDS_PER_SECOND,
                return_when=asyncio.FIRST_COMPLETED,
            )
            has_failed = data.done() and not data.result()
            if data.done() and not has_failed:
                _end(attempt)
                return Silence.KEPT
            if not attempt.done() and not has_failed:
                if not self._is_rather_alive(call, reserved, silent, model):
                    _end(attempt)
                    return Silence.KEPT
                is_given_up = True
                give_up()
            result = await attempt
            if has_failed and _is_success(result):
                await self._attempts.check_crash(
                    call, silent, has_event=resume_after is not None
                )
        except BaseException:
            _end(attempt)
            raise
        finally:
            _end(data)
        if isinstance(result, OpenResponse):
            if result.is_success and (
                is_given_up or resume_after is None or result.fields.is_event_stream
            ):
                if not is_given_up:
                    give_up()
                return result
            result.close(Outcome.CANCELLED)
        return Silence.GIVEN_UP if is_given_up else Silence.KEPT

    def _is_rather_alive(
        self,
        call: Call,
        reserved: list[Reservation],
        silent: Endpoint,
        model: ModelId | None,
    ) -> bool:
        """Return whether the endpoint of the attempt, if any, is preferable."""
        for reservation in reserved:
            if self._attempts.is_rather_alive(call, reservation, silent, model=model):
                return True
            reservation.record_silence()
        return False


def _is_success(result: OpenResponse | AttemptFailure | NoReservation) -> bool:
    return isinstance(result, OpenResponse) and result.is_success


def _end(task: asyncio.Task[Any]) -> None:
    """End a task whose result is not needed."""
    task.cancel()
    task.add_done_callback(_close_response)


def _close_response(task: asyncio.Task[Any]) -> None:
    if task.cancelled() or task.exception() is not None:
        return
    if isinstance(task.result(), OpenResponse):
        task.result().close(Outcome.CANCELLED)
