"""Reports of the places at brittle endpoints between instances, and the replies."""

import asyncio
from collections.abc import Callable, Iterable

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.gossip import (
    FORMAT,
    BrittleUpdate,
    GossipNode,
    PlaceReply,
    PlaceReport,
)
from fuchsiaroute.ids import EndpointId, InstanceId, ServiceId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.node._issuer_choice import IssuerChoice
from fuchsiaroute.places import (
    Allowance,
    BrittleEndpoint,
    BrittleNotice,
    BrittleNotices,
    Holding,
    PlaceHolder,
    PlaceIssuer,
)
from fuchsiaroute.pool import EndpointPool

#: Delay after which a place that no waiting request has taken is free for others.
SETTLE_DELAY = Milliseconds(2)
MILLISECONDS_PER_SECOND = 1_000


class PlaceExchange:
    """
    Lets instances share the room of brittle endpoints by what they have to send.

    The issuer of an endpoint, one of the instances, grants its places. The others
    report what they hold and want by datagrams. ``on_place`` is called when an
    allowance has arrived.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        notices: BrittleNotices,
        holder: PlaceHolder,
        pool: EndpointPool,
        gossip: GossipNode,
        issuers: IssuerChoice,
        on_place: Callable[[], None],
        clock: Clock,
        log: LineLog,
    ) -> None:
        self._instance = instance
        self._notices = notices
        self._holder = holder
        self._pool = pool
        self._gossip = gossip
        self._issuers = issuers
        self._on_place = on_place
        self._clock = clock
        self._log = log
        self._issuer = PlaceIssuer(clock=clock)
        #: Endpoints whose places may have become free or are wanted.
        self._unsettled: set[EndpointId] = set()
        #: Issuers of the latest reports; another one needs a report at once.
        self._reported_to: dict[EndpointId, InstanceId] = {}
        self._timer: asyncio.TimerHandle | None = None

    def refresh(self) -> None:
        """Update who grants which places, and report; called periodically."""
        self._notices.forget(is_announced=lambda name: name in self._pool)
        self._update_owned()
        if not self._notices.has_brittle:
            self._holder.forget(is_kept=lambda name: False)
            self._reported_to.clear()
            return
        self._holder.forget(is_kept=lambda name: name in self._pool)
        self._send(self._issuer.refresh())
        for endpoint in self._brittle_endpoints():
            self._unsettled.add(endpoint.id)
        self._settle_all()

    def settle(self, endpoint: Endpoint) -> None:
        """Report soon what this instance holds of an endpoint's places."""
        self._unsettled.add(endpoint.id)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                SETTLE_DELAY / MILLISECONDS_PER_SECOND, self._timer_fired
            )

    def apply(self, message: PlaceReport | PlaceReply) -> None:
        """Apply a message of another instance."""
        if isinstance(message, PlaceReport):
            self._report(InstanceId(message.instance), _holding(message))
        elif self._issuers.of(EndpointId(message.endpoint)) == message.issuer:
            self._apply_reply(message)

    def apply_notices(self, updates: list[BrittleUpdate], *, source: str) -> None:
        """Apply what a peer knows of brittle endpoints."""
        now = self._clock.now()
        for update in updates:
            notice = BrittleNotice(
                endpoint=EndpointId(update.endpoint),
                service=ServiceId(update.service),
                started_at=update.started_at,
                tolerance=update.tolerance,
                at=Milliseconds(now - update.age),
            )
            if self._notices.apply(notice):
                self._log.write(
                    "endpoint:brittle",
                    endpoint=update.endpoint,
                    rejections_per_s=update.tolerance,
                    source=source,
                )

    def notice_updates(self) -> list[BrittleUpdate]:
        """Return what is known of brittle endpoints, for peers."""
        now = self._clock.now()
        return [
            BrittleUpdate(
                item.endpoint,
                item.service,
                item.started_at,
                item.tolerance,
                now - item.at,
            )
            for item in self._notices.notices()
        ]

    def _timer_fired(self) -> None:
        self._timer = None
        self._settle_all()

    def _settle_all(self) -> None:
        """Return places that are free, and report what has changed."""
        unsettled, self._unsettled = self._unsettled, set()
        for name in unsettled:
            member = self._pool.member(name)
            if member is None or not self._holder.is_limited(member.endpoint):
                continue
            issuer = self._issuers.of(name)
            is_due = self._holder.settle(member.endpoint, member.own_load)
            if is_due or self._reported_to.get(name, issuer) != issuer:
                holding = self._holder.report(member.endpoint, member.own_load)
                self._send_report(holding, issuer)

    def _send_report(self, holding: Holding, issuer: InstanceId) -> None:
        self._reported_to[holding.endpoint] = issuer
        if issuer == self._instance:
            self._report(issuer, holding)
            return
        report = PlaceReport(
            format=FORMAT,
            instance=self._instance,
            endpoint=holding.endpoint,
            started_at=holding.started_at,
            sequence=holding.sequence,
            used=holding.used,
            held=holding.held,
            is_wanted=holding.is_wanted,
            rejected=holding.rejected,
            term=holding.term,
            number=holding.number,
        )
        self._gossip.send_to(issuer, report)

    def _report(self, instance: InstanceId, holding: Holding) -> None:
        limit = self._issuer.limit(holding.endpoint)
        self._send(self._issuer.report(instance, holding))
        lowered = self._issuer.limit(holding.endpoint)
        if limit is not None and lowered is not None and lowered < limit:
            self._log.write(
                "endpoint:rejects",
                endpoint=holding.endpoint,
                reported_by=instance,
                places=lowered,
            )

    def _send(self, allowances: Iterable[Allowance]) -> None:
        for item in allowances:
            reply = PlaceReply(
                format=FORMAT,
                issuer=self._instance,
                endpoint=item.endpoint,
                started_at=item.started_at,
                term=item.term,
                number=item.number,
                allowed=item.allowed,
                is_contended=item.is_contended,
            )
            if item.instance == self._instance:
                # The queue may be choosing an endpoint; what it finds must not change.
                asyncio.get_running_loop().call_soon(self._apply_reply, reply)
            else:
                self._gossip.send_to(item.instance, reply)

    def _apply_reply(self, message: PlaceReply) -> None:
        name = EndpointId(message.endpoint)
        member = self._pool.member(name)
        if member is None or member.endpoint.started_at != message.started_at:
            return
        if not self._holder.is_limited(member.endpoint):
            return
        self._holder.receive(
            member.endpoint,
            member.own_load,
            issuer=InstanceId(message.issuer),
            term=message.term,
            number=message.number,
            allowed=message.allowed,
            is_contended=message.is_contended,
        )
        self._on_place()
        self.settle(member.endpoint)

    def _brittle_endpoints(self) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self._pool.endpoints()
            if self._holder.is_limited(endpoint)
        ]

    def _update_owned(self) -> None:
        if not self._notices.has_brittle:
            self._issuer.own(())
            return
        self._issuers.refresh()
        owned = []
        for endpoint in self._brittle_endpoints():
            tolerance = self._notices.tolerance(endpoint)
            is_own = self._issuers.of(endpoint.id) == self._instance
            if tolerance is not None and is_own:
                owned.append(
                    BrittleEndpoint(
                        endpoint.id, endpoint.started_at, endpoint.slots, tolerance
                    )
                )
        self._issuer.own(owned)


def _holding(message: PlaceReport) -> Holding:
    return Holding(
        endpoint=EndpointId(message.endpoint),
        started_at=message.started_at,
        sequence=message.sequence,
        used=message.used,
        held=message.held,
        is_wanted=message.is_wanted,
        rejected=message.rejected,
        term=message.term,
        number=message.number,
    )
