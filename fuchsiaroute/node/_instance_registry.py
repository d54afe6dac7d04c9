"""Discovery of other instances through the store."""

from collections.abc import Callable
from random import Random

import msgspec
from returns.result import Failure

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.gossip import Liveness, MemberInfo
from fuchsiaroute.ids import FailureDomainId, InstanceId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import NodeSettings, PlatformStore, Row, Table, row_key
from fuchsiaroute.store import Put, Transaction

#: Delay after a failed call to the store.
RETRY_DELAY = Milliseconds(500)
#: Delay before the table is read a second time if no other instance is alive by then:
#: instances that started at the same time have registered in the meantime.
FIRST_REREAD_DELAY = Milliseconds(1_000)
#: Minimum interval between further reads.
MIN_REREAD_INTERVAL = Milliseconds(5_000)
#: Time for which peers may report an instance before its address is read from the
#: store. A new instance sends its address to all others once it has read the table.
UNKNOWN_MEMBER_TIMEOUT = Milliseconds(1_500)
#: Interval at which an instance checks whether to read the table again.
CHECK_INTERVAL = Milliseconds(500)


class _RegistryRow(msgspec.Struct):
    host: str
    port: int
    frontend: str
    failure_domain: str


_DECODER = msgspec.json.Decoder(_RegistryRow)


class InstanceRegistry:
    """
    Writes this instance's row and reads those of the others.

    Rows hold addresses only; gossip messages determine which instances are alive.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        store: PlatformStore,
        liveness: Liveness,
        clock: Clock,
        random: Random,
        log: LineLog,
        on_read: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._store = store
        self._liveness = liveness
        self._clock = clock
        self._random = random
        self._log = log
        self._on_read = on_read

    async def run(self) -> None:
        """
        Register, then read the table again whenever instances may be missing.

        This is the case while no other instance is alive, or when peers report an
        instance that is unknown here.
        """
        is_registered = False
        reread_delay = FIRST_REREAD_DELAY
        while True:
            answer = await self._store.read_table(Table.INSTANCES)
            if isinstance(answer, Failure):
                await self._sleep(RETRY_DELAY)
                continue
            self._update_members(answer.unwrap().rows)
            if not is_registered:
                is_registered = await self._register(answer.unwrap().rows)
                if not is_registered:
                    await self._sleep(RETRY_DELAY)
                    continue
            self._liveness.clear_unknown_members()
            self._on_read()
            await self._sleep(reread_delay)
            reread_delay = MIN_REREAD_INTERVAL
            while not self._is_reread_due():
                await self._sleep(CHECK_INTERVAL)

    def _is_reread_due(self) -> bool:
        is_alone = not self._liveness.alive()
        return is_alone or self._liveness.has_unknown_members(UNKNOWN_MEMBER_TIMEOUT)

    def _update_members(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            if row.value is None:
                continue
            try:
                decoded = _DECODER.decode(row.value)
            except msgspec.MsgspecError as error:
                self._log.write(
                    "instance:unreadable", member=row.key, reason=str(error)
                )
                continue
            self._liveness.update_member(
                MemberInfo(
                    instance=InstanceId(row.key),
                    host=decoded.host,
                    port=decoded.port,
                    frontend=decoded.frontend,
                    failure_domain=FailureDomainId(decoded.failure_domain),
                )
            )

    async def _register(self, rows: tuple[Row, ...]) -> bool:
        settings = self._settings
        value = msgspec.json.encode(
            _RegistryRow(
                host=settings.ip,
                port=settings.peer_ports[0],
                frontend=str(settings.frontend),
                failure_domain=settings.failure_domain,
            )
        )
        if any(row.key == settings.instance and row.value == value for row in rows):
            return True
        put = Put(key=row_key(Table.INSTANCES, settings.instance), value=value)
        answer = await self._store.commit(Transaction(puts=(put,)))
        if isinstance(answer, Failure):
            self._log.write("instance:not-registered", reason=answer.failure().message)
            return False
        self._log.write("instance:registered", instances=len(rows) + 1)
        return True

    async def _sleep(self, duration: Milliseconds) -> None:
        jitter = 0.75 + 0.5 * self._random.random()
        await self._clock.sleep(Milliseconds(round(duration * jitter)))
