"""Who adds up the figures of the instances, and what the sums are."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from fuchsiaroute.aggregation._figures import Figures, total
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.hashing import rendezvous_order
from fuchsiaroute.ids import FailureDomainId, InstanceId

#: Age from which figures count no more. A collector that has died is replaced once it
#: is found dead; until then, the loads in the gossip stand in for the sums.
MAX_AGE = Milliseconds(600)
_KEY = "collector"


@dataclass(frozen=True)
class Peer:
    """An instance that takes part."""

    instance: InstanceId
    failure_domain: FailureDomainId


@dataclass(frozen=True)
class _Received:
    figures: Figures
    at: Milliseconds


class Aggregator:
    """
    The part of one instance in the sums over all instances.

    Each instance reports its figures to the collector of its failure domain, the first
    by a hash of those that are alive. A collector adds up its domain, exchanges the
    sums with those of the other domains, and sends the sum of all to the instances of
    its own. Nothing is kept: figures that are not renewed count no more after
    ``MAX_AGE``.
    """

    def __init__(
        self, *, instance: InstanceId, failure_domain: FailureDomainId, clock: Clock
    ) -> None:
        self._self = Peer(instance, failure_domain)
        self._clock = clock
        self._peers: tuple[Peer, ...] = ()
        self._collectors: dict[FailureDomainId, InstanceId] = {failure_domain: instance}
        self._reports: dict[InstanceId, _Received] = {}
        self._domains: dict[FailureDomainId, _Received] = {}
        self._total: _Received | None = None
        #: Own figures in the latest report, which the sums include.
        self._reported = Figures()

    @property
    def collector(self) -> InstanceId:
        """Return the collector of the own failure domain."""
        return self._collectors[self._self.failure_domain]

    @property
    def is_collector(self) -> bool:
        """Return whether this instance adds up its failure domain."""
        return self.collector == self._self.instance

    def update_peers(self, peers: Sequence[Peer]) -> None:
        """Replace the other instances that are alive."""
        found = tuple(peers)
        if found == self._peers:
            return
        self._peers = found
        by_domain: dict[FailureDomainId, list[InstanceId]] = {}
        for peer in (*found, self._self):
            by_domain.setdefault(peer.failure_domain, []).append(peer.instance)
        self._collectors = {
            domain: rendezvous_order(_KEY, sorted(names))[0]
            for domain, names in by_domain.items()
        }
        alive = {peer.instance for peer in found}
        for name in self._reports.keys() - alive:
            del self._reports[name]
        for domain in self._domains.keys() - self._collectors.keys():
            del self._domains[domain]

    def other_collectors(self) -> list[InstanceId]:
        """Return the collectors of the other failure domains."""
        return [
            name
            for domain, name in self._collectors.items()
            if domain != self._self.failure_domain
        ]

    def members(self) -> list[InstanceId]:
        """Return the other instances of the own failure domain."""
        return [
            peer.instance
            for peer in self._peers
            if peer.failure_domain == self._self.failure_domain
        ]

    def report(self, figures: Figures) -> None:
        """Record the own figures, which are sent to the collector now."""
        self._reported = figures

    def apply_report(self, instance: InstanceId, figures: Figures) -> None:
        """Record the figures of an instance that takes this one as its collector."""
        self._reports[instance] = _Received(figures.valid(), self._clock.now())

    def apply_domain(self, domain: FailureDomainId, figures: Figures) -> None:
        """Record the sum of another failure domain."""
        if domain != self._self.failure_domain:
            self._domains[domain] = _Received(figures.valid(), self._clock.now())

    def apply_total(self, sender: InstanceId, figures: Figures) -> None:
        """Record the sum over all instances, if it comes from the own collector."""
        if sender == self.collector:
            self._total = _Received(figures.valid(), self._clock.now())

    def domain_sum(self) -> Figures:
        """Return the sum over the own failure domain, which this instance collects."""
        return total([self._reported, *self._fresh(self._reports.values())])

    def fleet_sum(self, domain_sum: Figures) -> Figures:
        """
        Return the sum over all failure domains, as their collectors sent it.

        ``domain_sum`` is that of the own one. A collector uses the sum itself, too.
        """
        found = total([domain_sum, *self._fresh(self._domains.values())])
        self._total = _Received(found, self._clock.now())
        return found

    def others(self) -> Figures | None:
        """Return the sum over all other instances; None if it is too old."""
        if self._total is None or not self._is_fresh(self._total):
            return None
        return self._total.figures.without(self._reported)

    def _fresh(self, received: Iterable[_Received]) -> list[Figures]:
        return [item.figures for item in received if self._is_fresh(item)]

    def _is_fresh(self, received: _Received) -> bool:
        return self._clock.now() - received.at < MAX_AGE
