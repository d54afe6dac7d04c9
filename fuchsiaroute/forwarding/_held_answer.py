"""A weak answer that is held back while a better one is awaited."""

import asyncio
from collections.abc import Awaitable, Callable

from fuchsiaroute.forwarding._endpoint_client import OpenResponse
from fuchsiaroute.lifecycle import Outcome


class HeldAnswer:
    """
    An answer that is not read yet, and whose connection is watched.

    If the connection ends before the answer is whole, ``on_broken`` is called at once:
    when the answer is read, or dropped, a crash of its endpoint is seconds old.
    """

    def __init__(
        self,
        response: OpenResponse,
        *,
        on_broken: Callable[[OpenResponse], Awaitable[None]],
    ) -> None:
        self._response = response
        self._on_broken = on_broken
        self._watch = asyncio.create_task(self._wait_until_broken())

    def take(self) -> OpenResponse:
        """Return the answer to its reader, who notices the end of the connection."""
        self._watch.cancel()
        return self._response

    def drop(self) -> None:
        """Close the answer, unless it has been closed."""
        self._watch.cancel()
        self._response.close(Outcome.CANCELLED)

    async def _wait_until_broken(self) -> None:
        if not await self._response.wait_whole():
            await self._on_broken(self._response)
