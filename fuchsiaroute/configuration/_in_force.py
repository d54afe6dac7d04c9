"""The configuration in force at one entry."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration._change import NO_REVISION
from fuchsiaroute.configuration._reader import NoSnapshot
from fuchsiaroute.configuration._readiness import (
    OUTAGE_BOUND,
    Readiness,
    Situation,
    readiness_in,
)
from fuchsiaroute.configuration._snapshot import Snapshot
from fuchsiaroute.ids import Revision
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

#: Time within which a higher revision, once known of, has to be loaded.
LOAD_BOUND = Milliseconds(2_000)
#: Advice to callers that were refused because the entry is not ready.
RETRY_AFTER = Milliseconds(1_000)
#: Age of the store's word before there has been one.
NEVER = Milliseconds(2**53)

READY_STATES = frozenset({Readiness.READY, Readiness.READY_IN_OUTAGE})

Listener = Callable[[Snapshot], object]


@dataclass(frozen=True, kw_only=True)
class StoreConfirmation:
    """A statement that ``revision`` was the highest one at ``instant``."""

    revision: Revision
    #: Instant on this process's monotonic clock, in milliseconds; never later
    #: than the read of the store that the statement rests on.
    instant: Milliseconds


class ConfigurationInForce:
    """
    Holds the highest configuration that the entry has loaded.

    ``offer`` applies higher revisions only, so that nothing reverts. The store's
    word, read here or passed on by a peer, says how current the configuration is.
    """

    def __init__(
        self, clock: Clock, *, outage_bound: Milliseconds = OUTAGE_BOUND
    ) -> None:
        self._clock = clock
        self._outage_bound = outage_bound
        self._snapshot: Snapshot | NoSnapshot = NoSnapshot.TOKEN
        self._word = StoreConfirmation(
            revision=NO_REVISION, instant=Milliseconds(clock.now() - NEVER)
        )
        self._known_revision = NO_REVISION
        self._behind_since = clock.now()
        self._hears_majority = False
        self._listeners: list[Listener] = []

    @property
    def snapshot(self) -> Snapshot | NoSnapshot:
        """Return the configuration held, whether or not it may be used."""
        return self._snapshot

    @property
    def revision(self) -> Revision:
        """Return the revision held; ``NO_REVISION`` for none."""
        if isinstance(self._snapshot, Snapshot):
            return self._snapshot.change.revision
        return NO_REVISION

    @property
    def known_revision(self) -> Revision:
        """Return the highest revision that the entry has heard of."""
        return self._known_revision

    @property
    def is_behind(self) -> bool:
        """Return whether a higher revision than the one held is known of."""
        return self._known_revision > self.revision

    @property
    def age(self) -> Milliseconds:
        """Return the time since the store's word, in milliseconds."""
        return Milliseconds(self._clock.now() - self._word.instant)

    @property
    def readiness(self) -> Readiness:
        """Return whether the entry may take new work."""
        waited = self._clock.now() - self._behind_since
        situation = Situation(
            has_configuration=isinstance(self._snapshot, Snapshot),
            is_behind=self.is_behind and waited > LOAD_BOUND,
            age=self.age,
            has_quorum=self._hears_majority,
        )
        return readiness_in(situation, outage_bound=self._outage_bound)

    def current(self) -> Result[Snapshot, Refusal]:
        """Return the configuration to decide new work by, or a refusal."""
        readiness = self.readiness
        if isinstance(self._snapshot, Snapshot) and readiness in READY_STATES:
            return Success(self._snapshot)
        return Failure(
            Refusal(
                reason=RefusalReason.NOT_READY,
                verdict=Verdict.NOT_RUN,
                message=f"this entry is not ready: {readiness.value}",
                retry_after=RETRY_AFTER,
            )
        )

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with each configuration that is put in force."""
        self._listeners.append(listener)

    def offer(self, snapshot: Snapshot) -> bool:
        """Put ``snapshot`` in force if it is higher; return whether it was."""
        if snapshot.change.revision <= self.revision:
            return False
        self._snapshot = snapshot
        self.record_revision(snapshot.change.revision)
        for listener in self._listeners:
            listener(snapshot)
        return True

    def record_revision(self, revision: Revision) -> None:
        """Record that ``revision`` has been accepted."""
        if revision > self._known_revision:
            if not self.is_behind:
                self._behind_since = self._clock.now()
            self._known_revision = revision

    def record_confirmation(self, word: StoreConfirmation) -> None:
        """Record what the store said, read here or passed on by a peer."""
        self.record_revision(word.revision)
        if word.instant > self._word.instant:
            self._word = replace(word, revision=self._known_revision)

    def update_quorum(self, has_quorum: bool) -> None:
        """Record whether more than half of the entries hear each other."""
        self._hears_majority = has_quorum
