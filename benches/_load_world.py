"""Deployments of entries and fake endpoints under a seeded workload."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from random import Random

from benches._load_endpoints import PREFILL, FakeEndpoint
from benches._load_entries import Call, PolicyEntry, RoutedEntry
from benches._load_events import Events
from benches._load_policies import BASELINES, Policy
from fuchsiaroute.balancing import MAX_PEER_GROUP_SIZE, Target
from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.configuration import Configuration, Endpoint, Organisation
from fuchsiaroute.endpoints import LoadReport, Warmth, WarmthFact
from fuchsiaroute.ids import EndpointId, InstanceId, RequestId
from fuchsiaroute.request import Request
from fuchsiaroute.store import MemoryTableStore

#: Time between two reports of an endpoint, and the lag of a report.
REPORT_INTERVAL = 500
REPORT_LAG = 500
GOSSIP_INTERVAL = 1_000
#: Time between two messages to a peer with the own requests in flight.
PEER_LOAD_INTERVAL = 100
PEER_DELAY = 2
#: Time between two tokens of an answer, in milliseconds.
TOKEN_INTERVAL = 15.0
#: Spread of the answers' lengths around what their class expects.
LENGTH_SIGMA = 0.5
#: Longest answer as a multiple of what its class expects; every answer can then be
#: given before its deadline.
LARGEST_LENGTH_FACTOR = 3.0
#: Time from arrival after which an answer is of no use.
DEADLINE = 30_000
#: Share of the requests that the large organisations send.
LARGE_SHARE = 0.7
LARGE_ORGANISATIONS = 3
OURS = "fuchsiaroute"
#: The same without the entries' words to each other on their requests in flight.
REPORTS_ONLY = "late reports only"


@dataclass(kw_only=True)
class World:
    """One run: a policy, its entries, the endpoints of one target, all calls."""

    policy: str
    configuration: Configuration
    target: Target
    entry_count: int
    seed: int
    #: Share of the requests that the first organisation sends; 0 for its usual one.
    flooding_share: float = 0.0
    #: Whether endpoints refuse what they cannot start, rather than queue it.
    is_refusing: bool = False
    events: Events = field(default_factory=Events)
    calls: list[Call] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Build entries and endpoints; all endpoints are warm."""
        self.random = Random(self.seed)
        self.store = MemoryTableStore()
        self.serving = [
            item
            for item in self.configuration.endpoints
            if self.target in item.versions or self.target in item.services
        ]
        self.fakes = {
            item.id: FakeEndpoint(
                events=self.events, endpoint=item, is_refusing=self.is_refusing
            )
            for item in self.serving
        }
        self._expected = [
            (item.id, item.expected_tokens)
            for item in self.configuration.products[0].classes
        ]
        self.routed: list[RoutedEntry] = []
        self.entries: list[RoutedEntry | PolicyEntry] = []
        self._policies: list[Policy] = []
        self.names = [InstanceId(f"entry-{item}") for item in range(self.entry_count)]
        for name in self.names:
            self.entries.append(self._entry(name))
        self.events.every(REPORT_INTERVAL, self._report)
        self.events.every(GOSSIP_INTERVAL, self._every_second)
        if self.policy == OURS and self.entry_count <= MAX_PEER_GROUP_SIZE:
            for entry in self.routed:
                start = self.random.uniform(0, PEER_LOAD_INTERVAL)
                self.events.after(start, lambda entry=entry: self._tell_peers(entry))  # type: ignore[misc]

    @property
    def slots(self) -> int:
        """Return the number of requests that all endpoints bear together."""
        return sum(item.capacity for item in self.serving)

    def declare(self, configuration: Configuration) -> None:
        """Bring a configuration into force at the entries, within 2 s each."""
        self.configuration = configuration
        for entry in self.routed:
            delay = self.random.uniform(0, 2_000)
            self.events.after(
                delay,
                lambda entry=entry: entry.update(configuration),  # type: ignore[misc]
            )

    def load(self, share: float, duration: float) -> None:
        """Send ``share`` of the capacity for ``duration`` milliseconds, and run."""
        rate = share * self.slots / mean_service_time(self._expected)
        end = self.events.clock.now() + duration

        def arrive() -> None:
            if self.events.clock.now() >= end:
                return
            self._submit()
            self.events.after(self._gap(rate), arrive)

        self.events.after(self._gap(rate), arrive)
        self.events.run(duration)

    def _gap(self, rate: float) -> float:
        # Instants are whole milliseconds; rounding at random keeps the rate.
        return math.floor(self.random.expovariate(rate) + self.random.random())

    def _entry(self, name: InstanceId) -> RoutedEntry | PolicyEntry:
        random = Random(f"{self.seed}/{name}")
        if self.policy in BASELINES:
            fakes = list(self.fakes.values())
            policy: Policy = BASELINES[self.policy](endpoints=fakes, random=random)
            self._policies.append(policy)
            return PolicyEntry(events=self.events, policy=policy)
        entry = RoutedEntry(
            name=name,
            events=self.events,
            fakes=self.fakes,
            random=random,
            store=self.store,
        )
        entry.update(self.configuration)
        entry.learn(
            [
                WarmthFact(
                    endpoint=item,
                    warmth=Warmth(incarnation=fake.incarnation, is_warm=True),
                )
                for item, fake in self.fakes.items()
            ]
        )
        self.routed.append(entry)
        return entry

    def _submit(self) -> None:
        now = self.events.clock.now()
        request_class, expected = self.random.choice(self._expected)
        factor = self.random.lognormvariate(-(LENGTH_SIGMA**2) / 2, LENGTH_SIGMA)
        tokens = expected * min(factor, LARGEST_LENGTH_FACTOR)
        organisation = self._organisation()
        call = Call(
            request=Request(
                id=RequestId(str(len(self.calls))),
                organisation=organisation.id,
                product=organisation.product,
                request_class=request_class,
                deadline=Milliseconds(now + DEADLINE),
                expected_tokens=expected,
            ),
            target=self.target,
            service_time=PREFILL + tokens * TOKEN_INTERVAL,
            arrived_at=now,
        )
        self.calls.append(call)
        self.events.after(DEADLINE, lambda: _give_up(call))
        self.random.choice(self.entries).submit(call)

    def _organisation(self) -> Organisation:
        organisations = self.configuration.organisations
        if self.random.random() < self.flooding_share:
            return organisations[0]
        if self.random.random() < LARGE_SHARE:
            return self.random.choice(organisations[:LARGE_ORGANISATIONS])
        return self.random.choice(organisations[LARGE_ORGANISATIONS:])

    def _report(self) -> None:
        wall = self.events.clock.wall()
        reports = [
            LoadReport(
                endpoint=fake.endpoint.id,
                incarnation=fake.incarnation,
                in_flight=fake.in_flight,
                taken_at=wall,
            )
            for fake in self.fakes.values()
        ]
        self.events.after(REPORT_LAG, lambda: self._deliver(reports))

    def _tell_peers(self, entry: RoutedEntry) -> None:
        loads = entry.chooser.own_loads()

        def arrive() -> None:
            for peer in self.routed:
                if peer is not entry:
                    peer.chooser.update_peer_loads(entry.name, loads)

        self.events.after(PEER_DELAY, arrive)
        self.events.after(PEER_LOAD_INTERVAL, lambda: self._tell_peers(entry))

    def _deliver(self, reports: Sequence[LoadReport]) -> None:
        for entry in self.routed:
            entry.report(reports)
        for policy in self._policies:
            policy.report([report.in_flight for report in reports])

    def _every_second(self) -> None:
        facts: dict[EndpointId, Warmth] = {}
        for entry in self.routed:
            entry.step(self.configuration, self.names)
            for fact in entry.chooser.table.facts():
                known = facts.get(fact.endpoint, Warmth())
                facts[fact.endpoint] = max(known, fact.warmth)
        merged = [
            WarmthFact(endpoint=name, warmth=warmth) for name, warmth in facts.items()
        ]
        for entry in self.routed:
            entry.learn(merged)


def mean_service_time(expected: Sequence[tuple[str, int]]) -> float:
    """Return the mean time that a request takes once started, in milliseconds."""
    mean_tokens = sum(tokens for _, tokens in expected) / len(expected)
    return PREFILL + mean_tokens * TOKEN_INTERVAL


def pool(configuration: Configuration, size: int, target: Target) -> Configuration:
    """Return ``configuration`` with ``size`` endpoints that serve ``target``."""
    domains = configuration.failure_domains
    first = configuration.endpoints[0]
    endpoints: list[Endpoint] = [
        replace(
            first,
            id=EndpointId(f"pool-{number}"),
            failure_domain=domains[number % len(domains)].id,
        )
        for number in range(size)
    ]
    return replace(configuration, endpoints=tuple(endpoints))


def _give_up(call: Call) -> None:
    if not call.is_over:
        call.is_over = True
        call.cancel()
