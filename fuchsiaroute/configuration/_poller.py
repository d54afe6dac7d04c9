"""Updates the configuration in force from the store and from peers."""

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

#: Reads of the head record per second, summed over all entries.
MAX_HEAD_READS_PER_SECOND = 200
#: Limits on the time between two reads of the head record by one entry.
MIN_POLL_INTERVAL = Milliseconds(1_000)
MAX_POLL_INTERVAL = Milliseconds(2_000)
MILLISECONDS_PER_SECOND = 1_000


class PollOutcome(Enum):
    """Outcome of one poll."""

    #: No higher revision was found.
    UNCHANGED = "unchanged"
    #: A higher revision is now in force.
    APPLIED = "applied"
    #: Neither the store nor a peer returned a usable configuration.
    STORE_SILENT = "store-silent"


class ConfigurationSource(Protocol):
    """A peer that may hold a higher revision."""

    async def fetch_configuration(self, known: Revision) -> Snapshot | NoChange:
        """Return the peer's configuration if its revision is above ``known``."""


def poll_interval(entry_count: int) -> Milliseconds:
    """Return the poll interval at which all entries keep to the read limit."""
    wanted = entry_count * MILLISECONDS_PER_SECOND // MAX_HEAD_READS_PER_SECOND
    bounded = min(max(wanted, MIN_POLL_INTERVAL), MAX_POLL_INTERVAL)
    return Milliseconds(bounded)


class ConfigurationPoller:
    """Reads the head record and loads new revisions, from peers if the store fails."""

    def __init__(
        self, reader: ConfigurationReader, in_force: ConfigurationInForce, clock: Clock
    ) -> None:
        self._reader = reader
        self._in_force = in_force
        self._clock = clock
        self._change: AcceptedChange | NoChange = NoChange.TOKEN

    async def poll(self) -> PollOutcome:
        """Read the head record once and load its configuration if that is new."""
        requested_at = self._clock.now()
        match await self._reader.head():
            case Success(change):
                self._record_head(change, requested_at)
                return await self._load_head()
            case _:
                return PollOutcome.STORE_SILENT

    async def catch_up(self, peers: Sequence[ConfigurationSource]) -> PollOutcome:
        """
        Load the highest known revision from the store, or else from ``peers``.

        Called when a peer has announced a higher revision and when an entry starts.
        An entry without a configuration skips the store and loads the highest
        revision of its peers.
        """
        if self._in_force.revision != NO_REVISION:
            outcome = await self.poll()
            if not self._in_force.is_behind:
                return outcome
        previous = self._in_force.revision
        for peer in peers:
            fetched = await peer.fetch_configuration(self._in_force.revision)
            if isinstance(fetched, Snapshot):
                self._in_force.apply_if_newer(fetched)
        is_changed = self._in_force.revision > previous
        return PollOutcome.APPLIED if is_changed else PollOutcome.STORE_SILENT

    def _record_head(
        self, change: AcceptedChange | NoChange, requested_at: Milliseconds
    ) -> None:
        if change is NoChange.TOKEN:
            return
        self._change = change
        confirmation = StoreConfirmation(revision=change.revision, instant=requested_at)
        self._in_force.record_confirmation(confirmation)

    async def _load_head(self) -> PollOutcome:
        change = self._change
        if change is NoChange.TOKEN or change.revision <= self._in_force.revision:
            return PollOutcome.UNCHANGED
        match await self._reader.load(change, self._in_force.snapshot):
            case Success(snapshot):
                self._in_force.apply_if_newer(snapshot)
                return PollOutcome.APPLIED
            case Failure(_):
                return PollOutcome.STORE_SILENT
            case _:
                return PollOutcome.STORE_SILENT
