"""Discovery of other instances through the store."""

from collections.abc import Callable
from random import Random

import msgspec
from returns.result import Failure, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.decoding import MalformedDataError, Port, decode
from fuchsiaroute.gossip import Liveness, MemberInfo
from fuchsiaroute.hashing import rendezvous_order
from fuchsiaroute.ids import FailureDomainId, InstanceId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import NodeSettings, PlatformStore, Row, Table, row_key
from fuchsiaroute.store import Check, Committed, Put, Transaction

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
#: Instances that check in turn, after a restore of the store, whether rows are lost.
#: The later ones take over if the first one fails.
MAX_REWRITE_TURNS = 3
#: Time that an instance leaves to each instance before it.
REWRITE_TURN_TIME = Milliseconds(2_500)
#: The store accepts 100 entries in a transaction; each row has a check and a put.
MAX_ROWS_IN_A_WRITE = 50
#: Interval at which an instance checks whether to read the table again.
CHECK_INTERVAL = Milliseconds(500)


class _RegistryRow(msgspec.Struct):
    host: str
    port: Port
    frontend: str
    failure_domain: str


_DECODER = msgspec.json.Decoder(_RegistryRow)


def _encode(info: MemberInfo) -> bytes:
    return msgspec.json.encode(
        _RegistryRow(
            host=info.host,
            port=info.port,
            frontend=info.frontend,
            failure_domain=info.failure_domain,
        )
    )


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
        era: Callable[[], int | None] = lambda: None,
    ) -> None:
        self._settings = settings
        self._store = store
        self._liveness = liveness
        self._clock = clock
        self._random = random
        self._log = log
        self._on_read = on_read
        self._era = era
        #: Era of the store in which the rows of all instances are known to exist.
        self._checked_era: int | None = None
        self._restored_at = Milliseconds(0)

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
            await self._check_era()
            self._liveness.clear_unknown_members()
            self._on_read()
            await self._sleep(reread_delay)
            reread_delay = MIN_REREAD_INTERVAL
            while not self._is_reread_due():
                await self._sleep(CHECK_INTERVAL)
                await self._check_era()

    def _is_reread_due(self) -> bool:
        is_alone = not self._liveness.alive()
        return is_alone or self._liveness.has_unknown_members(UNKNOWN_MEMBER_TIMEOUT)

    async def _check_era(self) -> None:
        """Write lost rows again after the store was restored from a copy."""
        era = self._era()
        if era is None:
            return
        if self._checked_era is None:
            self._checked_era = era
        if era <= self._checked_era:
            self._restored_at = self._clock.now()
            return
        names = [item.instance for item in self._liveness.alive()]
        order = rendezvous_order(f"instances:{era}", [*names, self._settings.instance])
        turn = order.index(self._settings.instance)
        is_due = self._clock.now() - self._restored_at >= turn * REWRITE_TURN_TIME
        if turn >= MAX_REWRITE_TURNS or (is_due and await self._write_lost_rows()):
            self._checked_era = era

    async def _write_lost_rows(self) -> bool:
        """Write the rows that the store lacks; return whether none is missing now."""
        answer = await self._store.read_table(Table.INSTANCES)
        if isinstance(answer, Failure):
            return False
        present = {row.key for row in answer.unwrap().rows if row.value is not None}
        known = {str(item.instance): item for item in self._liveness.alive()}
        known[self._settings.instance] = self._own_info()
        missing = [info for name, info in known.items() if name not in present]
        for start in range(0, len(missing), MAX_ROWS_IN_A_WRITE):
            part = missing[start : start + MAX_ROWS_IN_A_WRITE]
            keys = [row_key(Table.INSTANCES, item.instance) for item in part]
            written = await self._store.commit(
                Transaction(
                    checks=tuple(Check(key=key, version=0) for key in keys),
                    puts=tuple(
                        Put(key=key, value=_encode(item))
                        for key, item in zip(keys, part, strict=True)
                    ),
                )
            )
            is_written = isinstance(written, Success) and isinstance(
                written.unwrap(), Committed
            )
            self._log.write(
                "instances:rewritten" if is_written else "instances:not-rewritten",
                members=[item.instance for item in part],
            )
            if not is_written:
                return False
        return True

    def _own_info(self) -> MemberInfo:
        settings = self._settings
        return MemberInfo(
            instance=settings.instance,
            host=settings.ip,
            port=settings.peer_ports[0],
            frontend=str(settings.frontend),
            failure_domain=settings.failure_domain,
        )

    def _update_members(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            if row.value is None:
                continue
            try:
                decoded = decode(_DECODER, row.value)
            except MalformedDataError as error:
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
        value = _encode(self._own_info())
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
