"""A request that is counted at an endpoint."""

from collections.abc import Callable

from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.lifecycle import EndpointState, Outcome
from fuchsiaroute.pool._member import PoolMember
from fuchsiaroute.pool._send_gate import SendGate


class Reservation:
    """A request counted at an endpoint until ``finish`` is called with its outcome."""

    def __init__(
        self, member: PoolMember, *, gate: SendGate, work: float = 0.0
    ) -> None:
        self._member = member
        self._gate = gate
        #: End of the validity of the permit that this uses up, if it needs one.
        self._permit_expiry = gate.take_permit(member)
        self._is_sent = False
        self._is_open = True
        self._on_answer_started: Callable[[], None] | None = None
        self._on_finish: Callable[[], None] | None = None
        self._work = work
        #: Expected milliseconds of work queued before the request.
        self.backlog = member.backlog
        #: Monotonic instant at which the endpoint was reserved.
        self.reserved_at = member.clock.now()
        #: Whether the endpoint was cold when it was reserved.
        self.is_cold = member.is_cold
        member.add_request(work)

    @property
    def endpoint(self) -> Endpoint:
        """Return the endpoint of the reservation."""
        return self._member.endpoint

    def record_duration(self, relative_duration: float) -> None:
        """Record the request's latency, relative to the mean of its kind."""
        self._member.record_duration(relative_duration)

    @property
    def is_usable(self) -> bool:
        """Return whether the request may still be sent to the endpoint."""
        is_gone = self._member.state in (EndpointState.LEAVING, EndpointState.OUT)
        return not is_gone and not self._member.is_paused

    @property
    def is_heard(self) -> bool:
        """Return whether the endpoint has sent anything since it was reserved."""
        return self._member.heard_at > self.reserved_at

    def record_bytes(self) -> None:
        """Record that the endpoint has sent a part of an answer."""
        self._member.record_bytes()

    def record_silence(self) -> None:
        """Record that the endpoint has sent nothing for too long."""
        self._member.record_silence()

    def answer_started(self) -> None:
        """Record that the endpoint has started to answer."""
        self._member.remove_work(self._work)
        self._work = 0.0
        if self._on_answer_started is not None:
            self._on_answer_started()

    def set_callbacks(
        self, *, on_answer_started: Callable[[], None], on_finish: Callable[[], None]
    ) -> None:
        """Set the callbacks for the start of the answer and for ``finish``."""
        self._on_answer_started = on_answer_started
        self._on_finish = on_finish

    def record_sent(self) -> None:
        """Record that the request is about to be sent."""
        self._is_sent = True

    def record_connection_refused(self) -> None:
        """Record that the connection to the endpoint's address was refused."""
        self._member.is_connection_refused = True

    def revoke(self) -> None:
        """Release the reservation without having sent the request."""
        self.finish(Outcome.REVOKED)

    def finish(self, outcome: Outcome) -> None:
        """Release the reservation; a repeated call has no effect."""
        if self._is_open:
            self._is_open = False
            self.answer_started()
            self._member.finish_request(outcome)
            self._gate.release(
                self._member,
                outcome,
                permit_expiry=self._permit_expiry,
                is_sent=self._is_sent,
            )
            if self._on_finish is not None:
                self._on_finish()
