"""The body of a caller's request, within a time limit."""

import asyncio
from collections.abc import Awaitable

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.gateway._refusals import refuse
from fuchsiaroute.verdict import Refusal, RefusalReason


async def read_within(
    reading: Awaitable[bytes], *, clock: Clock, limit: Milliseconds
) -> Result[bytes, Refusal]:
    """Return the body, or a refusal if it takes longer than ``limit``."""
    body = asyncio.ensure_future(reading)
    timer = asyncio.ensure_future(clock.sleep(limit))
    try:
        await asyncio.wait({body, timer}, return_when=asyncio.FIRST_COMPLETED)
        if body.done():
            return Success(body.result())
        message = f"the body did not arrive within {limit} ms"
        return Failure(refuse(RefusalReason.TOO_SLOW, message))
    finally:
        body.cancel()
        timer.cancel()
