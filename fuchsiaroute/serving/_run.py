"""Process of one entry: start, serve until a stop signal, shut down gracefully."""

import asyncio
import contextlib
import signal

from returns.result import Failure

from fuchsiaroute.advice import ADVICE_LIFETIME, CandidateEntry
from fuchsiaroute.clock import Clock, Milliseconds, SystemClock
from fuchsiaroute.gateway import CallerLimits
from fuchsiaroute.logs import (
    InstanceStateChanged,
    StopUnwritten,
    log_event,
    open_log,
)
from fuchsiaroute.serving._compose import ComposedEntry, EntryOptions, compose_entry
from fuchsiaroute.serving._operators import compose_operators
from fuchsiaroute.serving._peer_options import read_peer_options
from fuchsiaroute.serving._peers import PeerParts
from fuchsiaroute.serving._protocol import ConnectionLimits
from fuchsiaroute.serving._routing import EmptyRatingService
from fuchsiaroute.serving._server import HttpServer
from fuchsiaroute.settings import CallerSettings, Settings, read_secrets
from fuchsiaroute.store_http import HttpInstanceList, HttpRatingService, HttpTableStore
from fuchsiaroute.transport import build_client

#: Timeout, at a graceful stop, for each of the writes of claims and ledger records.
DRAIN_TIMEOUT = Milliseconds(10_000)
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class EntryProcess:
    """An entry with its servers, background tasks and connections."""

    def __init__(self, *, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._table_client = build_client(
            base_url=settings.platform.table_url,
            read_timeout=settings.platform.write_timeout,
        )
        self._instance_list_client = build_client(
            base_url=settings.platform.instance_list_url or settings.platform.table_url,
            read_timeout=settings.platform.read_timeout,
        )
        has_ratings = bool(settings.platform.rating_url)
        self._rating_client = build_client(
            base_url=settings.platform.rating_url,
            read_timeout=settings.platform.read_timeout,
        )
        options = EntryOptions(
            instance=settings.instance.id,
            failure_domain=settings.instance.failure_domain,
            pin_keys=_pin_keys(settings),
            peers=read_peer_options(settings),
            caller_limits=_caller_limits(settings.callers),
        )
        store = HttpTableStore(self._table_client)
        self._entry = compose_entry(
            options=options,
            store=store,
            instances=HttpInstanceList(self._instance_list_client),
            clock=clock,
            ratings=HttpRatingService(self._rating_client)
            if has_ratings
            else EmptyRatingService(),
        )
        self._caller_server = HttpServer(
            app=self._entry.app,
            host=settings.callers.host,
            port=settings.callers.port,
            limits=_connection_limits(settings.callers),
        )
        self._operator_server = HttpServer(
            app=compose_operators(
                self._entry, store=store, settings=settings.operators, clock=clock
            ),
            host=settings.operators.host,
            port=settings.operators.port,
        )

    @property
    def entry(self) -> ComposedEntry:
        """Return the composed entry."""
        return self._entry

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return self._caller_server.url

    @property
    def operators_url(self) -> str:
        """Return the base URL for operators."""
        return self._operator_server.url

    async def start(self) -> None:
        """Start the background tasks, then the peer, operator and caller servers."""
        self._entry.background.start()
        if isinstance(self._entry.peers, PeerParts):
            await self._entry.peers.start()
        await self._operator_server.start()
        await self._caller_server.start()
        own = CandidateEntry(
            instance=self._settings.instance.id,
            url=f"http://{self._settings.callers.advertised_address}",
            failure_domain=self._settings.instance.failure_domain,
            is_self=True,
        )
        self._entry.advice.update([own])

    async def stop(self) -> None:
        """
        Shut down gracefully.

        The entry withdraws from the advice and serves until the advice that callers
        hold has expired, closing each connection after a response that announces it. It
        then completes its requests, writes claims and ledger records to the store and
        closes its connections.
        """
        self._entry.advice.withdraw(self._settings.instance.id)
        if isinstance(self._entry.peers, PeerParts):
            self._entry.peers.leave()
        self._caller_server.drain()
        await self._clock.sleep(ADVICE_LIFETIME)
        await self._caller_server.stop()
        await self._entry.balancing.cold_slot_ownership.release()
        await self._entry.routing.allowances.release_unused()
        claims, ledger = self._entry.durable.claim_table, self._entry.durable.ledger
        if not await claims.drain(DRAIN_TIMEOUT):
            _log_unwritten("claims", claims.pending_outcomes)
        if not await ledger.drain(DRAIN_TIMEOUT):
            _log_unwritten("ledger", ledger.buffered)
        await self._entry.background.stop()
        await self._entry.durable.placement.release()
        if isinstance(self._entry.peers, PeerParts):
            await self._entry.peers.server.stop()
        await self._entry.aclose()
        await self._operator_server.stop()
        await self._table_client.aclose()
        await self._rating_client.aclose()
        await self._instance_list_client.aclose()


async def serve(settings: Settings) -> None:
    """
    Run an entry until the process receives SIGTERM or SIGINT.

    Raises ``SecretError`` for a key that cannot be read and ``OSError`` for an
    address or a log file that cannot be opened.
    """
    with open_log(settings.log.path):
        await _serve(settings)


async def _serve(settings: Settings) -> None:
    process = EntryProcess(settings=settings, clock=SystemClock())
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopping.set)
    await process.start()
    _log_state(settings, "started")
    with contextlib.suppress(asyncio.CancelledError):
        await stopping.wait()
    _log_state(settings, "stopping")
    await process.stop()
    _log_state(settings, "stopped")


def _log_state(settings: Settings, state: str) -> None:
    log_event(InstanceStateChanged(instance=settings.instance.id, state=state))


def _log_unwritten(what: str, records: int) -> None:
    log_event(StopUnwritten(what=what, records=records, waited_ms=DRAIN_TIMEOUT))


def _caller_limits(callers: CallerSettings) -> CallerLimits:
    return CallerLimits(
        max_body=callers.max_body,
        body_timeout=callers.body_timeout,
        default_deadline=callers.default_deadline,
        max_deadline=callers.max_deadline,
    )


def _connection_limits(callers: CallerSettings) -> ConnectionLimits:
    return ConnectionLimits(
        max_head=callers.max_head,
        idle_timeout=callers.idle_timeout,
        max_connections=callers.max_connections,
    )


def _pin_keys(settings: Settings) -> tuple[str, ...]:
    """Return the keys of session pins; raises ``SecretError``."""
    keys = read_secrets(settings.session.pin_key_files)
    if isinstance(keys, Failure):
        raise keys.failure()
    return keys.unwrap()
