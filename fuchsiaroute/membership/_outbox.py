"""News on its way to the targets of heartbeats."""

from fuchsiaroute.ids import InstanceId
from fuchsiaroute.membership._messages import (
    MembershipUpdate,
    UpdateKey,
    update_key,
    update_order,
)

#: News in one heartbeat; keeps a burst within the budget of bytes.
NEWS_PER_HEARTBEAT = 12


class Outbox:
    """Holds, for each peer, the news that it has not yet acknowledged."""

    def __init__(self) -> None:
        self._pending: dict[InstanceId, dict[UpdateKey, MembershipUpdate]] = {}

    def keep_peers(
        self, peers: frozenset[InstanceId], *, greeting: tuple[MembershipUpdate, ...]
    ) -> None:
        """Hold news for ``peers`` only; a new one is first sent ``greeting``."""
        for peer in self._pending.keys() - peers:
            del self._pending[peer]
        for peer in peers - self._pending.keys():
            self._pending[peer] = {update_key(news): news for news in greeting}

    def forget(self, peer: InstanceId) -> None:
        """Drop what is held for ``peer``, so that it counts as a new one."""
        self._pending.pop(peer, None)

    def add(self, news: MembershipUpdate, *, source: InstanceId) -> None:
        """Have ``news`` sent to every peer but ``source``, where it came from."""
        for peer, pending in self._pending.items():
            if peer != source:
                pending[update_key(news)] = news

    def next_news(self, peer: InstanceId) -> tuple[MembershipUpdate, ...]:
        """Return the news for the next heartbeat to ``peer``, oldest first."""
        pending = self._pending.get(peer, {})
        return tuple(pending.values())[:NEWS_PER_HEARTBEAT]

    def acknowledge(self, peer: InstanceId, sent: tuple[MembershipUpdate, ...]) -> None:
        """Remove what ``peer`` has received, unless it has been replaced since."""
        pending = self._pending.get(peer, {})
        for news in sent:
            held = pending.get(update_key(news))
            if held is not None and update_order(held) <= update_order(news):
                del pending[update_key(news)]
