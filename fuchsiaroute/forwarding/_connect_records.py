"""What opening connections shows of the paths to endpoints."""

from collections.abc import Callable
from enum import Enum

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.forwarding._counters import Counters
from fuchsiaroute.http1 import ConnectError, ConnectTimeoutError, NobodyListensError
from fuchsiaroute.ids import EndpointId
from fuchsiaroute.linelog import LineLog


class ConnectFailure(Enum):
    """How opening a connection failed."""

    #: The endpoint's machine answered that nothing listens on the port.
    REFUSED = "refused"
    #: Nothing answered in time.
    TIMED_OUT = "timed-out"
    #: Any other error, such as a missing route.
    OTHER = "other"


class ConnectRecords:
    """
    Counts failures to connect, and holds which endpoints are not reached at present.

    ``is_known`` returns whether an endpoint is still in use.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        log: LineLog,
        is_known: Callable[[EndpointId], bool],
    ) -> None:
        self._clock = clock
        self._counters = counters
        self._log = log
        self._is_known = is_known
        #: Instant of the first failure since the latest connection, by endpoint.
        self._unreached: dict[EndpointId, Milliseconds] = {}

    @property
    def unreached(self) -> int:
        """Return the number of endpoints to which the latest connect failed."""
        return len(self._unreached)

    def record_success(self, endpoint: EndpointId) -> None:
        """Record that a connection was established."""
        since = self._unreached.pop(endpoint, None)
        if since is not None:
            self._log.write(
                "endpoint:reached",
                endpoint=endpoint,
                unreached_ms=self._clock.now() - since,
                unreached=len(self._unreached),
            )

    def record_failure(self, endpoint: EndpointId, error: ConnectError) -> None:
        """Record that a connection could not be established."""
        kind = failure_kind(error)
        self._counters.add("connect_failures", kind.value)
        if endpoint in self._unreached:
            return
        self._unreached[endpoint] = self._clock.now()
        self._log.write(
            "endpoint:unreached",
            endpoint=endpoint,
            failure=kind.value,
            reason=str(error),
            unreached=len(self._unreached),
        )

    def remove_unknown(self) -> None:
        """Remove endpoints that are no longer in use."""
        for endpoint in [name for name in self._unreached if not self._is_known(name)]:
            del self._unreached[endpoint]


def failure_kind(error: ConnectError) -> ConnectFailure:
    """Return the kind of a failure to connect."""
    if isinstance(error, NobodyListensError):
        return ConnectFailure.REFUSED
    if isinstance(error, ConnectTimeoutError):
        return ConnectFailure.TIMED_OUT
    return ConnectFailure.OTHER
