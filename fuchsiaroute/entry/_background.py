"""Periodic tasks of an entry."""

from collections.abc import Callable

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import ConfigurationPoller, poll_interval

EntryCount = Callable[[], int]


def _one_entry() -> int:
    return 1


class ConfigurationPoll:
    """Reads the accepted configuration again and again."""

    def __init__(
        self,
        *,
        poller: ConfigurationPoller,
        clock: Clock,
        entry_count: EntryCount = _one_entry,
    ) -> None:
        self._poller = poller
        self._clock = clock
        self._entry_count = entry_count

    async def run(self) -> None:
        """Poll until cancelled, less often the more entries share the store."""
        while True:
            await self.poll()
            await self._clock.sleep(self._interval())

    async def poll(self) -> None:
        """Read the accepted configuration once and put it in force."""
        await self._poller.poll()

    def _interval(self) -> Milliseconds:
        return poll_interval(self._entry_count())
