"""Opening of TCP connections."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.http1._exceptions import (
    ConnectError,
    ConnectTimeoutError,
    NobodyListensError,
)

MILLISECONDS_PER_SECOND = 1_000
_ProtocolT = TypeVar("_ProtocolT", bound=asyncio.Protocol)


async def connect_protocol(
    host: str, port: int, create: Callable[[], _ProtocolT], within: Milliseconds
) -> _ProtocolT:
    """
    Open a connection for the protocol that ``create`` returns.

    ``within`` is the timeout. Raises ``ConnectError``, or its subclasses
    ``NobodyListensError`` if the connection is refused and ``ConnectTimeoutError``.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(within / MILLISECONDS_PER_SECOND):
            _, protocol = await loop.create_connection(create, host, port)
    except TimeoutError:
        raise ConnectTimeoutError(f"no connection within {within} ms") from None
    except ConnectionRefusedError as error:
        raise NobodyListensError(f"connecting failed: {error}") from None
    except (OSError, OverflowError, ValueError) as error:
        # The latter two are raised for a port or host name that cannot exist.
        raise ConnectError(f"connecting failed: {error}") from None
    return protocol
