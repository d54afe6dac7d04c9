"""Pausing a roll-out by a change of the accepted configuration."""

from returns.result import Failure, Success

from fuchsiaroute.clock import Clock
from fuchsiaroute.configuration import (
    ConfigurationLog,
    ConfigurationReader,
    Snapshot,
)
from fuchsiaroute.ids import ChangeId, RolloutId
from fuchsiaroute.rollout import RolloutAction, apply_action
from fuchsiaroute.store import TableStore

_MAX_ATTEMPTS = 3
_AUTHOR = "sequential test of ratings"


class StoredRolloutPauser:
    """Pauses roll-outs by submitting a change, as an operator does."""

    def __init__(self, *, store: TableStore, clock: Clock) -> None:
        self._reader = ConfigurationReader(store, clock)
        self._log = ConfigurationLog(store, clock)

    async def pause(self, rollout: RolloutId) -> bool:
        """Pause ``rollout``; return whether it is paused or ended in the store."""
        for _ in range(_MAX_ATTEMPTS):
            latest = await self._reader.latest()
            if not isinstance(latest, Success):
                return False
            snapshot = latest.unwrap()
            if not isinstance(snapshot, Snapshot):
                return False
            changed = apply_action(snapshot.configuration, rollout, RolloutAction.PAUSE)
            if (
                isinstance(changed, Failure)
                or changed.unwrap() == snapshot.configuration
            ):
                # It has ended, or another entry or an operator has paused it.
                return True
            # All entries submit this pause under the same id, so it is accepted once.
            change_id = f"pause-{rollout}-after-{snapshot.change.revision}"
            outcome = await self._log.accept(
                changed.unwrap(),
                change_id=ChangeId(change_id),
                expected_revision=snapshot.change.revision,
                author=_AUTHOR,
                summary=f"pause roll-out {rollout}",
                # The next poll of ratings retries under the same change id.
                attempts=1,
            )
            if isinstance(outcome, Success):
                return True
        return False
