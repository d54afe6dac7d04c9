"""What endpoints say about themselves in the heads of their answers."""

from collections.abc import Callable

from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.forwarding._counters import Counters
from fuchsiaroute.ids import EndpointId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import ResponseFields
from fuchsiaroute.pool import EndpointPool


class EndpointNotices:
    """
    Applies an endpoint's notices to the pool at once and logs them.

    An endpoint that is leaving gets no new requests, whatever its announcement says,
    and the peers are told. One that asks for a pause gets no request of this instance
    until its end. ``on_leaving`` sends the next gossip message early.
    """

    def __init__(
        self,
        pool: EndpointPool,
        *,
        counters: Counters,
        log: LineLog,
        on_leaving: Callable[[], None],
    ) -> None:
        self._pool = pool
        self._counters = counters
        self._log = log
        self._on_leaving = on_leaving
        #: The rate that each endpoint named in its latest answer.
        self._rates: dict[EndpointId, float] = {}

    def record(self, call: Call, endpoint: Endpoint, fields: ResponseFields) -> None:
        """Apply the notices in the head of an answer of ``endpoint``."""
        self._record_rate(call, endpoint, fields)
        if fields.is_leaving and self._pool.mark_leaving(
            endpoint.id, endpoint.started_at
        ):
            self._counters.add("endpoint_notices", "leaving")
            self._log.write(
                "endpoint:leaving",
                endpoint=endpoint.id,
                born=endpoint.started_at,
                source="answer",
                request=call.request_id,
            )
            self._on_leaving()
        if fields.back_off and self._pool.pause(
            endpoint.id, endpoint.started_at, fields.back_off
        ):
            self._counters.add("endpoint_notices", "paused")
            self._log.write(
                "endpoint:paused",
                endpoint=endpoint.id,
                for_ms=fields.back_off,
                request=call.request_id,
            )

    def _record_rate(
        self, call: Call, endpoint: Endpoint, fields: ResponseFields
    ) -> None:
        rate = fields.request_rate
        if rate is None and fields.is_not_run:
            return
        if rate == self._rates.get(endpoint.id):
            return
        if rate is None:
            del self._rates[endpoint.id]
        else:
            self._rates[endpoint.id] = rate
        self._counters.add("endpoint_notices", "rate")
        self._log.write(
            "endpoint:rate-named",
            endpoint=endpoint.id,
            rate_per_s=rate,
            request=call.request_id,
        )
