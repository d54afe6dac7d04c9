"""Which owners of cold slots have departed for good."""

from collections.abc import Sequence
from dataclasses import dataclass

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.endpoints import MAX_REQUEST_DURATION
from fuchsiaroute.ids import Incarnation, InstanceId
from fuchsiaroute.store import InstanceRecord

#: How far the platform's list may lag behind.
LIST_LAG = Milliseconds(60_000)
#: Time for which an owner must be absent before its slots are claimed: the list may
#: lag, and the owner's last requests may still run.
DEPARTURE_DELAY = Milliseconds(LIST_LAG + MAX_REQUEST_DURATION)


@dataclass(frozen=True, kw_only=True)
class SlotOwner:
    """One life of one entry."""

    instance: InstanceId
    incarnation: Incarnation


class Departures:
    """
    Judges from the platform's list whether an owner's process has ended.

    Time alone never ends an ownership: a paused process stays in the list. Only a
    list that shows this entry itself says anything about the absence of others.
    """

    def __init__(self, *, owner: SlotOwner, clock: Clock) -> None:
        self._owner = owner
        self._clock = clock
        self._was_listed = False
        self._is_listed = False
        self._listed: frozenset[str] = frozenset()
        self._absent_since: dict[SlotOwner, Milliseconds] = {}

    @property
    def is_owner_missing(self) -> bool:
        """Return whether the list showed this entry once and no longer does."""
        return self._was_listed and not self._is_listed

    def update_instances(self, instances: Sequence[InstanceRecord]) -> None:
        """Take over a list that the platform has answered with."""
        self._listed = frozenset(instance.id for instance in instances)
        self._is_listed = self._owner.instance in self._listed
        self._was_listed = self._was_listed or self._is_listed
        for owner in list(self._absent_since):
            if self._is_present(owner):
                del self._absent_since[owner]

    def has_departed(self, owner: SlotOwner) -> bool:
        """Return whether ``owner`` has been absent for long enough."""
        if not self._is_listed and not self._is_predecessor(owner):
            self._absent_since.pop(owner, None)
            return False
        if self._is_present(owner):
            return False
        since = self._absent_since.setdefault(owner, self._clock.now())
        return self._clock.now() - since >= DEPARTURE_DELAY

    def _is_present(self, owner: SlotOwner) -> bool:
        return owner.instance in self._listed and not self._is_predecessor(owner)

    def _is_predecessor(self, owner: SlotOwner) -> bool:
        # A former life of this very instance has ended: its address is ours now.
        return owner.instance == self._owner.instance
