"""Issues the permits for the endpoints that this instance is responsible for."""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import EndpointId, InstanceId
from fuchsiaroute.permits._named_rates import NamedRate

#: Permits that are issued at once after a time without requests.
MAX_TOKENS = 2.0
#: Time for which a request for permits counts. Instances with work repeat it.
REQUEST_TIME = Milliseconds(700)
#: Minimum time between two removals of lapsed requests. In a large fleet there are
#: hundreds of requests for each permit.
PRUNE_INTERVAL = Milliseconds(100)
MILLISECONDS_PER_SECOND = 1_000


class Grant(NamedTuple):
    """A permit for one request of an instance to an endpoint process."""

    endpoint: EndpointId
    started_at: int
    instance: InstanceId


@dataclass(frozen=True, kw_only=True)
class QueueState:
    """What an instance that waits for permits of an endpoint can expect."""

    #: Time until it gets its next permit.
    wait: Milliseconds
    #: Instances that get permits in turns.
    sharers: int


@dataclass(slots=True)
class _Ask:
    count: int
    expires_at: Milliseconds


@dataclass(slots=True)
class _Bucket:
    """Token bucket of an endpoint, and the instances that wait in turns."""

    started_at: int
    refilled_at: Milliseconds
    #: Empty at first: another instance may just have issued permits.
    tokens: float = 0.0
    #: Time at which lapsed requests were last removed.
    pruned_at: Milliseconds = Milliseconds(0)
    asks: OrderedDict[InstanceId, _Ask] = field(default_factory=OrderedDict)


class PermitIssuer:
    """
    Token buckets of endpoints that name a rate.

    Only one instance issues the permits of an endpoint, so that the sum over all
    instances is limited, and it issues them to instances that have work in turns, so
    that none of the rate is left to instances without work.
    """

    def __init__(
        self, *, rate_of: Callable[[EndpointId, int], float | None], clock: Clock
    ) -> None:
        self._rate_of = rate_of
        self._clock = clock
        self._buckets: dict[EndpointId, _Bucket] = {}

    def own(self, statements: Iterable[NamedRate]) -> None:
        """Replace the endpoints that this instance issues permits for."""
        now = self._clock.now()
        owned = {item.endpoint: item for item in statements}
        for name in self._buckets.keys() - owned.keys():
            del self._buckets[name]
        for name, item in owned.items():
            bucket = self._buckets.get(name)
            if bucket is None or bucket.started_at != item.started_at:
                self._buckets[name] = _Bucket(item.started_at, now)

    def request(self, endpoint: EndpointId, instance: InstanceId, count: int) -> bool:
        """Record that an instance has work; return False if it asks the wrong one."""
        bucket = self._buckets.get(endpoint)
        if bucket is None:
            return False
        expires_at = Milliseconds(self._clock.now() + REQUEST_TIME)
        known = bucket.asks.get(instance)
        if known is None:
            bucket.asks[instance] = _Ask(count, expires_at)
        else:
            known.count, known.expires_at = count, expires_at
        return True

    def issue(self) -> list[Grant]:
        """Return the permits that are due."""
        grants = []
        for name, bucket in self._buckets.items():
            self._refill(name, bucket)
            while bucket.tokens >= 1.0 and bucket.asks:
                instance, ask = bucket.asks.popitem(last=False)
                if ask.expires_at <= bucket.refilled_at:
                    continue
                bucket.tokens -= 1.0
                grants.append(Grant(name, bucket.started_at, instance))
                ask.count -= 1
                if ask.count > 0:
                    bucket.asks[instance] = ask
        return grants

    def next_issue_at(self) -> Milliseconds | None:
        """Return when a permit is due next; None if no instance asks for one."""
        due = []
        for name, bucket in self._buckets.items():
            if bucket.asks:
                wait = self._wait(name, bucket, position=0)
                due.append(Milliseconds(bucket.refilled_at + wait))
        return min(due, default=None)

    def queue_state(
        self, endpoint: EndpointId, instance: InstanceId
    ) -> QueueState | None:
        """Return what an instance can expect; None if it does not ask for permits."""
        bucket = self._buckets.get(endpoint)
        if bucket is None or instance not in bucket.asks:
            return None
        self._refill(endpoint, bucket)
        position = list(bucket.asks).index(instance)
        return QueueState(
            wait=self._wait(endpoint, bucket, position=position),
            sharers=len(bucket.asks),
        )

    def _refill(self, name: EndpointId, bucket: _Bucket) -> None:
        now = self._clock.now()
        rate = self._rate(name, bucket)
        added = (now - bucket.refilled_at) / MILLISECONDS_PER_SECOND * rate
        bucket.tokens = min(bucket.tokens + added, MAX_TOKENS)
        bucket.refilled_at = now
        if now - bucket.pruned_at < PRUNE_INTERVAL:
            return
        bucket.pruned_at = now
        for instance, ask in list(bucket.asks.items()):
            if ask.expires_at <= now:
                del bucket.asks[instance]

    def _wait(
        self, name: EndpointId, bucket: _Bucket, *, position: int
    ) -> Milliseconds:
        """Return the time from the last refill until the permit at ``position``."""
        missing = max(position + 1 - bucket.tokens, 0.0)
        rate = self._rate(name, bucket)
        if rate <= 0.0:
            return REQUEST_TIME
        return Milliseconds(math.ceil(missing * MILLISECONDS_PER_SECOND / rate))

    def _rate(self, name: EndpointId, bucket: _Bucket) -> float:
        """Return the tokens a second; 0 if the endpoint no longer names a rate."""
        return self._rate_of(name, bucket.started_at) or 0.0
