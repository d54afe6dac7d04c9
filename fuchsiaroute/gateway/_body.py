"""Reads the body of a caller's request with a timeout."""

import asyncio
from collections.abc import Awaitable

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.gateway._refusals import refuse
from fuchsiaroute.verdict import Refusal, RefusalReason


async def read_with_timeout(
    reading: Awaitable[bytes], *, clock: Clock, time_limit: Milliseconds
) -> Result[bytes, Refusal]:
    """Return the body, or a refusal if it takes longer than ``time_limit``."""
    body = asyncio.ensure_future(reading)
    timer = asyncio.ensure_future(clock.sleep(time_limit))
    try:
        await asyncio.wait({body, timer}, return_when=asyncio.FIRST_COMPLETED)
        if body.done():
            return Success(body.result())
        message = f"the body did not arrive within {time_limit} ms"
        return Failure(refuse(RefusalReason.TOO_SLOW, message))
    finally:
        body.cancel()
        timer.cancel()
