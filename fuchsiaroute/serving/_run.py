"""One entry as a process: start, serve until told to stop, finish, leave."""

import asyncio
import contextlib
import signal
from pathlib import Path

from returns.result import Failure

from fuchsiaroute.advice import ADVICE_LIFETIME, KnownEntry
from fuchsiaroute.clock import Clock, Milliseconds, SystemClock
from fuchsiaroute.peer import NoTls, TlsFiles
from fuchsiaroute.platform import HttpInstanceList, HttpRatingService, HttpTableStore
from fuchsiaroute.serving._compose import ComposedEntry, EntryOptions, compose_entry
from fuchsiaroute.serving._peers import NoPeers, PeerOptions, PeerParts
from fuchsiaroute.serving._routing import NoRatings
from fuchsiaroute.serving._server import HttpServer
from fuchsiaroute.settings import PeerSettings, Settings, read_secrets
from fuchsiaroute.transport import build_client

#: Longest wait at a graceful stop for the store to take the ledger's records.
DRAIN_LIMIT = Milliseconds(10_000)
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class EntryProcess:
    """A serving entry: its servers, its periodic tasks and its connections."""

    def __init__(self, *, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._platform = build_client(
            base_url=settings.platform.table_url,
            read_timeout=settings.platform.write_timeout,
        )
        has_ratings = bool(settings.platform.rating_url)
        self._ratings = build_client(
            base_url=settings.platform.rating_url,
            read_timeout=settings.platform.read_timeout,
        )
        options = EntryOptions(
            instance=settings.instance.id,
            failure_domain=settings.instance.failure_domain,
            pin_keys=_pin_keys(settings),
            peers=_peer_options(settings),
        )
        self._entry = compose_entry(
            options=options,
            store=HttpTableStore(self._platform),
            instances=HttpInstanceList(self._platform),
            clock=clock,
            ratings=HttpRatingService(self._ratings) if has_ratings else NoRatings(),
        )
        self._callers = HttpServer(
            app=self._entry.app,
            host=settings.callers.host,
            port=settings.callers.port,
        )

    @property
    def entry(self) -> ComposedEntry:
        """Return the parts of the entry."""
        return self._entry

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return self._callers.url

    async def start(self) -> None:
        """Start periodic tasks, then accept callers."""
        self._entry.background.start()
        if isinstance(self._entry.peers, PeerParts):
            await self._entry.peers.start()
        await self._callers.start()
        own = KnownEntry(
            instance=self._settings.instance.id,
            url=f"http://{self._settings.callers.advertised}",
            failure_domain=self._settings.instance.failure_domain,
            is_self=True,
        )
        self._entry.advice.update([own])

    async def stop(self) -> None:
        """Leave the advice, serve until it has run out, finish, then leave."""
        self._entry.advice.withdraw(self._settings.instance.id)
        if isinstance(self._entry.peers, PeerParts):
            self._entry.peers.leave()
        await self._clock.sleep(ADVICE_LIFETIME)
        await self._callers.stop()
        await self._entry.balancing.keeper.release()
        await self._entry.routing.allowances.give_back()
        await self._entry.lasting.book.drain(DRAIN_LIMIT)
        await self._entry.lasting.ledger.drain(DRAIN_LIMIT)
        await self._entry.background.stop()
        await self._entry.lasting.placement.release()
        if isinstance(self._entry.peers, PeerParts):
            await self._entry.peers.server.stop()
        await self._entry.aclose()
        await self._platform.aclose()
        await self._ratings.aclose()


async def serve(settings: Settings) -> None:
    """Serve callers until the process is told to stop."""
    process = EntryProcess(settings=settings, clock=SystemClock())
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopping.set)
    await process.start()
    with contextlib.suppress(asyncio.CancelledError):
        await stopping.wait()
    await process.stop()


def _peer_options(settings: Settings) -> PeerOptions | NoPeers:
    """Return how to reach peers; raises ``SecretError``."""
    peers = settings.peers
    keys = read_secrets(peers.key_files)
    if isinstance(keys, Failure):
        raise keys.failure()
    if not keys.unwrap():
        return NoPeers.TOKEN
    return PeerOptions(
        host=peers.host,
        port=peers.port,
        advertised=peers.advertised,
        keys=keys.unwrap(),
        tls=_tls(peers),
    )


def _tls(peers: PeerSettings) -> TlsFiles | NoTls:
    files = (peers.tls_certificate_file, peers.tls_key_file, peers.tls_authority_file)
    match files:
        case (Path() as certificate, Path() as private_key, Path() as authority):
            return TlsFiles(
                certificate=certificate, private_key=private_key, authority=authority
            )
        case _:
            return NoTls.TOKEN


def _pin_keys(settings: Settings) -> tuple[str, ...]:
    """Return the keys of session pins; raises ``SecretError``."""
    keys = read_secrets(settings.session.pin_key_files)
    if isinstance(keys, Failure):
        raise keys.failure()
    return keys.unwrap()
