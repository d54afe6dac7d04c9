"""Permits and places that requests to some endpoints need."""

from collections.abc import Sequence

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.permits import NamedRates, PermitHolder
from fuchsiaroute.places import BrittleNotices, PlaceHolder
from fuchsiaroute.pool._member import PoolMember

_REJECTIONS = frozenset({Outcome.REFUSED_FULL, Outcome.REFUSED_UNNAMED})
#: Outcomes after which the endpoint may still run the request for a moment.
_GIVEN_UP = frozenset({Outcome.SILENT, Outcome.CANCELLED})


class SendGate:
    """Decides whether a request may be sent to an endpoint now."""

    def __init__(
        self,
        *,
        clock: Clock,
        permits: PermitHolder | None = None,
        places: PlaceHolder | None = None,
    ) -> None:
        self._permits = permits or PermitHolder(
            rates=NamedRates(clock=clock), clock=clock
        )
        self._places = places or PlaceHolder(
            notices=BrittleNotices(clock=clock), clock=clock
        )

    @property
    def is_needed(self) -> bool:
        """Return whether requests to any endpoint need a permit or a place."""
        return self._permits.is_needed or self._places.is_needed

    def needs_place(self, member: PoolMember) -> bool:
        """Return whether places limit the requests in flight at an endpoint."""
        return self._places.is_needed and self._places.is_limited(member.endpoint)

    def may_send(self, member: PoolMember) -> bool:
        """Return whether there are the permit and the place that a request needs."""
        return self._has_place(member) and self._permits.may_send(member.endpoint)

    def lacks_only_permit(self, member: PoolMember) -> bool:
        """Return whether a request would need a permit only."""
        return self._has_place(member) and not self._permits.may_send(member.endpoint)

    def want(self, member: PoolMember) -> None:
        """Request the place or the permit that is missing."""
        if self._has_place(member):
            self._permits.want(member.endpoint)
        else:
            self._places.want(member.endpoint, member.own_load)

    def expected_wait(
        self, members: Sequence[PoolMember], ahead: float
    ) -> Milliseconds:
        """Return the time until a permit of one of ``members`` is due."""
        return self._permits.expected_wait([item.endpoint for item in members], ahead)

    def take_permit(self, member: PoolMember) -> Milliseconds | None:
        """Use up a permit; return the end of its validity, None if none was needed."""
        return self._permits.take(member.endpoint)

    def release(
        self,
        member: PoolMember,
        outcome: Outcome,
        *,
        permit_expiry: Milliseconds | None,
        is_sent: bool,
    ) -> None:
        """Record that a request is no longer counted at its endpoint."""
        if permit_expiry is not None and not is_sent:
            self._permits.give_back(member.endpoint, permit_expiry)
        if self._places.is_needed:
            self._places.release(
                member.endpoint,
                member.own_load,
                was_rejected=is_sent and outcome in _REJECTIONS,
                may_run=is_sent and outcome in _GIVEN_UP,
            )

    def _has_place(self, member: PoolMember) -> bool:
        return self._places.has_place(member.endpoint, member.own_load)
