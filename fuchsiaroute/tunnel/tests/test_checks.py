"""The periodic check of a tunnel, on a clock of its own."""

import asyncio
import socket
from typing import Any

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.http1 import connect_protocol
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.tunnel._tunnel import Tunnel, TunnelContext, TunnelState

IDLE_TIMEOUT = Milliseconds(1_000)


class FakeTransport(asyncio.Transport):
    """A transport whose write buffer is set by the test."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__({"socket": sock})
        self.unsent = 0
        self.is_aborted = False

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def abort(self) -> None:
        self.is_aborted = True


@pytest.mark.parametrize(
    ("sizes", "is_aborted"),
    [
        ([9, 8, 7, 6], False),
        ([9, 9, 9, 9], True),
        ([9, 8, 8, 8], True),
        ([9, 9, 8, 8], False),
    ],
)
def test_unsent_bytes_of_an_ended_tunnel(sizes: list[int], is_aborted: bool) -> None:
    """An instance that reads the end of an answer slowly is not cut off."""
    clock = ManualClock()
    context = TunnelContext(
        connect=connect_protocol,
        is_known=lambda host, port: True,
        is_draining=lambda: False,
        max_tunnels=1,
        request_timeout=Milliseconds(100),
        idle_timeout=IDLE_TIMEOUT,
        clock=clock,
        log=LineLog(clock=clock, instance="peer", write=len),
    )
    with socket.socket() as sock:
        transport: Any = FakeTransport(sock)
        tunnel = Tunnel(context)
        tunnel.connection_made(transport)
        tunnel._state = TunnelState.ENDED
        for size in sizes:
            transport.unsent = size
            tunnel.check()
            assert tunnel.is_active
            clock.tick(Milliseconds(IDLE_TIMEOUT // 2))
        assert transport.is_aborted is is_aborted
