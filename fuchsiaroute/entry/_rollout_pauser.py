"""The pause of a roll-out as a change of the stored configuration."""

from returns.result import Failure, Success

from fuchsiaroute.declaration import decode, encode
from fuchsiaroute.entry._background import CONFIGURATION_KEY
from fuchsiaroute.ids import RolloutId
from fuchsiaroute.platform import ABSENT, Check, Committed, Put, TableStore, Transaction
from fuchsiaroute.rollout import RolloutAction, apply_action

_MAX_TRIES = 3


class StoredRolloutPauser:
    """Pauses by compare-and-set on the accepted configuration."""

    def __init__(self, *, store: TableStore) -> None:
        self._store = store

    async def pause(self, rollout: RolloutId) -> bool:
        """Return whether the accepted configuration has the roll-out stopped."""
        for _ in range(_MAX_TRIES):
            answer = await self._store.read([CONFIGURATION_KEY])
            if isinstance(answer, Failure):
                return False
            (head,) = answer.unwrap()
            if head.version == ABSENT:
                return False
            configuration = decode(head.value)
            changed = apply_action(configuration, rollout, RolloutAction.PAUSE)
            if isinstance(changed, Failure) or changed.unwrap() == configuration:
                # It has ended, or another entry or an operator has paused it.
                return True
            outcome = await self._store.commit(
                Transaction(
                    checks=(Check(key=head.key, version=head.version),),
                    puts=(Put(key=head.key, value=encode(changed.unwrap())),),
                )
            )
            if isinstance(outcome, Success) and isinstance(outcome.unwrap(), Committed):
                return True
        return False
