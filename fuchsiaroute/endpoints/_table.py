"""The state of all endpoints of a configuration, as one entry holds it."""

from collections.abc import Iterable, Iterator

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import Configuration, Endpoint
from fuchsiaroute.endpoints._record import EndpointRecord
from fuchsiaroute.endpoints._warmth import UNKNOWN_WARMTH, Warmth, WarmthFact
from fuchsiaroute.ids import EndpointId, FailureDomainId, Incarnation
from fuchsiaroute.lifecycle import (
    HEALTHY_OUTCOMES,
    EndpointEvent,
    EndpointState,
    Outcome,
    next_state,
)
from fuchsiaroute.store import InstanceRecord, InstanceState

#: Consecutive failures after which an endpoint is suspect.
FAILURES_UNTIL_SUSPECT = 3
#: Delay of the first trial of a suspect endpoint; each trial doubles it.
INITIAL_TRIAL_DELAY = Milliseconds(1_000)
MAX_TRIAL_DELAY = Milliseconds(30_000)
#: Maximum time for which a dispatched request can run at an endpoint.
MAX_REQUEST_DURATION = Milliseconds(120_000)
#: Fraction of suspect endpoints in a failure domain from which on the other endpoints
#: of the domain become suspect as well. Leaving and out endpoints are not counted.
MIN_DOMAIN_SUSPECT_SHARE = 0.5
#: Minimum number of suspect endpoints from which on the other endpoints of their
#: failure domain become suspect as well.
MIN_DOMAIN_SUSPECTS = 2

_SERVING = (EndpointState.COLD, EndpointState.WARMING, EndpointState.WARM)
_ABSENT = (EndpointState.LEAVING, EndpointState.OUT)
_FAILURES = frozenset(
    {Outcome.FAILED_BEFORE_SENT, Outcome.FAILED_AFTER_SENT, Outcome.SILENT}
)


class EndpointTable:
    """State of each endpoint, changed by events and by the clock."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[EndpointId, EndpointRecord] = {}
        self._domains: dict[FailureDomainId, list[EndpointRecord]] = {}
        self._warming: set[EndpointId] = set()

    def __iter__(self) -> Iterator[EndpointRecord]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, endpoint: EndpointId) -> bool:
        return endpoint in self._records

    def __getitem__(self, endpoint: EndpointId) -> EndpointRecord:
        return self._records[endpoint]

    def update_configuration(self, configuration: Configuration) -> None:
        """Apply the endpoints and outages of ``configuration``."""
        out = {outage.failure_domain for outage in configuration.outages}
        records: dict[EndpointId, EndpointRecord] = {}
        for endpoint in configuration.endpoints:
            record = self._record_for(endpoint)
            records[endpoint.id] = record
            is_out = endpoint.failure_domain in out
            self._set_out(record, is_out)
        self._records = records
        self._domains = {}
        for record in records.values():
            domain = record.endpoint.failure_domain
            self._domains.setdefault(domain, []).append(record)

    def update_instances(self, instances: Iterable[InstanceRecord]) -> None:
        """Apply the platform's list; endpoints missing from it keep their state."""
        for instance in instances:
            record = self._records.get(EndpointId(instance.id))
            if record is None:
                continue
            if instance.state is InstanceState.LEAVING:
                self._apply(record, EndpointEvent.LISTED_LEAVING)
            else:
                self._apply(record, EndpointEvent.LISTED_LIVE)

    def record_incarnation(
        self, endpoint: EndpointId, incarnation: Incarnation
    ) -> None:
        """Record the incarnation in an endpoint's answer or load report."""
        record = self._records.get(endpoint)
        if record is not None and incarnation > record.warmth.incarnation:
            self.merge_warmth(
                WarmthFact(endpoint=endpoint, warmth=Warmth(incarnation=incarnation))
            )

    def merge_warmth(self, fact: WarmthFact) -> None:
        """Merge a fact about an endpoint's warmth; older facts have no effect."""
        record = self._records.get(fact.endpoint)
        if record is None or fact.warmth <= record.warmth:
            return
        previous = record.warmth
        record.warmth = fact.warmth
        if record.state in _ABSENT:
            return
        if fact.warmth.incarnation != previous.incarnation:
            record.drained_at = Milliseconds(0)
            record.consecutive_failures = 0
            self._apply(record, EndpointEvent.RESTARTED)
        elif fact.warmth.cold_period != previous.cold_period:
            self._start_drain(record)
            self._apply(record, EndpointEvent.FOUND_COLD)
        if fact.warmth.is_warm:
            self._apply(record, EndpointEvent.WARMED_UP)

    def facts(self) -> tuple[WarmthFact, ...]:
        """Return the warmth facts that this entry holds, for others to merge."""
        return tuple(
            WarmthFact(endpoint=record.endpoint.id, warmth=record.warmth)
            for record in self._records.values()
            if record.warmth != UNKNOWN_WARMTH
        )

    def record_outcome(
        self, endpoint: EndpointId, outcome: Outcome, warmth: Warmth
    ) -> None:
        """Record the outcome of a dispatch; ``warmth`` is that of its reservation."""
        record = self._records.get(endpoint)
        if record is None:
            return
        if outcome is Outcome.REFUSED_COLD:
            self._record_cold_refusal(record, warmth)
        if outcome is Outcome.ANSWERED:
            self._record_answer(record)
        if outcome in HEALTHY_OUTCOMES:
            record.consecutive_failures = 0
        if outcome in _FAILURES:
            self._record_failure(record)

    def advance(self) -> None:
        """Apply the transitions that are caused by time alone."""
        if not self._warming:
            return
        now = self._clock.now()
        for endpoint in sorted(self._warming):
            record = self._records.get(endpoint)
            if record is None or record.state is not EndpointState.WARMING:
                self._warming.discard(endpoint)
            elif now - record.changed_at >= record.endpoint.warm_up:
                record.warmth = record.warmth.warmed_up()
                self._apply(record, EndpointEvent.WARMED_UP)

    def record_drained(self, record: EndpointRecord) -> None:
        """Record that no request of an earlier warm period runs at the endpoint."""
        record.drained_at = self._clock.now()

    def is_drained(self, record: EndpointRecord) -> bool:
        """Return whether all requests of earlier warm periods must have ended."""
        return self._clock.now() >= record.drained_at

    def is_trial_due(self, record: EndpointRecord) -> bool:
        """Return whether a suspect endpoint may get one trial request now."""
        return self._clock.now() - record.tried_at >= record.trial_delay

    def record_trial(self, record: EndpointRecord) -> None:
        """Record that a trial of a suspect endpoint begins now."""
        record.tried_at = self._clock.now()
        doubled = Milliseconds(record.trial_delay * 2)
        record.trial_delay = min(doubled, MAX_TRIAL_DELAY)

    def _record_for(self, endpoint: Endpoint) -> EndpointRecord:
        record = self._records.get(endpoint.id)
        if record is None:
            return EndpointRecord(endpoint=endpoint, changed_at=self._clock.now())
        if record.endpoint.url != endpoint.url:
            # A different address means a different process, so the state starts anew.
            return EndpointRecord(endpoint=endpoint, changed_at=self._clock.now())
        record.endpoint = endpoint
        return record

    def _set_out(self, record: EndpointRecord, is_out: bool) -> None:
        if is_out:
            self._apply(record, EndpointEvent.OUTAGE_DECLARED)
        elif record.state is EndpointState.OUT:
            self._apply(record, EndpointEvent.OUTAGE_ENDED)

    def _apply(self, record: EndpointRecord, event: EndpointEvent) -> None:
        state = next_state(record.state, event)
        if state is record.state:
            return
        was_absent = record.state in _ABSENT
        record.state = state
        record.changed_at = self._clock.now()
        if state is EndpointState.WARMING:
            self._warming.add(record.endpoint.id)
        if state in _ABSENT and not was_absent:
            record.warmth_before_absence = record.warmth
            self._start_drain(record)
        if was_absent and state not in _ABSENT:
            self._end_absence(record)

    def _end_absence(self, record: EndpointRecord) -> None:
        # Entries detect the return at different times. Deriving the cold period from
        # the warmth before the absence gives all entries the same one.
        record.consecutive_failures = 0
        returned = record.warmth_before_absence.found_cold()
        record.warmth = max(record.warmth, returned)
        if record.warmth.is_warm:
            self._apply(record, EndpointEvent.WARMED_UP)

    def _start_drain(self, record: EndpointRecord) -> None:
        # Requests that other entries sent in the warm period may still be running.
        record.drained_at = Milliseconds(self._clock.now() + MAX_REQUEST_DURATION)

    def _record_cold_refusal(self, record: EndpointRecord, warmth: Warmth) -> None:
        if warmth.is_warm:
            fact = WarmthFact(endpoint=record.endpoint.id, warmth=warmth.found_cold())
            self.merge_warmth(fact)
        elif record.state is EndpointState.WARMING:
            self._apply(record, EndpointEvent.FOUND_COLD)

    def _record_answer(self, record: EndpointRecord) -> None:
        self._apply(record, EndpointEvent.FIRST_ANSWER)
        if record.state is not EndpointState.SUSPECT:
            return
        if record.warmth.is_warm:
            self._apply(record, EndpointEvent.RECOVERED)
        else:
            self._apply(record, EndpointEvent.FOUND_COLD)

    def _record_failure(self, record: EndpointRecord) -> None:
        record.consecutive_failures += 1
        if record.consecutive_failures >= FAILURES_UNTIL_SUSPECT:
            self._mark_suspect(record)
            self._check_domain(record.endpoint.failure_domain)

    def _mark_suspect(self, record: EndpointRecord) -> None:
        if record.state in _SERVING:
            record.tried_at = self._clock.now()
            record.trial_delay = INITIAL_TRIAL_DELAY
            self._apply(record, EndpointEvent.FAILED_REPEATEDLY)

    def _check_domain(self, domain: FailureDomainId) -> None:
        records = [
            record
            for record in self._domains.get(domain, ())
            if record.state not in _ABSENT
        ]
        suspects = [
            record for record in records if record.state is EndpointState.SUSPECT
        ]
        is_enough = len(suspects) >= MIN_DOMAIN_SUSPECTS
        if is_enough and len(suspects) >= MIN_DOMAIN_SUSPECT_SHARE * len(records):
            for record in records:
                self._mark_suspect(record)
