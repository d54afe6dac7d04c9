"""Keeps the configuration in force current from the store and from peers."""

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

from returns.result import Failure, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration._change import NO_REVISION, AcceptedChange, NoChange
from fuchsiaroute.configuration._in_force import ConfigurationInForce, StoreConfirmation
from fuchsiaroute.configuration._reader import ConfigurationReader
from fuchsiaroute.configuration._snapshot import Snapshot
from fuchsiaroute.ids import Revision

#: Reads of the head record a second, over all entries together.
HEAD_READ_BUDGET = 200
#: Bounds on the time between two reads of the head record by one entry.
SHORTEST_INTERVAL = Milliseconds(1_000)
LONGEST_INTERVAL = Milliseconds(2_000)
MILLISECONDS_PER_SECOND = 1_000


class PollOutcome(Enum):
    """What one poll of the store gave."""

    UNCHANGED = "unchanged"
    APPLIED = "applied"
    STORE_SILENT = "store-silent"


class ConfigurationSource(Protocol):
    """A peer that may hold a higher configuration."""

    async def fetch_configuration(self, known: Revision) -> Snapshot | NoChange:
        """Return the peer's configuration if it is higher than ``known``."""


def poll_interval(entry_count: int) -> Milliseconds:
    """Return the time between polls that keeps all entries within the budget."""
    wanted = entry_count * MILLISECONDS_PER_SECOND // HEAD_READ_BUDGET
    bounded = min(max(wanted, SHORTEST_INTERVAL), LONGEST_INTERVAL)
    return Milliseconds(bounded)


class ConfigurationPoller:
    """Reads the head record, loads what is new, and falls back on peers."""

    def __init__(
        self, reader: ConfigurationReader, in_force: ConfigurationInForce, clock: Clock
    ) -> None:
        self._reader = reader
        self._in_force = in_force
        self._clock = clock
        self._change: AcceptedChange | NoChange = NoChange.TOKEN

    async def poll(self) -> PollOutcome:
        """Read the head once and load the configuration that it names."""
        asked_at = self._clock.now()
        match await self._reader.head():
            case Success(change):
                self._note(change, asked_at)
                return await self._load()
            case _:
                return PollOutcome.STORE_SILENT

    async def catch_up(self, peers: Sequence[ConfigurationSource]) -> PollOutcome:
        """
        Load the revision that is known of, from the store or else from ``peers``.

        Used when a peer has named a higher revision, and by a fresh entry, which
        takes the highest revision of all its peers.
        """
        if self._in_force.revision != NO_REVISION:
            outcome = await self.poll()
            if not self._in_force.is_behind:
                return outcome
        before = self._in_force.revision
        for peer in peers:
            found = await peer.fetch_configuration(self._in_force.revision)
            if isinstance(found, Snapshot):
                self._in_force.offer(found)
        is_changed = self._in_force.revision > before
        return PollOutcome.APPLIED if is_changed else PollOutcome.STORE_SILENT

    def _note(self, change: AcceptedChange | NoChange, asked_at: Milliseconds) -> None:
        if change is NoChange.TOKEN:
            return
        self._change = change
        word = StoreConfirmation(revision=change.revision, instant=asked_at)
        self._in_force.record_confirmation(word)

    async def _load(self) -> PollOutcome:
        change = self._change
        if change is NoChange.TOKEN or change.revision <= self._in_force.revision:
            return PollOutcome.UNCHANGED
        match await self._reader.load(change, self._in_force.snapshot):
            case Success(snapshot):
                self._in_force.offer(snapshot)
                return PollOutcome.APPLIED
            case Failure(_):
                return PollOutcome.STORE_SILENT
            case _:
                return PollOutcome.STORE_SILENT
