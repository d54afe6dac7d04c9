"""Whether an instance that may be stopping can still serve a request."""

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import RequestKind
from fuchsiaroute.draining import Drain
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.pool import NoChoice, QueueRefusal

#: Refusal of a request that any other instance can serve at once.
STOPPING_REFUSAL = QueueRefusal(reason=NoChoice.STOPPING, retry_after=Milliseconds(100))


class StopAdmission:
    """Asks the drain about requests that have not been sent to an endpoint."""

    def __init__(self, drain: Drain, *, clock: Clock) -> None:
        self._drain = drain
        self._clock = clock

    def admits(self, call: Call) -> bool:
        """Return whether ``call`` can end before the instance does."""
        return self._drain.admits(
            call.route.name,
            is_stream=call.route.kind is RequestKind.STREAMING,
            deadline=call.remaining(self._clock),
            latency_target=call.route.latency_target,
        )
