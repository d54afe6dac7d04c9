"""Keeps requests under which endpoints crash away from them."""

from collections.abc import Awaitable, Callable

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.forwarding._counters import Counters
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.pool import EndpointPool, NoChoice, QueueRefusal
from fuchsiaroute.quarantine import Quarantine

#: Retry delay sent to the caller of a request that waits for its turn or a decision, or
#: is kept from the last endpoint of a service. A crashed endpoint takes seconds to be
#: back.
RETRY_DELAY_OF_SUSPECTED = Milliseconds(1_000)


class CrashGuard:
    """
    Finds crashes of endpoints and refuses requests that may be their cause.

    ``is_refused`` returns whether no process listens at an endpoint's address, and
    ``is_brittle`` whether it falls over if it has to reject too much.
    """

    def __init__(
        self,
        *,
        pool: EndpointPool,
        quarantine: Quarantine,
        is_refused: Callable[[Endpoint], Awaitable[bool]],
        is_brittle: Callable[[Endpoint], bool],
        counters: Counters,
        log: LineLog,
    ) -> None:
        self._pool = pool
        self._quarantine = quarantine
        self._is_refused = is_refused
        self._is_brittle = is_brittle
        self._counters = counters
        self._log = log

    async def check(
        self, call: Call, endpoint: Endpoint, *, has_event: bool = False
    ) -> None:
        """
        Record whether an endpoint crashed under a request without a whole answer.

        To be called when its connection has ended. If the answer has begun
        (``has_event``), this is evidence against the request, not its prompt's parts.
        """
        if not self._pool.has_crashed(endpoint.id):
            if not await self._is_refused(endpoint):
                return
            if self._is_brittle(endpoint) and not self._pool.has_crashed(endpoint.id):
                self._counters.add("endpoint_falls", endpoint.id)
            self._pool.record_crash(endpoint.id)
        self._counters.add("endpoint_crashes", call.route.name)
        self._log.write(
            "endpoint:crashed",
            endpoint=endpoint.id,
            request=call.request_id,
            request_key=call.key,
            attempt=len(call.sent_to),
            is_brittle=self._is_brittle(endpoint),
            prompt_parts=sorted(call.shared_parts),
        )
        self._quarantine.record_crash(
            {call.key} if has_event else call.subjects,
            endpoint.id,
            follows_crash=call.follows_crash,
        )

    def record_send(self, call: Call) -> None:
        """Record that the request is about to be sent."""
        call.follows_crash = self._quarantine.has_crashes(call.key)

    def record_answer_begun(self, call: Call) -> None:
        """Record that the first part of an answer has arrived."""
        if call.shared_parts:
            self._quarantine.record_answer(call.shared_parts)

    def record_answered(self, call: Call) -> None:
        """Record that a whole answer has arrived."""
        self._quarantine.record_answer({call.key})

    def may_retry(self, call: Call) -> bool:
        """Return whether the crashes under the request let it be sent again."""
        return self._quarantine.may_retry(call.subjects)

    def refusal(self, call: Call) -> QueueRefusal | None:
        """Return why the request is kept from endpoints that may crash under it."""
        left = self._quarantine.refusal_time(call.subjects)
        if left is None:
            return self._suspicion_refusal(call)
        self._log.write(
            "request:quarantined",
            request=call.request_id,
            request_key=call.key,
            prompt_parts=sorted(call.shared_parts),
        )
        return QueueRefusal(reason=NoChoice.QUARANTINED, retry_after=left)

    def _suspicion_refusal(self, call: Call) -> QueueRefusal | None:
        """Refuse a request under which an endpoint crashed, where that is a risk."""
        if not self._quarantine.has_crashes(call.key):
            return None
        is_last_endpoint = self._pool.is_reduced_to_one(call.service)
        if not is_last_endpoint and not self._quarantine.is_held_back(call.key):
            return None
        self._log.write(
            "request:suspected",
            request=call.request_id,
            request_key=call.key,
            is_last_endpoint=is_last_endpoint,
        )
        return QueueRefusal(
            reason=NoChoice.SUSPECTED, retry_after=RETRY_DELAY_OF_SUSPECTED
        )
