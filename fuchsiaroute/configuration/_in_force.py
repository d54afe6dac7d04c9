"""The configuration in force at one entry."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration._change import NO_REVISION
from fuchsiaroute.configuration._reader import NoSnapshot
from fuchsiaroute.configuration._readiness import (
    MAX_CONFIRMATION_AGE_IN_OUTAGE,
    Readiness,
    ReadinessInputs,
    evaluate_readiness,
)
from fuchsiaroute.configuration._snapshot import Snapshot
from fuchsiaroute.ids import Revision
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

#: An entry that has not loaded a known higher revision after this time isn't ready.
LOAD_TIMEOUT = Milliseconds(2_000)
#: Retry delay sent to callers that are refused because the entry isn't ready.
RETRY_AFTER = Milliseconds(1_000)
#: Initial age of the store's confirmation, above every limit on it.
_INITIAL_AGE = Milliseconds(2**53)

READY_STATES = frozenset({Readiness.READY, Readiness.READY_IN_OUTAGE})

Listener = Callable[[Snapshot], object]


@dataclass(frozen=True, kw_only=True)
class StoreConfirmation:
    """Evidence that ``revision`` was the highest one in the store at ``instant``."""

    revision: Revision
    #: Instant on this process's monotonic clock, in milliseconds, not later than
    #: the read from the store.
    instant: Milliseconds


class ConfigurationInForce:
    """
    Holds the highest configuration that the entry has loaded.

    ``apply_if_newer`` ignores equal and lower revisions, so the configuration never
    reverts. The age of the store's latest confirmation, read by this entry or
    received from a peer, limits how outdated the configuration can be.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        max_age_in_outage: Milliseconds = MAX_CONFIRMATION_AGE_IN_OUTAGE,
    ) -> None:
        self._clock = clock
        self._max_age_in_outage = max_age_in_outage
        self._snapshot: Snapshot | NoSnapshot = NoSnapshot.TOKEN
        self._confirmation = StoreConfirmation(
            revision=NO_REVISION, instant=Milliseconds(clock.now() - _INITIAL_AGE)
        )
        self._known_revision = NO_REVISION
        self._behind_since = clock.now()
        self._has_quorum = False
        self._listeners: list[Listener] = []

    @property
    def snapshot(self) -> Snapshot | NoSnapshot:
        """Return the loaded configuration, regardless of readiness."""
        return self._snapshot

    @property
    def revision(self) -> Revision:
        """Return the loaded revision, or ``NO_REVISION``."""
        if isinstance(self._snapshot, Snapshot):
            return self._snapshot.change.revision
        return NO_REVISION

    @property
    def known_revision(self) -> Revision:
        """Return the highest revision that the entry has loaded or been sent."""
        return self._known_revision

    @property
    def is_behind(self) -> bool:
        """Return whether a known revision is higher than the loaded one."""
        return self._known_revision > self.revision

    @property
    def age(self) -> Milliseconds:
        """Return the age of the store's latest confirmation in milliseconds."""
        return Milliseconds(self._clock.now() - self._confirmation.instant)

    @property
    def readiness(self) -> Readiness:
        """Return whether the entry may take new requests."""
        behind_for = self._clock.now() - self._behind_since
        inputs = ReadinessInputs(
            has_configuration=isinstance(self._snapshot, Snapshot),
            is_behind=self.is_behind and behind_for > LOAD_TIMEOUT,
            age=self.age,
            has_quorum=self._has_quorum,
        )
        return evaluate_readiness(inputs, max_age_in_outage=self._max_age_in_outage)

    def current(self) -> Result[Snapshot, Refusal]:
        """Return the configuration for new requests, or a refusal if not ready."""
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
        """Call ``listener`` with each configuration that comes into force."""
        self._listeners.append(listener)

    def apply_if_newer(self, snapshot: Snapshot) -> bool:
        """Put ``snapshot`` in force if its revision is higher; return whether it is."""
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

    def record_confirmation(self, confirmation: StoreConfirmation) -> None:
        """Record a confirmation by the store, read here or received from a peer."""
        self.record_revision(confirmation.revision)
        if confirmation.instant > self._confirmation.instant:
            self._confirmation = replace(confirmation, revision=self._known_revision)

    def update_quorum(self, has_quorum: bool) -> None:
        """Record whether more than half of the entries can reach each other."""
        self._has_quorum = has_quorum
