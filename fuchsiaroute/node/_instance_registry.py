"""Finding the other instances through the store."""

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

#: Pause after a failed call of the store.
RETRY_PAUSE = Milliseconds(500)
#: Pause before the first reading is repeated if nobody has been heard by then: those
#: that started at the same time have registered since.
FIRST_LONELY_PAUSE = Milliseconds(1_000)
#: Least pause between two later readings.
LONELY_PAUSE = Milliseconds(5_000)
#: Time for which others may tell of an instance that has not introduced itself; a new
#: one greets everybody as soon as it has read the table.
STRANGER_PATIENCE = Milliseconds(1_500)
#: Pause between two looks at whether to read again.
LOOK = Milliseconds(500)


class _Entry(msgspec.Struct):
    host: str
    port: int
    frontend: str
    failure_domain: str


_DECODER = msgspec.json.Decoder(_Entry)


class InstanceRegistry:
    """
    Keeps this instance's row and reads those of the others.

    Who is alive is told by news between instances; rows only say where they listen.
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
        on_found: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._store = store
        self._liveness = liveness
        self._clock = clock
        self._random = random
        self._log = log
        self._on_found = on_found

    async def run(self) -> None:
        """
        Register, then read again only while it may tell of others.

        That is while no other instance is heard, or when others tell of one that is
        unknown here.
        """
        is_registered = False
        pause = FIRST_LONELY_PAUSE
        while True:
            answer = await self._store.read_table(Table.INSTANCES)
            if isinstance(answer, Failure):
                await self._pause(RETRY_PAUSE)
                continue
            self._introduce(answer.unwrap().rows)
            if not is_registered:
                is_registered = await self._register(answer.unwrap().rows)
                if not is_registered:
                    await self._pause(RETRY_PAUSE)
                    continue
            self._liveness.clear_unknown_members()
            self._on_found()
            await self._pause(pause)
            pause = LONELY_PAUSE
            while not self._is_reading_due():
                await self._pause(LOOK)

    def _is_reading_due(self) -> bool:
        is_alone = not self._liveness.alive()
        return is_alone or self._liveness.has_unknown_members(STRANGER_PATIENCE)

    def _introduce(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            if row.value is None:
                continue
            try:
                entry = _DECODER.decode(row.value)
            except msgspec.MsgspecError as error:
                self._log.write(
                    "instance:unreadable", member=row.key, reason=str(error)
                )
                continue
            self._liveness.update_member(
                MemberInfo(
                    instance=InstanceId(row.key),
                    host=entry.host,
                    port=entry.port,
                    frontend=entry.frontend,
                    failure_domain=FailureDomainId(entry.failure_domain),
                )
            )

    async def _register(self, rows: tuple[Row, ...]) -> bool:
        settings = self._settings
        value = msgspec.json.encode(
            _Entry(
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

    async def _pause(self, duration: Milliseconds) -> None:
        spread = 0.75 + 0.5 * self._random.random()
        await self._clock.sleep(Milliseconds(round(duration * spread)))
