"""Composition of the parts that select versions."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from returns.result import Result, Success

from fuchsiaroute.clock import Clock
from fuchsiaroute.costlimit import Allowances, CostMeter
from fuchsiaroute.entry import (
    CurrentConfiguration,
    RatingPoll,
    StoredRolloutPauser,
    VersionRouteStep,
)
from fuchsiaroute.quality import RatingReader, TableEstimates
from fuchsiaroute.session import PinSigner
from fuchsiaroute.store import RatingPage, RatingService, StoreError, TableStore

_RANDOM_KEY_BYTES = 32


class EmptyRatingService:
    """A ``RatingService`` without ratings, for a deployment that has no service."""

    async def ratings(self, cursor: str) -> Result[RatingPage, StoreError]:
        """Return an empty page."""
        return Success(RatingPage(ratings=(), cursor=cursor))


@dataclass(frozen=True, kw_only=True)
class RoutingParts:
    """The routing step, the rating poll and the cost limits."""

    route: VersionRouteStep
    ratings: RatingPoll
    allowances: Allowances


def compose_routing(
    *,
    current: CurrentConfiguration,
    store: TableStore,
    configuration_store: TableStore,
    quality_store: TableStore,
    rating_service: RatingService,
    pin_keys: tuple[str, ...],
    clock: Clock,
    entry_count: Callable[[], int],
    random: Random,
) -> RoutingParts:
    """
    Return the parts of one entry.

    ``store`` holds the cost limits, ``quality_store`` the quality estimates and the
    evidence of roll-outs, and ``configuration_store`` the configuration, in which
    roll-outs are paused.

    Without ``pin_keys`` the entry generates a key, and other entries reject its pins.
    """
    keys = pin_keys or (secrets.token_urlsafe(_RANDOM_KEY_BYTES),)
    estimates = TableEstimates()
    allowances = Allowances(
        store=store,
        meter=CostMeter(clock=clock),
        clock=clock,
        entry_count=entry_count,
    )
    route = VersionRouteStep(
        current=current,
        pins=PinSigner(keys=keys, clock=clock),
        estimates=estimates,
        allowances=allowances,
        random=random,
    )
    ratings = RatingPoll(
        reader=RatingReader(store=quality_store, service=rating_service),
        estimates=estimates,
        route=route,
        pauser=StoredRolloutPauser(store=configuration_store, clock=clock),
        current=current,
        clock=clock,
        random=random,
    )
    return RoutingParts(route=route, ratings=ratings, allowances=allowances)
