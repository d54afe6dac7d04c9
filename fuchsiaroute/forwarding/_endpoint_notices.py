"""What endpoints say about themselves in the heads of their answers."""

from collections.abc import Callable

from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.forwarding._counters import Counters
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.permits import NamedRates
from fuchsiaroute.places import BrittleNotices
from fuchsiaroute.platform import ResponseFields
from fuchsiaroute.pool import EndpointPool


class EndpointNotices:
    """
    Applies an endpoint's notices to the pool at once and logs them.

    An endpoint that is leaving gets no new requests, whatever its announcement says,
    and the peers are told. One that asks for a pause gets no request of this instance
    until its end. One that names a rate gets requests with permits only, until an
    answer names none. ``on_change`` sends the next gossip message early.
    """

    def __init__(
        self,
        pool: EndpointPool,
        *,
        counters: Counters,
        log: LineLog,
        rates: NamedRates,
        brittle: BrittleNotices,
        on_change: Callable[[], None],
    ) -> None:
        self._pool = pool
        self._counters = counters
        self._log = log
        self._rates = rates
        self._brittle = brittle
        self._on_change = on_change

    def record(self, call: Call, endpoint: Endpoint, fields: ResponseFields) -> None:
        """Apply the notices in the head of an answer of ``endpoint``."""
        self._record_rate(call, endpoint, fields)
        self._record_tolerance(call, endpoint, fields)
        if fields.is_not_run:
            self._counters.add("endpoint_rejections", endpoint.id)
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
            self._on_change()
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
        is_stated = fields.request_rate is not None
        if not is_stated and (fields.is_not_run or fields.is_rate_unreadable):
            # Says nothing of the rate; one that was named still holds.
            return
        if not self._rates.record(endpoint, fields.request_rate):
            return
        self._counters.add("endpoint_notices", "rate")
        self._log.write(
            "endpoint:rate-named",
            endpoint=endpoint.id,
            rate_per_s=fields.request_rate,
            source="answer",
            request=call.request_id,
        )
        self._on_change()

    def _record_tolerance(
        self, call: Call, endpoint: Endpoint, fields: ResponseFields
    ) -> None:
        is_stated = fields.rejection_tolerance is not None
        if not is_stated and (fields.is_not_run or fields.is_tolerance_unreadable):
            # Does not say that the endpoint is sound again.
            return
        if not self._brittle.record(endpoint, fields.rejection_tolerance):
            return
        self._counters.add("endpoint_notices", "brittle")
        self._log.write(
            "endpoint:brittle",
            endpoint=endpoint.id,
            rejections_per_s=fields.rejection_tolerance,
            source="answer",
            request=call.request_id,
        )
        self._on_change()
