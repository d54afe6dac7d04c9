"""
Compares the router with the naive one on the same declarations, requests and events.

Three entries share only the configuration and the keys that sign pins. Decisions on
permissions, sessions and withdrawals must be equal. With the same estimates the cost
must be equal too; with cascades and exploration it may exceed the naive cost by at
most ``COST_BOUND``.
"""

from dataclasses import replace
from random import Random

from hypothesis import HealthCheck, given, settings, strategies as st
from returns.result import Failure, Success

from fuchsiaroute.cascade import CascadeChooser
from fuchsiaroute.clock import ManualClock
from fuchsiaroute.configuration import (
    Model,
    Organisation,
    Rollout,
    RolloutState,
    VersionState,
)
from fuchsiaroute.ids import (
    ModelId,
    OrganisationId,
    RequestId,
    Revision,
    RolloutId,
    ServiceId,
    SessionId,
    VersionId,
)
from fuchsiaroute.naive import NaiveRouter
from fuchsiaroute.request import AnyModel, Exclusion, NoSession
from fuchsiaroute.routing import (
    CheapestChooser,
    ConfigurationView,
    VersionRouter,
    check_dispatch,
)
from fuchsiaroute.routing.tests.deployment import (
    APP,
    PRODUCT,
    QUESTION,
    REVIEW,
    make_configuration,
    make_request,
    make_version,
)
from fuchsiaroute.session import PinSigner
from fuchsiaroute.verdict import RefusalReason

CASES = 1_400
ENTRIES = 3
#: Largest ratio of the cost to the naive router's for the same requests. A cascade is
#: chosen only if its expected cost is lower, so only the escalation after a weak
#: answer can exceed the naive cost; it is counted by its expected value.
COST_BOUND = 1.05
ORGANISATIONS = (OrganisationId("firm-a"), OrganisationId("firm-b"))
MODELS = tuple(ModelId(f"m{number}") for number in range(3))
VERSIONS = tuple(
    tuple(VersionId(f"{model}-v{number}") for number in range(3)) for model in MODELS
)
ALL_VERSIONS = sum(VERSIONS, ())
COSTS = (100, 500, 1_000, 5_000)
QUALITIES = (0.8, 0.86, 0.93, 0.97)
CHOICES = (AnyModel.TOKEN, AnyModel.TOKEN, *MODELS, *ALL_VERSIONS)
CHOICES += (APP, ModelId("unknown"), ServiceId("hidden"))
SHARES = (0.0, 0.1, 0.5, 1.0)

#: Bytes of the declaration and of one event. A case is drawn as one byte string, since
#: drawing its parts one by one takes far longer.
DEPLOYMENT_BYTES = 16
EVENT_BYTES = 5
EVENT_COUNT = 18
CASE_BYTES = DEPLOYMENT_BYTES + EVENT_BYTES * EVENT_COUNT


def read_numbers(data, sizes):
    """Return numbers of the given sizes from the start of ``data``."""
    numbers, start = [], 0
    for size in sizes:
        numbers.append(int.from_bytes(data[start : start + size], "little"))
        start += size
    return numbers


def read_events(data):
    """Return the kind and the two arguments of each event in ``data``."""
    return [
        read_numbers(data[start : start + EVENT_BYTES], (1, 2, 2))
        for start in range(DEPLOYMENT_BYTES, CASE_BYTES, EVENT_BYTES)
    ]


def take(bits, choices):
    """Return one of ``choices`` and the bits that are left."""
    return choices[bits % len(choices)], bits // len(choices)


def make_rollouts(numbers):
    rollouts = []
    for index, bits in enumerate(numbers):
        model, bits = take(bits, range(len(MODELS)))
        base, bits = take(bits, range(3))
        step, bits = take(bits, (1, 2))
        share, bits = take(bits, SHARES)
        state, bits = take(bits, tuple(RolloutState))
        rollouts.append(
            Rollout(
                id=RolloutId(f"r{index}"),
                model=MODELS[model],
                base=VERSIONS[model][base],
                target=VERSIONS[model][(base + step) % 3],
                stages=(share, 1.0),
                state=state,
            )
        )
    return tuple(rollouts)


def make_case(data):
    sizes = (2, 2, 2, 1, 2, 1, 2, 2, 2)
    costs, qualities, states, permitted, denied, count, *rollouts = read_numbers(
        data, sizes
    )
    models = []
    for model, names in zip(MODELS, VERSIONS, strict=True):
        versions = []
        for name in names:
            cost, costs = take(costs, COSTS)
            quality, qualities = take(qualities, QUALITIES)
            state, states = take(states, (VersionState.ACTIVE, *VersionState))
            versions.append(replace(make_version(name, cost, quality), state=state))
            costs, qualities = costs * 31 + 7, qualities * 29 + 5
        models.append(Model(id=model, versions=tuple(versions)))
    organisations = tuple(
        Organisation(
            id=name,
            product=PRODUCT,
            permitted_models=tuple(
                model
                for number, model in enumerate(MODELS)
                if permitted >> (3 * index + number) & 1
            ),
            permitted_services=(APP,) if permitted >> (6 + index) & 1 else (),
            denied_versions=tuple(
                version
                for number, version in enumerate(ALL_VERSIONS)
                if index and denied >> number & 1
            ),
            key_digest=name,
        )
        for index, name in enumerate(ORGANISATIONS)
    )
    return replace(
        make_configuration(rollouts=make_rollouts(rollouts[: (1, 2, 3, 3)[count % 4]])),
        models=tuple(models),
        organisations=organisations,
    )


class Differential:
    """Runs both routers on one sequence of events."""

    def __init__(self, configuration, make_chooser):
        self.configuration = configuration
        self.view = ConfigurationView(configuration, Revision(1))
        self.clock = ManualClock()
        self.make_chooser = make_chooser
        self.entries = [self.make_entry(number) for number in range(ENTRIES)]
        self.naive = NaiveRouter()
        self.pins = {}
        self.count = 0
        self.costs = [0.0, 0.0]

    def make_entry(self, seed):
        return VersionRouter(
            pins=PinSigner(keys=["k"], clock=self.clock),
            random=Random(seed),
            chooser=self.make_chooser(),
        )

    def change(self, configuration):
        self.configuration = configuration
        self.view = ConfigurationView(configuration, Revision(self.view.revision + 1))

    def set_state(self, first, second):
        version, _ = take(first, ALL_VERSIONS)
        state, _ = take(second, tuple(VersionState))
        self.change(self.configuration.with_version_state(version, state))

    def set_rollout(self, first, second):
        rollouts = list(self.configuration.rollouts)
        if not rollouts:
            return
        index = first % len(rollouts)
        state, second = take(second, tuple(RolloutState))
        stage, _ = take(second, (0, 1))
        rollouts[index] = replace(rollouts[index], state=state, stage=stage)
        self.change(self.configuration.with_rollouts(tuple(rollouts)))

    def replace_entry(self, first, second):
        self.entries[first % ENTRIES] = self.make_entry(second)

    def lose_pin(self, first, second):
        key = self.session_key(first)
        self.pins.pop(key, None)
        self.naive.end_session(*key)

    def session_key(self, bits):
        organisation, bits = take(bits, ORGANISATIONS)
        return organisation, SessionId(f"s{bits % 2}")

    def replay_pin(self, first, second):
        """A pin of another session, or a modified one, is refused."""
        key = self.session_key(first)
        pins = [pin for owner, pin in self.pins.items() if owner != key]
        if not pins:
            return
        pin = pins[0] if second % 2 else pins[0][:-1]
        request = make_request(organisation=key[0], session=key[1], pin=pin)
        refusal = self.entries[0].route(request, self.view).failure()
        assert refusal.reason is RefusalReason.INVALID_PIN

    def request(self, first, second):
        organisation, session = self.session_key(first)
        has_session, second = take(second, (True, True, False))
        choice, second = take(second, CHOICES)
        request_class, second = take(second, (QUESTION, REVIEW))
        self.count += 1
        request = make_request(
            RequestId(f"q{self.count}-{first}"),
            organisation=organisation,
            session=session if has_session else NoSession.TOKEN,
            pin=self.pins.get((organisation, session), "") if has_session else "",
            model=choice,
            request_class=request_class,
        )
        self.compare(request, self.entries[second % ENTRIES])

    def compare(self, request, entry):
        decided = entry.route(request, self.view, can_escalate=True)
        expected = self.naive.route(request, self.configuration)
        if isinstance(expected, Failure):
            assert decided.failure().reason is expected.failure()
            return
        decision, choice = decided.unwrap(), expected.unwrap()
        assert set(decision.versions) <= choice.allowed_versions
        for version in decision.versions:
            assert isinstance(check_dispatch(request, version, self.view), Success)
        if not decision.versions:
            assert not choice.allowed_versions
            return
        self.check_candidates(decision, choice, request)
        self.costs[0] += decision_cost(decision)
        self.costs[1] += choice.cost
        if request.session is not NoSession.TOKEN:
            self.store_pin(request, decision, entry)

    def check_candidates(self, decision, choice, request):
        ranked = {Exclusion.NONE, Exclusion.COSTLIER, Exclusion.BELOW_QUALITY_TARGET}
        found = {
            item.version for item in decision.candidates if item.exclusion in ranked
        }
        assert found == choice.allowed_versions
        assert len(decision.candidates) == len(ALL_VERSIONS)

    def store_pin(self, request, decision, entry):
        (version,) = decision.versions
        key = (request.organisation, request.session)
        # The chooser may select another allowed version than the naive router. The
        # session must stay on that version in both.
        self.naive.pin_session(*key, version)
        signer = PinSigner(keys=["k"], clock=self.clock)
        self.pins[key] = signer.issue(*key, version)

    def run(self, events):
        actions = (
            *[self.request] * 7,
            self.set_state,
            *[self.set_rollout] * 2,
            self.replace_entry,
            self.lose_pin,
            self.replay_pin,
        )
        for kind, first, second in events:
            actions[kind % len(actions)](first, second)


def decision_cost(decision):
    """Return the expected cost, with the initial estimate of the escalation rate."""
    costs = {item.version: item.cost for item in decision.candidates}
    first, *rest = (costs[version] for version in decision.versions)
    return first + 0.1 * sum(rest)


DIFFERENTIAL = settings(
    max_examples=CASES,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


@DIFFERENTIAL
@given(data=st.binary(min_size=CASE_BYTES, max_size=CASE_BYTES))
def test_decisions_and_costs_are_equal(data):
    differential = Differential(make_case(data), NoEscalationChooser)
    differential.run(read_events(data))
    assert differential.costs[0] == differential.costs[1]


@DIFFERENTIAL
@given(data=st.binary(min_size=CASE_BYTES, max_size=CASE_BYTES))
def test_cascades_and_exploration_obey_the_rules_and_the_cost_bound(data):
    differential = Differential(make_case(data), CascadeChooser)
    differential.run(read_events(data))
    assert differential.costs[0] <= COST_BOUND * differential.costs[1]


class NoEscalationChooser(CheapestChooser):
    """Chooses the cheapest version that meets the target, without escalations."""

    def order(self, options, **context):
        return super().order(options, **{**context, "can_escalate": False})
