"""Requests for permits between instances, and the choice of who issues them."""

import asyncio
from collections.abc import Callable

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.gossip import (
    FORMAT,
    GossipNode,
    PermitReply,
    PermitRequest,
    RateUpdate,
)
from fuchsiaroute.ids import EndpointId, InstanceId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.node._issuer_choice import IssuerChoice
from fuchsiaroute.permits import NamedRate, NamedRates, PermitHolder, PermitIssuer

#: Minimum delay of a timer.
MIN_DELAY = Milliseconds(1)
MILLISECONDS_PER_SECOND = 1_000


class PermitExchange:
    """
    Lets instances share the rate of an endpoint by what they have to send.

    One of the instances that are ready issues the permits of an endpoint; which one
    follows from the endpoint's id. The others ask it by datagrams. ``on_permit`` is
    called when permits have arrived or the time of the next one is known.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        rates: NamedRates,
        holder: PermitHolder,
        gossip: GossipNode,
        issuers: IssuerChoice,
        is_announced: Callable[[EndpointId], bool],
        on_permit: Callable[[], None],
        clock: Clock,
        log: LineLog,
    ) -> None:
        self._instance = instance
        self._rates = rates
        self._holder = holder
        self._gossip = gossip
        self._issuers = issuers
        self._is_announced = is_announced
        self._on_permit = on_permit
        self._clock = clock
        self._log = log
        self._issuer = PermitIssuer(rate_of=rates.rate_of, clock=clock)
        self._timer: asyncio.TimerHandle | None = None

    def refresh(self) -> None:
        """Update who issues which permits; called periodically."""
        self._rates.forget(is_announced=self._is_announced)
        self._holder.forget(is_announced=self._is_announced)
        self._update_owned()
        self._issue()

    def want(self, endpoint: Endpoint) -> None:
        """Ask for permits of an endpoint for which a request has found none."""
        statement = self._rates.statement(endpoint.id)
        if statement is None:
            return
        count = self._holder.take_wanted(endpoint)
        issuer = self._issuers.of(endpoint.id)
        if issuer != self._instance:
            request = PermitRequest(
                format=FORMAT,
                instance=self._instance,
                rate=self._rate_update(statement),
                count=count,
            )
            self._gossip.send_to(issuer, request)
            return
        if self._issuer.request(endpoint.id, self._instance, count):
            # The caller is choosing an endpoint; what it finds must not change now.
            asyncio.get_running_loop().call_soon(self._reply, endpoint.id, issuer)

    def apply(self, message: PermitRequest | PermitReply) -> None:
        """Apply a message of another instance."""
        if isinstance(message, PermitRequest):
            self._apply_request(message)
        elif self._rates.rate_of(EndpointId(message.endpoint), message.started_at):
            self._apply_reply(message)

    def apply_rates(self, updates: list[RateUpdate], *, source: str) -> None:
        """Apply the rates that a peer knows of."""
        now = self._clock.now()
        is_changed = False
        for update in updates:
            statement = NamedRate(
                endpoint=EndpointId(update.endpoint),
                started_at=update.started_at,
                rate=update.rate,
                at=Milliseconds(now - update.age),
            )
            if self._rates.apply(statement):
                is_changed = True
                self._log.write(
                    "endpoint:rate-named",
                    endpoint=update.endpoint,
                    rate_per_s=update.rate,
                    source=source,
                )
        if is_changed:
            self._update_owned()

    def rate_updates(self) -> list[RateUpdate]:
        """Return the rates for peers."""
        if not self._rates.has_statements:
            return []
        return [self._rate_update(item) for item in self._rates.statements()]

    def _apply_request(self, message: PermitRequest) -> None:
        self.apply_rates([message.rate], source=message.instance)
        self._update_owned()
        endpoint = EndpointId(message.rate.endpoint)
        instance = InstanceId(message.instance)
        # Until both agree who issues, nobody does.
        if self._issuer.request(endpoint, instance, message.count):
            self._reply(endpoint, instance)

    def _apply_reply(self, message: PermitReply) -> None:
        endpoint = EndpointId(message.endpoint)
        for _ in range(message.count):
            self._holder.receive(endpoint)
        if message.wait is not None:
            self._holder.expect(
                endpoint, Milliseconds(message.wait), sharers=message.sharers
            )
        self._on_permit()

    def _reply(self, endpoint: EndpointId, instance: InstanceId) -> None:
        """Issue what is due, and tell the instance if nothing is due for it."""
        if instance not in self._issue():
            self._send(endpoint, instance, count=0)

    def _issue(self) -> set[InstanceId]:
        """Issue the permits that are due; return the instances that got one."""
        grants = self._issuer.issue()
        for grant in grants:
            self._send(grant.endpoint, grant.instance, count=1)
        self._schedule()
        return {grant.instance for grant in grants}

    def _send(self, endpoint: EndpointId, instance: InstanceId, *, count: int) -> None:
        statement = self._rates.statement(endpoint)
        if statement is None:
            return
        state = self._issuer.queue_state(endpoint, instance)
        reply = PermitReply(
            format=FORMAT,
            endpoint=endpoint,
            started_at=statement.started_at,
            count=count,
            wait=None if state is None else state.wait,
            sharers=1 if state is None else state.sharers,
        )
        if instance == self._instance:
            self._apply_reply(reply)
        else:
            self._gossip.send_to(instance, reply)

    def _schedule(self) -> None:
        """Set the timer for the next permit."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self._issuer.next_issue_at()
        if due is not None:
            delay = max(due - self._clock.now(), MIN_DELAY)
            self._timer = asyncio.get_running_loop().call_later(
                delay / MILLISECONDS_PER_SECOND, self._timer_fired
            )

    def _timer_fired(self) -> None:
        self._timer = None
        self._issue()

    def _update_owned(self) -> None:
        if not self._rates.has_rates:
            self._issuer.own(())
            return
        self._issuers.refresh()
        self._issuer.own(
            item
            for item in self._rates.statements()
            if item.rate is not None
            and self._issuers.of(item.endpoint) == self._instance
        )

    def _rate_update(self, statement: NamedRate) -> RateUpdate:
        return RateUpdate(
            statement.endpoint,
            statement.started_at,
            statement.rate,
            Milliseconds(self._clock.now() - statement.at),
        )
