"""Load pattern: a large fleet in which each instance sees few requests of a model."""

import pytest

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.forwarding import LatencyEstimator, SharedEstimate

TOKENS = 18_000


def observed(estimator: LatencyEstimator, *, times: int, duration: int) -> None:
    for _ in range(times):
        estimator.add("r", "large", TOKENS, Milliseconds(duration))


def test_estimate_of_a_peer_stands_in_for_missing_observations() -> None:
    peer, own = LatencyEstimator(), LatencyEstimator()
    observed(peer, times=20, duration=1_600)
    observed(own, times=2, duration=200)
    assert own.mean("r", "large", TOKENS) is None
    own.adopt(peer.learned())
    assert own.mean("r", "large", TOKENS) == pytest.approx(1_600)


def test_own_observations_go_before_a_peers_estimate() -> None:
    peer, own = LatencyEstimator(), LatencyEstimator()
    observed(peer, times=20, duration=1_600)
    observed(own, times=20, duration=400)
    own.adopt(peer.learned())
    assert own.mean("r", "large", TOKENS) == pytest.approx(400)


def test_adopted_estimate_follows_own_observations_and_is_not_passed_on() -> None:
    """Guards against an estimate that circulates after its cause has ended."""
    peer, own = LatencyEstimator(), LatencyEstimator()
    observed(peer, times=20, duration=1_600)
    own.adopt(peer.learned())
    assert own.learned() == []
    observed(own, times=60, duration=400)
    mean = own.mean("r", "large", TOKENS)
    assert mean is not None
    assert mean < 450
    assert {item.route for item in own.learned()} == {"r", ""}


def test_times_of_other_routes_count_until_a_route_has_its_own() -> None:
    estimator = LatencyEstimator()
    observed(estimator, times=10, duration=1_000)
    assert estimator.mean("other", "large", TOKENS) == pytest.approx(1_000)
    assert estimator.mean("other", "small", TOKENS) is None
    for _ in range(5):
        estimator.add("other", "large", TOKENS, Milliseconds(2_000))
    assert estimator.mean("other", "large", TOKENS) == pytest.approx(2_000)


def test_plain_services_do_not_share_times_between_routes() -> None:
    estimator = LatencyEstimator()
    for _ in range(10):
        estimator.add("slow", "", 0, Milliseconds(500))
    assert estimator.mean("fast", "", 0) is None


def test_number_of_shared_estimates_is_bounded() -> None:
    estimator = LatencyEstimator()
    for number in range(100):
        for _ in range(5):
            estimator.add(f"r{number}", "", 0, Milliseconds(50))
    assert len(estimator.learned()) == 24
    shared = estimator.learned()[0]
    assert isinstance(shared, SharedEstimate)
