"""The socket for news between instances."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, cast

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.gossip._liveness import Liveness, MemberInfo
from fuchsiaroute.gossip._messages import (
    GossipDecodeError,
    GossipMessage,
    Heartbeat,
    TableUpdate,
    decode_message,
    encode_message,
)
from fuchsiaroute.ids import FailureDomainId, InstanceId
from fuchsiaroute.linelog import LineLog

#: Pause between two rounds of news; seven may be lost before a member counts as dead.
INTERVAL = Milliseconds(250)
#: Members told in a round. All are told in a small deployment; in a large one news
#: reaches all in a few rounds, and each instance's traffic does not grow with it.
FANOUT = 8
#: Members to which an instance passes a change on; each of them does the same, so that
#: about 1 in 400 is missed by all and reads the store itself.
RELAY_FANOUT = 6
#: Largest datagram; larger changes are read from the store by each instance.
LARGEST_RELAY_BYTES = 48_000
#: Part of them in the own failure domain: bytes between domains cost, and a few links
#: across are enough for news to spread.
NEAR_SHARE = 0.6
#: Least pause between two messages sent beside the rounds.
LEAST_PAUSE = Milliseconds(30)


class GossipNode(asyncio.DatagramProtocol):
    """
    Sends this instance's news to others in rounds, and hands theirs on.

    ``compose`` returns the news to send; ``on_news`` gets what others sent.
    ``on_rows`` gets changes of the store and tells whether they were new here; new ones
    are passed on.
    """

    def __init__(
        self,
        *,
        liveness: Liveness,
        failure_domain: FailureDomainId,
        clock: Clock,
        random: Random,
        log: LineLog,
        compose: Callable[[], GossipMessage],
        on_message: Callable[[GossipMessage], None],
        on_table_update: Callable[[TableUpdate], bool],
    ) -> None:
        self._liveness = liveness
        self._failure_domain = failure_domain
        self._clock = clock
        self._random = random
        self._log = log
        self._compose = compose
        self._on_news = on_message
        self._on_rows = on_table_update
        self._transport: asyncio.DatagramTransport | None = None
        self._alive: set[InstanceId] = set()
        self._sent_at = Milliseconds(0)
        self._flush: asyncio.TimerHandle | None = None

    async def open(self, host: str, port: int) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Send news in rounds until cancelled."""
        while True:
            self._liveness.count += 1
            self._send()
            self._note_changes()
            await self._clock.sleep(INTERVAL)

    def send_soon(self) -> None:
        """Send news before the next round, together with what comes until then."""
        if self._flush is None:
            loop = asyncio.get_running_loop()
            self._flush = loop.call_later(LEAST_PAUSE / 1_000, self._flush_now)

    def send_to_all(self) -> None:
        """Send news to every member known, once."""
        if self._liveness.members:
            self._send_to(encode_message(self._compose()), len(self._liveness.members))

    def relay(self, rows: TableUpdate) -> None:
        """Pass changes of the store on to some members."""
        data = encode_message(rows)
        if len(data) <= LARGEST_RELAY_BYTES:
            self._send_to(data, RELAY_FANOUT)

    # asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Take over the news of another instance."""
        try:
            news = decode_message(data)
        except GossipDecodeError as error:
            self._log.write("news:unreadable", sender=str(addr), reason=str(error))
            return
        if isinstance(news, TableUpdate):
            if self._on_rows(news):
                self.relay(news)
            return
        is_new = self._liveness.update_member(
            MemberInfo(
                instance=InstanceId(news.instance),
                host=str(addr[0]),
                port=news.port,
                frontend=news.frontend,
                failure_domain=FailureDomainId(news.failure_domain),
            )
        )
        self._liveness.merge(Heartbeat(news.instance, news.count, news.is_ready))
        for heartbeat in news.heartbeats:
            self._liveness.merge(heartbeat)
        self._on_news(news)
        self._note_changes()
        if is_new:
            self.send_soon()

    def error_received(self, exc: Exception) -> None:
        """Note a refused datagram; a dead member shows by its silence."""
        self._log.write("news:undelivered", reason=str(exc))

    # Private

    def _flush_now(self) -> None:
        self._flush = None
        self._send()

    def _send(self) -> None:
        if self._liveness.members:
            self._send_to(encode_message(self._compose()), FANOUT)

    def _send_to(self, data: bytes, most: int) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        for member in self._sample(most):
            self._transport.sendto(data, (member.host, member.port))

    def _sample(self, most: int) -> list[MemberInfo]:
        """Return all members, or some of them, most from the own failure domain."""
        members = list(self._liveness.members)
        if len(members) <= most:
            return members
        near = [item for item in members if self._is_near(item)]
        far = [item for item in members if not self._is_near(item)]
        near = self._random.sample(near, min(round(most * NEAR_SHARE), len(near)))
        return near + self._random.sample(far, min(most - len(near), len(far)))

    def _is_near(self, member: MemberInfo) -> bool:
        return member.failure_domain == self._failure_domain

    def _note_changes(self) -> None:
        alive = {member.instance for member in self._liveness.alive()}
        for name in alive - self._alive:
            self._log.write("instance:heard", member=name, alive=len(alive))
        for name in self._alive - alive:
            self._log.write("instance:silent", member=name, alive=len(alive))
        self._alive = alive
