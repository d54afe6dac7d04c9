"""Startup, serving and graceful shutdown of an instance."""

import asyncio
import dataclasses
import os
import signal
import socket
from collections import Counter
from collections.abc import Callable, Coroutine
from random import Random
from types import FrameType
from typing import Any

from fuchsiaroute.clock import BootClock, Clock, Milliseconds
from fuchsiaroute.draining import Phase
from fuchsiaroute.http1 import (
    CloseReason,
    ConnectionState,
    Handler,
    ServerConnection,
)
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.node._client_closes import ClientCloses
from fuchsiaroute.node._metrics import METRICS_PATH
from fuchsiaroute.node._parts import NodeParts
from fuchsiaroute.node._peer_tunnels import tunnel_port
from fuchsiaroute.node._settings_file import SettingsFile
from fuchsiaroute.node._task_runner import TaskRunner
from fuchsiaroute.platform import (
    Address,
    NodeSettings,
    NodeSettingsError,
    load_node_settings,
    node_settings_path,
)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
#: Interval of periodic work.
TICK = Milliseconds(100)
#: Delay of a tick above which the process counts as having been suspended.
MIN_SUSPENSION = Milliseconds(1_000)
#: Interval at which the settings file is looked at; it may change without a signal.
SETTINGS_CHECK_INTERVAL = Milliseconds(500)
#: Interval at which a stopping instance checks what callers wait for.
IDLE_CHECK_INTERVAL = Milliseconds(50)
#: States of connections whose callers wait for something.
_OWED = frozenset(ConnectionState) - {ConnectionState.IDLE}
#: Settings that a reload applies; identity and listening addresses need a restart.
RELOADABLE_SETTINGS = frozenset({"bounds", "store", "memory_mb", "max_descriptors"})
#: Maximum number of connections that wait to be accepted, per listening socket.
BACKLOG = 512
#: Connections that are accepted at once. Those beyond a listener's limit are closed
#: after that, so this many descriptors are used in addition.
ACCEPT_BATCH = 16


class Node:
    """Listens for callers and runs the background tasks of an instance."""

    def __init__(
        self,
        settings: NodeSettings,
        *,
        clock: Clock,
        log: LineLog,
        random: Random,
        settings_path: str | None = None,
    ) -> None:
        self._settings = settings
        self._settings_path = settings_path
        self._settings_file = SettingsFile(node_settings_path(settings_path))
        self._clock = clock
        self._log = log
        self._parts = NodeParts(settings, clock=clock, log=log, random=random)
        self._client_closes = ClientCloses(
            clock=clock, log=log, memory=lambda: self._parts.clients.budget.used
        )
        self._caller_connections: set[ServerConnection] = set()
        self._control_connections: set[ServerConnection] = set()
        self._servers: list[asyncio.Server] = []
        self._background = TaskRunner(clock=clock, log=log)
        self._tasks = self._background.tasks
        self._stop = asyncio.Event()
        self._stop_signal_at: Milliseconds | None = None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._stop.set)
            # The event loop is still woken up, and calls its handler.
            signal.signal(number, self._record_stop_signal)
            signal.siginterrupt(number, False)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._reload_if_changed()
        parts = self._parts
        await parts.gossip.open(self._settings.ip, self._settings.peer_ports[0])
        await self._listen()
        await self._open_tunnels()
        self._log.write(
            "process:started",
            pid=os.getpid(),
            frontend=str(self._settings.frontend),
            failure_domain=self._settings.failure_domain,
        )
        self._background.start("orders feed", parts.orders_feed.run)
        self._background.start("endpoints feed", parts.endpoints_feed.run)
        self._background.start("gossip", parts.gossip.run)
        self._background.start("instance register", parts.registry.run)
        self._background.start("roll-outs", parts.driver.run)
        self._background.start("quarantine rows", parts.quarantine_rows.run)
        self._background.start("paths to endpoints", parts.connections.paths.run)
        self._background.start("settings file", self._follow_settings_file)
        self._background.start("ticks", self._tick)
        await self._stop.wait()
        await self._shut_down()

    def _record_stop_signal(self, number: int, frame: FrameType | None) -> None:
        """Record when a signal arrived, as a busy event loop handles it later."""
        if self._stop_signal_at is None:
            self._stop_signal_at = self._clock.now()

    async def _listen(self) -> None:
        parts, settings = self._parts, self._settings
        await self._serve(
            settings.frontend,
            parts.forwarder.handle,
            self._caller_connections,
            max_connections=parts.clients.max_caller_connections,
            closes="caller_closes",
        )
        control = {settings.readiness, settings.directory} - {None}
        for address in control:
            if address is not None:
                await self._serve(
                    address, parts.control.handle, self._control_connections
                )
        metrics = Address(host=settings.ip, port=settings.peer_ports[0])
        if metrics.port:
            await self._serve(metrics, parts.metrics.handle, self._control_connections)
            self._log.write(
                "metrics:listening", address=str(metrics), path=METRICS_PATH.decode()
            )

    async def _open_tunnels(self) -> None:
        """Carry connections of peers, if there is a port for them."""
        port = tunnel_port(self._settings)
        if not port:
            reason = "the range for peers has no second port"
            self._log.write("tunnel:not-listening", reason=reason)
            return
        try:
            await self._parts.tunnels.open(self._settings.ip, port)
        except OSError as error:
            # Peers leave this instance out; it serves all the same.
            self._log.write("tunnel:not-listening", reason=str(error))

    async def _serve(
        self,
        address: Address,
        handler: Handler,
        connections: set[ServerConnection],
        *,
        max_connections: Callable[[], float] | None = None,
        closes: str = "control_closes",
    ) -> None:
        """Listen; ``closes`` is the counter of the connections that are closed."""
        if max_connections is None:
            max_connections = self._parts.clients.max_control_connections

        def on_close(reason: CloseReason) -> None:
            self._parts.counters.add(closes, reason.value)
            self._client_closes.record(str(address), reason)

        def new_connection() -> ServerConnection:
            return ServerConnection(
                clock=self._clock,
                handler=handler,
                limits=self._parts.limits,
                budget=self._parts.clients.budget,
                open_connections=connections,
                max_connections=max_connections,
                is_draining=lambda: self._parts.drain.is_draining,
                on_close=on_close,
            )

        listening = socket.create_server(
            (address.host, address.port), backlog=BACKLOG, reuse_port=False
        )
        server = await asyncio.get_running_loop().create_server(
            new_connection, sock=listening, backlog=ACCEPT_BATCH
        )
        # The server has passed its number of connections to accept at once to the
        # socket, as that of connections to keep waiting.
        listening.listen(BACKLOG)
        self._servers.append(server)

    async def _tick(self) -> None:
        last_tick_at = self._clock.now()
        while True:
            await self._clock.sleep(TICK)
            now = self._clock.now()
            if now - last_tick_at > TICK + MIN_SUSPENSION:
                self._parts.resume_after_suspension(
                    Milliseconds(now - last_tick_at - TICK)
                )
            last_tick_at = now
            self._parts.tick()

    async def _follow_settings_file(self) -> None:
        """Apply changes of the settings file that come without a signal."""
        while True:
            await self._clock.sleep(SETTINGS_CHECK_INTERVAL)
            if self._settings_file.has_changed():
                self._reload()

    def _reload_if_changed(self) -> None:
        """Apply a change whose SIGHUP arrived before the handler was installed."""
        self._settings_file.record()
        try:
            is_changed = load_node_settings(self._settings_path) != self._settings
        except NodeSettingsError:
            is_changed = True
        if is_changed:
            self._reload()

    def _reload(self) -> None:
        """Read the settings file again; keep the current settings on a fault."""
        self._settings_file.record()
        try:
            settings = load_node_settings(self._settings_path)
        except NodeSettingsError as error:
            self._log.write("process:reload", outcome="kept", reason=str(error))
            return
        changed = [
            item.name
            for item in dataclasses.fields(settings)
            if getattr(settings, item.name) != getattr(self._settings, item.name)
        ]
        applied = [name for name in changed if name in RELOADABLE_SETTINGS]
        self._settings = dataclasses.replace(
            self._settings, **{name: getattr(settings, name) for name in applied}
        )
        self._parts.reload(self._settings)
        self._log.write(
            "process:reload",
            outcome="applied",
            applied=applied,
            left_until_restart=[name for name in changed if name not in applied],
        )

    async def _shut_down(self) -> None:
        """
        Become unready, then serve until no caller waits for anything.

        This takes at least ``MIN_DRAIN_TIME``. Shortly before SIGKILL, requests that
        are still in progress get a final response in place of the endpoint's; a stream
        that has begun is aborted.
        """
        parts = self._parts
        drain = parts.drain
        now = self._clock.now()
        started_at = now if self._stop_signal_at is None else self._stop_signal_at
        drain.begin(grace=self._settings.bounds.grace, signalled_at=started_at)
        parts.gossip.send_soon()
        parts.tunnels.announce_leaving()
        self._log.write(
            "process:stopping",
            handled_after_ms=now - started_at,
            active=parts.forwarder.active,
            tunnels=parts.tunnels.active,
            connections=self._connection_counts(),
            grace_ms=self._settings.bounds.grace,
        )
        while drain.phase is not Phase.ENDED:
            if drain.may_exit() and self._is_settled() and not parts.tunnels.active:
                break
            await self._clock.sleep(IDLE_CHECK_INTERVAL)
        remaining = parts.forwarder.active
        connections = self._connection_counts()
        drain.end()
        for server in self._servers:
            server.close()
        parts.forwarder.end_all()
        for connection in list(self._caller_connections):
            connection.reject_partial_request()
        while drain.time_to_exit() > 0 and not self._is_settled():
            await self._clock.sleep(IDLE_CHECK_INTERVAL)
        unsent = sum(item.unsent_bytes for item in self._caller_connections)
        for connection in list(self._caller_connections | self._control_connections):
            connection.close()
        parts.tunnels.close()
        parts.gossip.close()
        self._background.cancel()
        self._log.write(
            "process:stopped",
            took_ms=self._clock.now() - started_at,
            cut_off=remaining,
            connections=connections,
            unsent_bytes=unsent,
            store_calls=parts.store.calls,
        )
        self._log.flush()

    def _is_settled(self) -> bool:
        """Return whether no caller waits for anything from this instance."""
        return not any(item.state in _OWED for item in self._caller_connections)

    def _connection_counts(self) -> dict[str, int]:
        """Return the number of callers' connections by state."""
        counts = Counter(item.state.value for item in self._caller_connections)
        return dict(counts)


def run_node(settings_path: str | None = None) -> None:
    """Run an instance until it is stopped; raises ``NodeSettingsError`` at startup."""
    settings = load_node_settings(settings_path)
    clock = BootClock()
    log = LineLog(clock=clock, instance=settings.instance)
    LineLog.unblock_standard_output()
    random = Random(f"{settings.instance}:{clock.wall()}:{os.getpid()}")

    async def main() -> None:
        node = Node(
            settings,
            clock=clock,
            log=log,
            random=random,
            settings_path=settings_path,
        )
        await node.run()

    run: Coroutine[Any, Any, None] = main()
    asyncio.run(run)
