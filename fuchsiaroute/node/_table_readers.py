"""Which instances read the store's tables, and how often."""

from collections.abc import Callable

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.gossip import Liveness
from fuchsiaroute.hashing import rendezvous_order
from fuchsiaroute.ids import InstanceId
from fuchsiaroute.platform import Table

#: Watch duration at the one instance that uses short watches: it detects a store that
#: no longer responds within this time plus the timeout of a call.
SHORT_WATCH = Milliseconds(2_000)
#: Watch duration at the other instances, whose peers send them the latest revision and
#: so reveal changes that a watch missed.
LONG_WATCH = Milliseconds(25_000)
#: Number of instances from which on a few readers watch the store and relay changes to
#: all others. With fewer instances, the readers' short watches cause as many calls as
#: long watches by all instances.
MIN_FOR_RELAY = 16
#: Readers of each table. Changes still arrive while one reader is partitioned; if both
#: are, the other instances watch the table themselves.
READER_COUNT = 2
#: Share of the widest link from which on an instance is preferred as a reader. All
#: others wait for the readers' copies: a declaration of 3,000 routes takes 2 s at
#: 5 Mbit/s and 0.1 s at 100 Mbit/s.
WIDE_LINK_SHARE = 0.5
#: Watch duration of readers. Other instances watch the table themselves if the readers'
#: latest response is too old, so this must stay well below the drain bound.
READER_WATCH = Milliseconds(900)
#: Maximum delay between two attempts of a reader to reach the store during an outage. A
#: removal may be deferred from the notice of its end, which must not come late.
MAX_READER_RETRY_DELAY = Milliseconds(500)
#: Maximum delay of the other instances. After the outage, they receive the changes from
#: the readers.
MAX_RETRY_DELAY = Milliseconds(3_000)
#: Maximum age of the readers' latest response, as a share of the drain bound, for which
#: an instance relies on them.
RELAY_AGE_SHARE = 0.6


class TableReaders:
    """
    Assigns a few readers to each table in a large fleet.

    Readers watch the store and relay changes to the other instances. They are chosen by
    hash among the instances with the widest links. A link that is not known yet counts
    like the own one, so that instances that have just started agree by hash alone.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        instances: Callable[[], tuple[InstanceId, ...]],
        answer_age: Callable[[str], Milliseconds | None],
        drain: Callable[[], Milliseconds],
        liveness: Liveness,
        link_mbps: float,
    ) -> None:
        self._liveness = liveness
        self._link = max(round(link_mbps), 1)
        #: ``link_changes`` for which ``_readers_of`` was computed.
        self._link_changes = 0
        self._instance = instance
        self._instances = instances
        self._answer_age = answer_age
        self._drain = drain
        #: Instances for which ``_readers_of`` was computed.
        self._names: tuple[InstanceId, ...] = ()
        self._readers_of: dict[Table, list[InstanceId]] = {}

    @property
    def has_relay(self) -> bool:
        """Return whether readers relay changes."""
        return len(self._instances()) >= MIN_FOR_RELAY

    def is_relayed(self, table: Table) -> bool:
        """Return whether readers relay the changes of a table to this instance."""
        if not self.has_relay or self._is_reader(table):
            return False
        age = self._answer_age(table.name)
        return age is not None and age < RELAY_AGE_SHARE * self._drain()

    def max_retry_delay(self, table: Table) -> Milliseconds:
        """Return the maximum delay between two attempts to reach the store."""
        is_patient = self.has_relay and not self._is_reader(table)
        return MAX_RETRY_DELAY if is_patient else MAX_READER_RETRY_DELAY

    def watch_duration(self, table: Table) -> Milliseconds:
        """Return the time for which the store may hold a watch open."""
        if self.has_relay and self._is_reader(table):
            return READER_WATCH
        is_first = min(self._instances()) == self._instance
        return SHORT_WATCH if is_first else LONG_WATCH

    def turn(self) -> int:
        """Return the number of instances that call a silent store before this one."""
        return sum(name < self._instance for name in self._instances())

    def _is_reader(self, table: Table) -> bool:
        names = self._instances()
        changes = self._liveness.link_changes
        if names is not self._names or changes != self._link_changes:
            self._names = names
            self._link_changes = changes
            self._readers_of = {}
        readers = self._readers_of.get(table)
        if readers is None:
            readers = self._choose(table, names)
            self._readers_of[table] = readers
        return self._instance in readers

    def _choose(self, table: Table, names: tuple[InstanceId, ...]) -> list[InstanceId]:
        links = {item.instance: item.link for item in self._liveness.members}
        links[self._instance] = self._link
        known = {name: links.get(name) or self._link for name in names}
        min_link = WIDE_LINK_SHARE * max(known.values())
        order = rendezvous_order(table.name, names)
        # The order by hash is kept within both groups.
        order.sort(key=lambda name: known[name] < min_link)
        return order[:READER_COUNT]
