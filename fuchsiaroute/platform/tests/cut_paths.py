"""Cuts the connections of some instances of the harness to endpoints."""

import asyncio
import errno
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from typing import Any

import pytest

from fuchsiaroute.platform.tests.node_harness import running_instance

_create_connection = asyncio.BaseEventLoop.create_connection


class CutKind(Enum):
    #: Open connections carry nothing more, new ones are not established.
    HANG = "hang"
    #: Open connections are reset, new ones refused.
    REFUSED = "refused"
    #: Open connections live on, new ones are refused.
    KEPT = "kept"


class CutPaths:
    """Controls which instances reach the ports of endpoints."""

    def __init__(self, ports: set[int]) -> None:
        self._ports = ports
        self._kind: CutKind | None = None
        self._names: frozenset[str] = frozenset()
        self._open: list[tuple[str, asyncio.Transport]] = []
        #: Connections to endpoints that were established, by instance.
        self.established: dict[str, int] = {}
        #: Connections to endpoints that were tried while cut, by instance.
        self.failed: dict[str, int] = {}

    def cut(self, kind: CutKind, *names: str) -> None:
        """Cut instances from all endpoints."""
        self._kind, self._names = kind, frozenset(names)
        for name, transport in self._open:
            if name in names and not transport.is_closing():
                if kind is CutKind.REFUSED:
                    transport.abort()
                elif kind is CutKind.HANG:
                    transport.pause_reading()

    def end(self) -> None:
        """End the cut."""
        kind, self._kind = self._kind, None
        for name, transport in self._open:
            is_paused = kind is CutKind.HANG and name in self._names
            if is_paused and not transport.is_closing():
                transport.resume_reading()

    async def connect(
        self,
        loop: asyncio.BaseEventLoop,
        factory: Any,
        host: Any = None,
        port: Any = None,
        **options: Any,
    ) -> Any:
        if port not in self._ports:
            return await _create_connection(loop, factory, host, port, **options)
        name = running_instance.get()
        if self._kind is not None and name in self._names:
            self.failed[name] = self.failed.get(name, 0) + 1
            if self._kind is CutKind.HANG:
                await asyncio.sleep(60)
            raise ConnectionRefusedError(errno.ECONNREFUSED, "cut")
        made = await _create_connection(loop, factory, host, port, **options)
        self.established[name] = self.established.get(name, 0) + 1
        self._open.append((name, made[0]))
        return made


@contextmanager
def cut_paths(monkeypatch: pytest.MonkeyPatch, ports: set[int]) -> Iterator[CutPaths]:
    """Return the control of the paths to ``ports``; it ends with the context."""
    paths = CutPaths(ports)

    async def connect(loop: Any, *args: Any, **options: Any) -> Any:
        return await paths.connect(loop, *args, **options)

    with monkeypatch.context() as patch:
        patch.setattr(asyncio.BaseEventLoop, "create_connection", connect)
        yield paths
