"""The aiohttp transport for httpx, with reliable connection errors."""

from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

import aiohttp
import httpx
from httpx_aiohttp import AiohttpTransport

#: Causes that prove that no byte of the request was sent.
_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class CheckedTransport(AiohttpTransport):
    """
    Transport that raises connection errors only for requests that were never sent.

    The base class raises ``httpx.ConnectTimeout`` also for a connection that broke
    after the request was sent. A client that retries on this error would run a
    non-idempotent request twice.
    """

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send ``request``; raises only httpx exceptions."""
        with _checked_errors():
            response = await super().handle_async_request(request)
        assert isinstance(response.stream, httpx.AsyncByteStream)
        response.stream = _CheckedStream(response.stream)
        return response


class _CheckedStream(httpx.AsyncByteStream):
    """Response body that raises httpx exceptions."""

    def __init__(self, stream: httpx.AsyncByteStream) -> None:
        self._stream = stream

    async def __aiter__(self) -> AsyncIterator[bytes]:
        with _checked_errors():
            async for chunk in self._stream:
                yield chunk

    async def aclose(self) -> None:
        await self._stream.aclose()


@contextmanager
def _checked_errors() -> Iterator[None]:
    try:
        yield
    except (httpx.ConnectError, httpx.ConnectTimeout) as error:
        if isinstance(error.__cause__, _NOT_SENT):
            raise httpx.ConnectError(str(error)) from error.__cause__
        raise httpx.ReadError(str(error)) from error.__cause__
    except aiohttp.ClientError as error:
        raise httpx.RemoteProtocolError(str(error)) from error
