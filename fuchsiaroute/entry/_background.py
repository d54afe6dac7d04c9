"""Periodic tasks of an entry."""

from returns.result import Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.declaration import decode
from fuchsiaroute.entry._current import CurrentConfiguration
from fuchsiaroute.ids import Revision
from fuchsiaroute.platform import ABSENT, TableStore

#: Record that holds the accepted configuration; its version is the revision.
CONFIGURATION_KEY = "configuration/head"
CONFIGURATION_POLL_INTERVAL = Milliseconds(1_000)


class ConfigurationPoll:
    """Reads the accepted configuration again and again."""

    def __init__(
        self, *, store: TableStore, current: CurrentConfiguration, clock: Clock
    ) -> None:
        self._store = store
        self._current = current
        self._clock = clock

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep(CONFIGURATION_POLL_INTERVAL)

    async def poll(self) -> None:
        """Read the accepted configuration once and put it in force."""
        match await self._store.read([CONFIGURATION_KEY]):
            case Success((record,)) if record.version != ABSENT:
                self._current.apply(Revision(record.version), decode(record.value))
