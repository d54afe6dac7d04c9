"""The places that an instance holds at brittle endpoints."""

from collections.abc import Callable
from dataclasses import dataclass, field

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.ids import EndpointId, InstanceId
from fuchsiaroute.places._notices import BrittleNotices

#: Interval at which an instance reports what it holds or wants.
REPORT_INTERVAL = Milliseconds(400)
#: Time for which a request that found no place counts as work. One that waits tries
#: several times in it.
WANT_TIME = Milliseconds(250)
#: Time without a message of the issuer after which places lapse. Another instance has
#: taken over before if the issuer has died, and the issuer keeps them for longer.
LAPSE_TIME = Milliseconds(2_600)
#: Time for which a request that was given up may still be in the endpoint.
GIVEN_UP_TIME = Milliseconds(250)


@dataclass(frozen=True, kw_only=True)
class Holding:
    """What an instance reports of its places at an endpoint process."""

    endpoint: EndpointId
    #: Start of the process, as announced.
    started_at: int
    #: Increases from report to report, also over restarts.
    sequence: int
    #: Requests in flight.
    used: int
    #: Requests that may be in flight; at least those that are.
    held: int
    #: Whether requests found no place.
    is_wanted: bool
    #: Requests that the endpoint has rejected so far.
    rejected: int
    #: Term and number of the latest allowance that was received.
    term: int
    number: int


@dataclass(slots=True)
class _Places:
    started_at: int
    #: Requests that may be in flight.
    allowed: int
    #: When the issuer was last heard.
    heard_at: Milliseconds
    #: The instance that sent the latest allowance, with its term and number.
    issuer: InstanceId | None = None
    term: int = 0
    number: int = 0
    #: Whether other instances want places.
    is_contended: bool = False
    wanted_until: Milliseconds = Milliseconds(0)
    #: Time of the latest report to the issuer, and what it said.
    reported_at: Milliseconds | None = None
    reported_held: int = 0
    reported_rejected: int = 0
    #: Time of the latest request for a place, and whether it is still to be reported.
    asked_at: Milliseconds | None = None
    is_asking: bool = False
    #: Whether an allowance has arrived or places were returned since the latest report.
    must_report: bool = False
    rejected: int = 0
    #: Times until which requests that were given up count as in flight.
    given_up: list[Milliseconds] = field(default_factory=list)


class PlaceHolder:
    """
    Decides whether a request may be sent to a brittle endpoint.

    A place allows one request in flight and is kept for the next one. Methods get the
    requests in flight of this instance as ``load``. ``on_change`` is called with an
    endpoint of which places are wanted, or of which one may have become free.
    """

    def __init__(
        self,
        *,
        notices: BrittleNotices,
        clock: Clock,
        on_change: Callable[[Endpoint], None] = lambda endpoint: None,
    ) -> None:
        self._notices = notices
        self._clock = clock
        self._on_change = on_change
        self._places: dict[EndpointId, _Places] = {}
        self._sequence = 0

    @property
    def is_needed(self) -> bool:
        """Return whether any endpoint is brittle."""
        return self._notices.has_brittle

    def is_limited(self, endpoint: Endpoint) -> bool:
        """Return whether requests to an endpoint need places."""
        return self._notices.tolerance(endpoint) is not None

    def has_place(self, endpoint: Endpoint, load: int) -> bool:
        """Return whether a request may be sent now."""
        if not self.is_limited(endpoint):
            return True
        places = self._of(endpoint, load)
        if self._clock.now() - places.heard_at > LAPSE_TIME:
            return False
        return load + len(places.given_up) < places.allowed

    def want(self, endpoint: Endpoint, load: int) -> None:
        """Record that a request found no place."""
        places = self._of(endpoint, load)
        now = self._clock.now()
        places.wanted_until = Milliseconds(now + WANT_TIME)
        if places.asked_at is None or now - places.asked_at >= REPORT_INTERVAL:
            places.asked_at = now
            places.is_asking = True
            self._on_change(endpoint)

    def release(
        self, endpoint: Endpoint, load: int, *, was_rejected: bool, may_run: bool
    ) -> None:
        """
        Record the end of a request, after which ``load`` are in flight.

        The place of a request that was rejected is lost. One that was given up and may
        still run keeps its place for ``GIVEN_UP_TIME``.
        """
        if not self.is_limited(endpoint):
            return
        places = self._of(endpoint, load)
        if was_rejected:
            places.allowed = max(places.allowed - 1, 0)
            places.rejected += 1
        elif may_run:
            places.given_up.append(Milliseconds(self._clock.now() + GIVEN_UP_TIME))
        self._on_change(endpoint)

    def receive(
        self,
        endpoint: Endpoint,
        load: int,
        *,
        issuer: InstanceId,
        term: int,
        number: int,
        allowed: int,
        is_contended: bool,
    ) -> None:
        """Apply an allowance of the issuer, unless a later one has arrived."""
        places = self._of(endpoint, load)
        is_same_term = (issuer, term) == (places.issuer, places.term)
        if is_same_term and number < places.number:
            return
        places.heard_at = self._clock.now()
        places.is_contended = is_contended
        if is_same_term and number == places.number:
            # The issuer may have missed that places were returned. An instance that
            # holds some gets the same allowance in reply to each report, and must not
            # report for that alone.
            held = max(places.allowed, load + len(places.given_up))
            places.must_report |= not held or allowed > places.allowed
            return
        places.issuer, places.term, places.number = issuer, term, number
        if allowed > places.allowed:
            places.asked_at = None
            places.wanted_until = Milliseconds(0)
        places.must_report = True
        places.allowed = allowed

    def settle(self, endpoint: Endpoint, load: int) -> bool:
        """
        Return free places that others want; return whether a report is due.

        To be called when waiting requests have had the chance to use a place.
        """
        places = self._of(endpoint, load)
        now = self._clock.now()
        places.given_up = [until for until in places.given_up if until > now]
        used = load + len(places.given_up)
        has_lapsed = now - places.heard_at > LAPSE_TIME
        if used < places.allowed and (places.is_contended or has_lapsed):
            places.allowed = used
            places.must_report = True
        held = max(places.allowed, used)
        has_news = (
            held < places.reported_held
            or places.rejected != places.reported_rejected
            or places.is_asking
            or places.must_report
        )
        is_active = bool(held or places.reported_held) or places.wanted_until > now
        is_due = (
            places.reported_at is None or now - places.reported_at >= REPORT_INTERVAL
        )
        return has_news or (is_active and is_due)

    def report(self, endpoint: Endpoint, load: int) -> Holding:
        """Return what to report to the issuer now."""
        places = self._of(endpoint, load)
        now = self._clock.now()
        used = load + len(places.given_up)
        places.reported_at = now
        places.is_asking = places.must_report = False
        places.reported_held = max(places.allowed, used)
        places.reported_rejected = places.rejected
        self._sequence = max(self._sequence + 1, self._clock.wall())
        return Holding(
            endpoint=endpoint.id,
            started_at=places.started_at,
            sequence=self._sequence,
            used=used,
            held=places.reported_held,
            is_wanted=places.wanted_until > now and used >= places.allowed,
            rejected=places.rejected,
            term=places.term,
            number=places.number,
        )

    def forget(self, *, is_kept: Callable[[EndpointId], bool]) -> None:
        """Forget endpoints that are gone or not brittle; called periodically."""
        for name in [name for name in self._places if not is_kept(name)]:
            del self._places[name]

    def _of(self, endpoint: Endpoint, load: int) -> _Places:
        places = self._places.get(endpoint.id)
        if places is None or places.started_at != endpoint.started_at:
            # Requests that are in flight when the notice arrives keep their places.
            places = _Places(endpoint.started_at, load, self._clock.now())
            self._places[endpoint.id] = places
        return places
