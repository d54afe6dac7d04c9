"""Polling of ratings, and the pause of roll-outs with a worse target version."""

from random import Random
from typing import Protocol

from returns.result import Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.entry._current import CurrentConfiguration
from fuchsiaroute.entry._route import VersionRouteStep
from fuchsiaroute.ids import RolloutId
from fuchsiaroute.logs import RolloutPauseSubmitted, RolloutSuspended, log_event
from fuchsiaroute.quality import (
    BadRollout,
    RatingReader,
    SequentialTest,
    TableEstimates,
    bad_rollouts,
)

#: Mean interval between two polls of one entry.
RATING_POLL_INTERVAL = Milliseconds(5_000)


class RolloutPauser(Protocol):
    """Pauses roll-outs in the accepted configuration."""

    async def pause(self, rollout: RolloutId) -> bool:
        """Submit the pause; return whether it is accepted. May be repeated."""


class RatingPoll:
    """
    Updates the quality estimates and pauses roll-outs with a worse target version.

    This entry stops sending new requests to the target at once, also while the table
    service is down. The pause is submitted to the configuration on every poll until
    the configuration in force contains it.
    """

    def __init__(
        self,
        *,
        reader: RatingReader,
        estimates: TableEstimates,
        route: VersionRouteStep,
        pauser: RolloutPauser,
        current: CurrentConfiguration,
        clock: Clock,
        random: Random,
    ) -> None:
        self._reader = reader
        self._estimates = estimates
        self._route = route
        self._pauser = pauser
        self._current = current
        self._clock = clock
        self._random = random
        self._test = SequentialTest()

    async def run(self) -> None:
        """Poll until cancelled, with jitter so that the polls of entries spread out."""
        while True:
            await self.poll()
            factor = self._random.uniform(0.5, 1.5)
            await self._clock.sleep(Milliseconds(int(RATING_POLL_INTERVAL * factor)))

    async def poll(self) -> None:
        """Read new ratings once and pause the roll-outs that fail the test."""
        if not self._current.is_ready:
            return
        match await self._reader.refresh(self._current.configuration):
            case Success(table):
                self._estimates.update(table)
        # A table received from a peer is used also while the rating service is down.
        self._estimates.update(self._reader.table)
        bad = bad_rollouts(self._reader.table, self._current.configuration, self._test)
        for bad_rollout in bad:
            await self._pause(bad_rollout)

    async def _pause(self, bad_rollout: BadRollout) -> None:
        rollout = bad_rollout.rollout
        if self._route.suspend(rollout.id, attempt=rollout.attempt):
            log_event(
                RolloutSuspended(
                    rollout=rollout.id,
                    base=rollout.base,
                    target=rollout.target,
                    log_evidence=bad_rollout.outcome.log_evidence,
                    target_ratings=bad_rollout.outcome.target_ratings,
                )
            )
        is_accepted = await self._pauser.pause(rollout.id)
        log_event(
            RolloutPauseSubmitted(
                rollout=rollout.id,
                outcome="accepted" if is_accepted else "not-accepted",
            )
        )
