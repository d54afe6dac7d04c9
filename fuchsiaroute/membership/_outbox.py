"""Queues of membership updates for the targets of heartbeats."""

from fuchsiaroute.ids import InstanceId
from fuchsiaroute.membership._messages import (
    MembershipUpdate,
    UpdateKey,
    update_key,
    update_order,
)

#: Bounds the size of a heartbeat after a burst of updates.
MAX_UPDATES_PER_HEARTBEAT = 12


class Outbox:
    """Holds, for each peer, the updates that it has not yet acknowledged."""

    def __init__(self) -> None:
        self._pending: dict[InstanceId, dict[UpdateKey, MembershipUpdate]] = {}

    def update_peers(
        self, peers: frozenset[InstanceId], *, initial: tuple[MembershipUpdate, ...]
    ) -> None:
        """Hold updates for ``peers`` only; a new peer first receives ``initial``."""
        for peer in self._pending.keys() - peers:
            del self._pending[peer]
        for peer in peers - self._pending.keys():
            self._pending[peer] = {update_key(update): update for update in initial}

    def remove(self, peer: InstanceId) -> None:
        """Drop the updates for ``peer``; it is then treated as a new peer."""
        self._pending.pop(peer, None)

    def add(self, update: MembershipUpdate, *, source: InstanceId) -> None:
        """Queue ``update`` for every peer except ``source``, its sender."""
        for peer, pending in self._pending.items():
            if peer != source:
                pending[update_key(update)] = update

    def next_updates(self, peer: InstanceId) -> tuple[MembershipUpdate, ...]:
        """Return the updates for the next heartbeat to ``peer``, oldest first."""
        pending = self._pending.get(peer, {})
        return tuple(pending.values())[:MAX_UPDATES_PER_HEARTBEAT]

    def acknowledge(self, peer: InstanceId, sent: tuple[MembershipUpdate, ...]) -> None:
        """Remove the updates ``sent`` to ``peer``, but none that is newer."""
        pending = self._pending.get(peer, {})
        for update in sent:
            held = pending.get(update_key(update))
            if held is not None and update_order(held) <= update_order(update):
                del pending[update_key(update)]
