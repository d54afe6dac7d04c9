"""Looks for an endpoint that goes on with a silent stream."""

import asyncio
from collections.abc import Callable
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.forwarding._attempt_runner import AttemptRunner, NoReservation
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.forwarding._endpoint_client import AttemptFailure, OpenResponse
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.platform import EventId
from fuchsiaroute.pool import Reservation

#: Time for which two endpoints work on one stream. Beyond it, the work counts as done
#: twice.
MAX_OVERLAP = Milliseconds(250)
MILLISECONDS_PER_SECOND = 1_000

_Attempt = asyncio.Task[OpenResponse | AttemptFailure | NoReservation]


class Silence(Enum):
    """What becomes of a silent stream that no other endpoint goes on with."""

    #: Its endpoint may go on with it.
    KEPT = "kept"
    #: Its run was ended; no endpoint works on it.
    GIVEN_UP = "given-up"


class StandbyRunner:
    """
    Sends the rest of a silent stream to another endpoint beside its present run.

    The present run is ended only once the other endpoint answers, or is more likely to
    be alive. Ended any sooner, the stream is lost if the other endpoint is silent, full
    or failing as well.
    """

    def __init__(self, runner: AttemptRunner) -> None:
        self._runner = runner

    async def replace(
        self,
        call: Call,
        silent: OpenResponse,
        *,
        resume_after: EventId | None,
        max_silence: Milliseconds,
        give_up: Callable[[], None],
    ) -> OpenResponse | Silence:
        """
        Return the successful response of another endpoint that goes on, if any.

        An endpoint that has been silent for ``max_silence`` does not get the stream.
        ``give_up`` is called to end the run of ``silent``; it is unless ``KEPT`` is
        returned.
        """
        reserved: list[Reservation] = []
        attempt: _Attempt = asyncio.create_task(
            self._runner.attempt(
                call,
                model=silent.model,
                resume_after=resume_after,
                is_resumption=True,
                max_silence=max_silence,
                before_send=reserved.append,
            )
        )
        data = asyncio.create_task(silent.wait_readable())
        is_given_up = False
        try:
            await asyncio.wait(
                {attempt, data},
                timeout=MAX_OVERLAP / MILLISECONDS_PER_SECOND,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if data.done():
                _end(attempt)
                return Silence.KEPT
            if not attempt.done():
                if not self._is_rather_alive(call, reserved, silent):
                    _end(attempt)
                    return Silence.KEPT
                is_given_up = True
                give_up()
            result = await attempt
        except asyncio.CancelledError:
            _end(attempt)
            raise
        finally:
            data.cancel()
        if isinstance(result, OpenResponse):
            if result.is_success:
                if not is_given_up:
                    give_up()
                return result
            result.close(Outcome.CANCELLED)
        return Silence.GIVEN_UP if is_given_up else Silence.KEPT

    def _is_rather_alive(
        self, call: Call, reserved: list[Reservation], silent: OpenResponse
    ) -> bool:
        """Return whether the endpoint of the attempt, if any, is preferable."""
        for reservation in reserved:
            if self._runner.is_rather_alive(call, reservation, silent):
                return True
            reservation.record_silence()
        return False


def _end(attempt: _Attempt) -> None:
    """End an attempt whose response is not needed."""
    attempt.cancel()
    attempt.add_done_callback(_close_response)


def _close_response(attempt: _Attempt) -> None:
    if attempt.cancelled():
        return
    result = attempt.result()
    if isinstance(result, OpenResponse):
        result.close(Outcome.CANCELLED)
