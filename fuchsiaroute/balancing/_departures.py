"""Detection of cold slot owners whose process has ended."""

from collections.abc import Sequence
from dataclasses import dataclass

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.endpoints import MAX_REQUEST_DURATION
from fuchsiaroute.ids import Incarnation, InstanceId
from fuchsiaroute.store import InstanceRecord

#: Maximum age of the content of the platform's instance list.
MAX_LIST_LAG = Milliseconds(60_000)
#: Time for which an owner must be missing from the list before its slots may be
#: claimed: the list may lag, and the owner's last requests may still be running.
DEPARTURE_DELAY = Milliseconds(MAX_LIST_LAG + MAX_REQUEST_DURATION)


@dataclass(frozen=True, kw_only=True)
class SlotOwner:
    """One incarnation of one entry."""

    instance: InstanceId
    incarnation: Incarnation


class Departures:
    """
    Derives from the platform's instance list whether an owner's process has ended.

    Ownership does not expire by time alone: a paused process stays in the list. The
    absence of other entries counts only in a list that contains this entry.
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
        """Return whether this entry was in an earlier list but not in the latest."""
        return self._was_listed and not self._is_listed

    def update_instances(self, instances: Sequence[InstanceRecord]) -> None:
        """Apply an instance list received from the platform."""
        self._listed = frozenset(instance.id for instance in instances)
        self._is_listed = self._owner.instance in self._listed
        self._was_listed = self._was_listed or self._is_listed
        for owner in list(self._absent_since):
            if self._is_present(owner):
                del self._absent_since[owner]

    def has_departed(self, owner: SlotOwner) -> bool:
        """Return whether ``owner`` has been absent for ``DEPARTURE_DELAY``."""
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
        # An earlier incarnation of this instance has ended: this process now has its
        # address.
        return owner.instance == self._owner.instance
