"""The request rates that endpoints have named in their answers."""

from collections.abc import Callable
from dataclasses import dataclass

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.ids import EndpointId

#: Lowest rate that is applied. Only an answer can tell that a rate has ended, so an
#: endpoint that names 0 gets a request now and then.
MIN_RATE_PER_SECOND = 0.25
#: Time for which peers are told that a rate has ended, and for which the rate of an
#: endpoint that is not announced is kept.
ENDED_RATE_TIME = Milliseconds(10_000)
#: Reports that fit into a message to peers.
MAX_REPORTS = 100


@dataclass(frozen=True, kw_only=True)
class NamedRate:
    """What an endpoint process said of its rate in an answer."""

    endpoint: EndpointId
    #: Start of the process, as announced.
    started_at: int
    #: Requests a second from all instances together; None if it no longer names a rate.
    rate: float | None
    #: Monotonic time of the answer.
    at: Milliseconds


class NamedRates:
    """
    The latest statement of each endpoint process that has named a rate.

    All instances exchange their statements; the latest one counts.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._statements: dict[EndpointId, NamedRate] = {}
        self._has_rates = False

    @property
    def has_rates(self) -> bool:
        """Return whether any endpoint names a rate."""
        return self._has_rates

    @property
    def has_statements(self) -> bool:
        """Return whether any endpoint has named a rate lately."""
        return bool(self._statements)

    def record(self, endpoint: Endpoint, rate: float | None) -> bool:
        """Record what an answer says; return whether that is new."""
        return self.apply(
            NamedRate(
                endpoint=endpoint.id,
                started_at=endpoint.started_at,
                rate=rate,
                at=self._clock.now(),
            )
        )

    def apply(self, statement: NamedRate) -> bool:
        """Apply a statement that this instance or a peer has read."""
        known = self._statements.get(statement.endpoint)
        if known is None and statement.rate is None:
            return False
        order = (statement.started_at, statement.at)
        if known is not None and order < (known.started_at, known.at):
            return False
        self._statements[statement.endpoint] = statement
        self._has_rates = any(
            item.rate is not None for item in self._statements.values()
        )
        is_same_process = known is not None and known.started_at == statement.started_at
        former = known.rate if known is not None and is_same_process else None
        return former != statement.rate

    def rate_of(self, endpoint: EndpointId, started_at: int) -> float | None:
        """Return the requests a second to send to a process; None for no limit."""
        statement = self._statements.get(endpoint)
        if statement is None or statement.rate is None:
            return None
        if statement.started_at != started_at:
            return None
        return max(statement.rate, MIN_RATE_PER_SECOND)

    def statement(self, endpoint: EndpointId) -> NamedRate | None:
        """Return the latest statement of an endpoint."""
        return self._statements.get(endpoint)

    def statements(self) -> list[NamedRate]:
        """Return the statements for peers, the latest first."""
        recent = self._clock.now() - ENDED_RATE_TIME
        return sorted(
            (
                item
                for item in self._statements.values()
                if item.rate is not None or item.at >= recent
            ),
            key=lambda item: -item.at,
        )[:MAX_REPORTS]

    def forget(self, *, is_announced: Callable[[EndpointId], bool]) -> None:
        """Forget endpoints that are gone and rates that ended; called periodically."""
        if not self._statements:
            return
        recent = self._clock.now() - ENDED_RATE_TIME
        self._statements = {
            name: item
            for name, item in self._statements.items()
            if item.at >= recent or (item.rate is not None and is_announced(name))
        }
        self._has_rates = any(
            item.rate is not None for item in self._statements.values()
        )
