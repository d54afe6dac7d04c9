"""Simulated deployments of entries and endpoints under a seeded workload."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from random import Random

from benches._load_endpoints import PREFILL_MS, FakeEndpoint
from benches._load_entries import Call, PolicyEntry, ProjectEntry
from benches._load_events import Events
from benches._load_policies import BASELINES, Policy
from fuchsiaroute.balancing import MAX_PEER_GROUP_SIZE, Target
from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.configuration import Configuration, Endpoint, Organisation
from fuchsiaroute.endpoints import LoadReport, Warmth, WarmthFact
from fuchsiaroute.ids import EndpointId, InstanceId, RequestId
from fuchsiaroute.request import Request
from fuchsiaroute.store import MemoryTableStore

#: Interval between load reports of an endpoint, and their delay.
REPORT_INTERVAL_MS = 500
REPORT_DELAY_MS = 500
GOSSIP_INTERVAL_MS = 1_000
#: Interval between messages to peers with the entry's requests in flight.
PEER_LOAD_INTERVAL_MS = 100
PEER_DELAY_MS = 2
TOKEN_INTERVAL_MS = 15.0
#: Sigma of the log-normal answer length relative to the expected tokens.
LENGTH_SIGMA = 0.5
#: Maximum answer length as a multiple of the expected tokens, so that every answer
#: can be complete before its deadline.
MAX_LENGTH_FACTOR = 3.0
#: Time from arrival after which callers discard an answer.
DEADLINE_MS = 30_000
#: Share of requests from the large organisations.
LARGE_SHARE = 0.7
LARGE_ORGANISATION_COUNT = 3
PROJECT_POLICY = "fuchsiaroute"
#: The project's policy without load messages between entries.
REPORTS_ONLY = "late reports only"


@dataclass(kw_only=True)
class LoadSimulation:
    """One run of a policy: entries, the endpoints that serve ``target``, all calls."""

    policy: str
    configuration: Configuration
    target: Target
    entry_count: int
    seed: int
    #: Share of requests sent by the first organisation; 0 for its normal share.
    flooding_share: float = 0.0
    #: Whether endpoints refuse requests that they cannot start at once.
    is_refusing: bool = False
    events: Events = field(default_factory=Events)
    calls: list[Call] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the entries and the endpoints, all warm."""
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
        self.project_entries: list[ProjectEntry] = []
        self.entries: list[ProjectEntry | PolicyEntry] = []
        self._policies: list[Policy] = []
        self.names = [InstanceId(f"entry-{item}") for item in range(self.entry_count)]
        for name in self.names:
            self.entries.append(self._entry(name))
        self.events.every(REPORT_INTERVAL_MS, self._send_reports)
        self.events.every(GOSSIP_INTERVAL_MS, self._run_maintenance)
        if self.policy == PROJECT_POLICY and self.entry_count <= MAX_PEER_GROUP_SIZE:
            for entry in self.project_entries:
                start = self.random.uniform(0, PEER_LOAD_INTERVAL_MS)
                self.events.after(start, lambda entry=entry: self._send_loads(entry))  # type: ignore[misc]

    @property
    def slots(self) -> int:
        """Return the total capacity of all endpoints."""
        return sum(item.capacity for item in self.serving)

    def declare(self, configuration: Configuration) -> None:
        """Apply a configuration at each entry after a random delay of up to 2 s."""
        self.configuration = configuration
        for entry in self.project_entries:
            delay = self.random.uniform(0, 2_000)
            self.events.after(
                delay,
                lambda entry=entry: entry.update(configuration),  # type: ignore[misc]
            )

    def load(self, share: float, duration: float) -> None:
        """Run for ``duration`` milliseconds at ``share`` of the capacity."""
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
        # Times are whole milliseconds; random rounding preserves the mean rate.
        return math.floor(self.random.expovariate(rate) + self.random.random())

    def _entry(self, name: InstanceId) -> ProjectEntry | PolicyEntry:
        random = Random(f"{self.seed}/{name}")
        if self.policy in BASELINES:
            fakes = list(self.fakes.values())
            policy: Policy = BASELINES[self.policy](endpoints=fakes, random=random)
            self._policies.append(policy)
            return PolicyEntry(events=self.events, policy=policy)
        entry = ProjectEntry(
            name=name,
            events=self.events,
            fakes=self.fakes,
            random=random,
            store=self.store,
        )
        entry.update(self.configuration)
        entry.merge_warmth(
            [
                WarmthFact(
                    endpoint=item,
                    warmth=Warmth(incarnation=fake.incarnation, is_warm=True),
                )
                for item, fake in self.fakes.items()
            ]
        )
        self.project_entries.append(entry)
        return entry

    def _submit(self) -> None:
        now = self.events.clock.now()
        request_class, expected = self.random.choice(self._expected)
        factor = self.random.lognormvariate(-(LENGTH_SIGMA**2) / 2, LENGTH_SIGMA)
        tokens = expected * min(factor, MAX_LENGTH_FACTOR)
        organisation = self._organisation()
        call = Call(
            request=Request(
                id=RequestId(str(len(self.calls))),
                organisation=organisation.id,
                product=organisation.product,
                request_class=request_class,
                deadline=Milliseconds(now + DEADLINE_MS),
                expected_tokens=expected,
            ),
            target=self.target,
            service_time=PREFILL_MS + tokens * TOKEN_INTERVAL_MS,
            arrived_at=now,
        )
        self.calls.append(call)
        self.events.after(DEADLINE_MS, lambda: _abandon(call))
        self.random.choice(self.entries).submit(call)

    def _organisation(self) -> Organisation:
        organisations = self.configuration.organisations
        if self.random.random() < self.flooding_share:
            return organisations[0]
        if self.random.random() < LARGE_SHARE:
            return self.random.choice(organisations[:LARGE_ORGANISATION_COUNT])
        return self.random.choice(organisations[LARGE_ORGANISATION_COUNT:])

    def _send_reports(self) -> None:
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
        self.events.after(REPORT_DELAY_MS, lambda: self._deliver_reports(reports))

    def _send_loads(self, entry: ProjectEntry) -> None:
        loads = entry.chooser.own_loads()

        def arrive() -> None:
            for peer in self.project_entries:
                if peer is not entry:
                    peer.chooser.update_peer_loads(entry.name, loads)

        self.events.after(PEER_DELAY_MS, arrive)
        self.events.after(PEER_LOAD_INTERVAL_MS, lambda: self._send_loads(entry))

    def _deliver_reports(self, reports: Sequence[LoadReport]) -> None:
        for entry in self.project_entries:
            entry.report(reports)
        for policy in self._policies:
            policy.report([report.in_flight for report in reports])

    def _run_maintenance(self) -> None:
        facts: dict[EndpointId, Warmth] = {}
        for entry in self.project_entries:
            entry.run_maintenance(self.configuration, self.names)
            for fact in entry.chooser.table.facts():
                known = facts.get(fact.endpoint, Warmth())
                facts[fact.endpoint] = max(known, fact.warmth)
        merged = [
            WarmthFact(endpoint=name, warmth=warmth) for name, warmth in facts.items()
        ]
        for entry in self.project_entries:
            entry.merge_warmth(merged)


def mean_service_time(expected: Sequence[tuple[str, int]]) -> float:
    """Return the mean service time of a request in milliseconds."""
    mean_tokens = sum(tokens for _, tokens in expected) / len(expected)
    return PREFILL_MS + mean_tokens * TOKEN_INTERVAL_MS


def with_endpoint_pool(
    configuration: Configuration, size: int, target: Target
) -> Configuration:
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


def _abandon(call: Call) -> None:
    if not call.is_over:
        call.is_over = True
        call.cancel()
