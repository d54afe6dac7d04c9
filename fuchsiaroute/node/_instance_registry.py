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
from fuchsiaroute.node._registrations import (
    READ_VALIDITY,
    Lease,
    Registrations,
    ShareState,
)
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
CHECK_INTERVAL = Milliseconds(250)
#: Age of the latest read from which the table is read again for a shared rate.
REFRESH_AGE = READ_VALIDITY // 2


class _RegistryRow(msgspec.Struct, omit_defaults=True):
    host: str
    port: Port
    frontend: str
    failure_domain: str
    #: Lease of the row, by the store's clock; 0 in rows of former builds.
    lease_start: int = 0
    lease_end: int = 0


_DECODER = msgspec.json.Decoder(_RegistryRow)


def _encode(info: MemberInfo, lease: Lease | None = None) -> bytes:
    return msgspec.json.encode(
        _RegistryRow(
            host=info.host,
            port=info.port,
            frontend=info.frontend,
            failure_domain=info.failure_domain,
            lease_start=lease.start if lease is not None else 0,
            lease_end=lease.end if lease is not None else 0,
        )
    )


class InstanceRegistry:
    """
    Writes this instance's row and reads those of the others.

    Rows hold addresses and leases; gossip messages determine which instances are alive.
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
        registrations: Registrations,
        era: Callable[[], int | None] = lambda: None,
        is_share_needed: Callable[[], bool] = lambda: False,
    ) -> None:
        self._settings = settings
        self._store = store
        self._liveness = liveness
        self._clock = clock
        self._random = random
        self._log = log
        self._on_read = on_read
        self._registrations = registrations
        self._era = era
        self._is_share_needed = is_share_needed
        #: State of the own part of shared rates that was logged last.
        self._logged_state: ShareState | None = None
        #: Era of the store in which the rows of all instances are known to exist.
        self._checked_era: int | None = None
        self._restored_at = Milliseconds(0)

    async def run(self) -> None:
        """
        Register, then read the table again whenever its rows are needed.

        This is the case while no other instance is alive, when peers report an instance
        that is unknown here, when the own row has to be renewed, and while a rate that
        all instances share is needed.
        """
        is_registered = is_announced = False
        reread_delay = FIRST_REREAD_DELAY
        while True:
            is_unsure = self._is_unsure()
            started_at = self._clock.now()
            answer = await self._store.read_table(Table.INSTANCES)
            if isinstance(answer, Failure):
                self._log_share()
                await self._sleep(RETRY_DELAY)
                continue
            rows = answer.unwrap().rows
            self._update_members(rows, started_at)
            if self._registrations.is_renewal_due:
                is_written = await self._register(rows)
                is_registered |= is_written or self._is_listed(rows)
                if not is_written:
                    await self._sleep(RETRY_DELAY)
                if not is_registered:
                    continue
            await self._check_era()
            self._liveness.clear_unknown_members()
            if is_unsure or not is_announced:
                # A message to all instances, which reads for other reasons do not need.
                self._on_read()
                is_announced = True
            min_age = self._jittered(reread_delay)
            reread_delay = MIN_REREAD_INTERVAL
            while not self._is_reread_due(min_age):
                self._log_share()
                await self._sleep(CHECK_INTERVAL)
                await self._check_era()

    def _is_reread_due(self, min_age: Milliseconds) -> bool:
        age = self._registrations.read_age
        if self._registrations.is_renewal_due or self._is_share_needed():
            return age >= REFRESH_AGE
        return self._is_unsure() and age >= min_age

    def _is_unsure(self) -> bool:
        """Return whether instances may be missing here."""
        is_alone = not self._liveness.alive()
        return is_alone or self._liveness.has_unknown_members(UNKNOWN_MEMBER_TIMEOUT)

    def _log_share(self) -> None:
        state = self._registrations.state
        if state is self._logged_state or not self._is_share_needed():
            return
        self._logged_state = state
        self._log.write(
            "shared-rates:usable"
            if state is ShareState.CONFIRMED
            else "shared-rates:not-usable",
            state=state.value,
            instances=len(self._registrations.names),
        )

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

    def _update_members(self, rows: tuple[Row, ...], started_at: Milliseconds) -> None:
        leases: dict[InstanceId, Lease] = {}
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
            name = InstanceId(row.key)
            if decoded.lease_end:
                leases[name] = Lease(
                    start=Milliseconds(decoded.lease_start),
                    end=Milliseconds(decoded.lease_end),
                )
            self._liveness.update_member(
                MemberInfo(
                    instance=name,
                    host=decoded.host,
                    port=decoded.port,
                    frontend=decoded.frontend,
                    failure_domain=FailureDomainId(decoded.failure_domain),
                )
            )
        store_now = self._store.now()
        if store_now is not None:
            self._registrations.record_read(
                leases, started_at=started_at, store_now=store_now
            )

    def _is_listed(self, rows: tuple[Row, ...]) -> bool:
        """Return whether the own row states the own addresses already."""
        own = self._own_info()
        for row in rows:
            if row.key == own.instance and row.value is not None:
                try:
                    decoded = decode(_DECODER, row.value)
                except MalformedDataError:
                    return False
                decoded.lease_start = decoded.lease_end = 0
                return msgspec.json.encode(decoded) == _encode(own)
        return False

    async def _register(self, rows: tuple[Row, ...]) -> bool:
        """Write the own row with a new lease; return whether it was written."""
        settings = self._settings
        started_at = self._clock.now()
        store_now = self._store.now()
        lease = None if store_now is None else self._registrations.next_lease(store_now)
        put = Put(
            key=row_key(Table.INSTANCES, settings.instance),
            value=_encode(self._own_info(), lease),
        )
        answer = await self._store.commit(Transaction(puts=(put,)))
        if isinstance(answer, Failure):
            self._log.write("instance:not-registered", reason=answer.failure().message)
            return False
        self._registrations.record_renewal(started_at)
        self._log.write("instance:registered", instances=len(rows) + 1)
        return True

    async def _sleep(self, duration: Milliseconds) -> None:
        await self._clock.sleep(self._jittered(duration))

    def _jittered(self, duration: Milliseconds) -> Milliseconds:
        return Milliseconds(round(duration * (0.75 + 0.5 * self._random.random())))
