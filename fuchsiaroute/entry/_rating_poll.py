"""Periodic reading of ratings, and the pause of roll-outs that they speak against."""

import random
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

#: Average time between two readings of one entry.
RATING_POLL_INTERVAL = Milliseconds(5_000)


class RolloutPauser(Protocol):
    """Writes the pause of a roll-out into the configuration."""

    async def pause(self, rollout: RolloutId) -> bool:
        """Return whether the pause is accepted; it may be asked for again."""


class RatingPoll:
    """
    Keeps the estimates fresh and stops bad roll-outs.

    A finding stops new work on the target in this entry at once, also while the
    table service is down; the pause in the configuration is asked for until the
    configuration in force has it.
    """

    def __init__(
        self,
        *,
        log: RatingReader,
        estimates: TableEstimates,
        route: VersionRouteStep,
        pauser: RolloutPauser,
        current: CurrentConfiguration,
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        self._log = log
        self._estimates = estimates
        self._route = route
        self._pauser = pauser
        self._current = current
        self._clock = clock
        self._randomness = randomness
        self._test = SequentialTest()

    async def run(self) -> None:
        """Poll until cancelled, at irregular times so that entries spread out."""
        while True:
            await self.poll()
            factor = self._randomness.uniform(0.5, 1.5)
            await self._clock.sleep(Milliseconds(int(RATING_POLL_INTERVAL * factor)))

    async def poll(self) -> None:
        """Read on once and act on what was found."""
        if not self._current.is_ready:
            return
        match await self._log.refresh(self._current.configuration):
            case Success(book):
                self._estimates.update(book)
        # A book from a peer counts also while the rating service is down.
        self._estimates.update(self._log.table)
        findings = bad_rollouts(
            self._log.table, self._current.configuration, self._test
        )
        for finding in findings:
            await self._stop(finding)

    async def _stop(self, finding: BadRollout) -> None:
        rollout = finding.rollout
        if self._route.suspend(rollout.id, attempt=rollout.attempt):
            log_event(
                RolloutSuspended(
                    rollout=rollout.id,
                    base=rollout.base,
                    target=rollout.target,
                    log_evidence=finding.outcome.log_evidence,
                    target_ratings=finding.outcome.target_ratings,
                )
            )
        is_accepted = await self._pauser.pause(rollout.id)
        log_event(
            RolloutPauseSubmitted(
                rollout=rollout.id,
                outcome="accepted" if is_accepted else "not-accepted",
            )
        )
