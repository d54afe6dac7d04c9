"""
Signed session pins.

The caller carries the pin, so that it survives every entry and holds on all of them
without a shared record.
"""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from itsdangerous import BadData, URLSafeSerializer
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import OrganisationId, SessionId, VersionId
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

#: Time after its issue at which a pin expires; each answer carries a fresh pin.
DEFAULT_PIN_LIFETIME = Milliseconds(7 * 24 * 3_600_000)
#: Lead that the wall clock of the entry that issued a pin may have over ours.
_CLOCK_SKEW = Milliseconds(60_000)
#: Longest pin that is examined, in characters.
_MAX_PIN_LENGTH = 2_048
#: Keeps signatures of pins apart from other signatures made with the same keys.
_SALT = "fuchsiaroute.session.pin"
_PAYLOAD_LENGTH = 4


@dataclass(frozen=True, kw_only=True)
class SessionPin:
    """What a valid pin says."""

    organisation: OrganisationId
    session: SessionId
    version: VersionId
    #: Unix time of its issue in milliseconds.
    issued_at: Milliseconds


class PinSigner:
    """
    Issues and verifies session pins.

    The first of ``keys`` signs and all of them verify. To rotate, add the new key in
    last place on every entry, then move it to the first place on every entry, and
    drop the former key after the lifetime of a pin.
    """

    def __init__(
        self,
        *,
        keys: Sequence[str],
        clock: Clock,
        lifetime: Milliseconds = DEFAULT_PIN_LIFETIME,
    ) -> None:
        if not keys or not all(keys):
            raise ValueError("a pin signer needs at least one key, and no empty one")
        self._clock = clock
        self._lifetime = lifetime
        self._serializer = URLSafeSerializer(
            # The library signs with the last key of its list.
            list(reversed(keys)),
            salt=_SALT,
            signer_kwargs={
                "key_derivation": "hmac",
                "digest_method": hashlib.sha256,
            },
        )

    def issue(
        self, organisation: OrganisationId, session: SessionId, version: VersionId
    ) -> str:
        """Return a pin that keeps ``session`` of ``organisation`` on ``version``."""
        payload = [organisation, session, version, self._clock.wall()]
        signed: str = self._serializer.dumps(payload)
        return signed

    def verify(
        self, pin: str, organisation: OrganisationId, session: SessionId
    ) -> Result[SessionPin, Refusal]:
        """Return what ``pin`` says, if it was issued for this session and is valid."""
        found = self._load(pin)
        if found is None:
            return _invalid("the session pin is not valid")
        if (found.organisation, found.session) != (organisation, session):
            return _invalid("the session pin belongs to another session")
        age = self._clock.wall() - found.issued_at
        if not -_CLOCK_SKEW <= age < self._lifetime:
            return _invalid("the session pin has expired")
        return Success(found)

    def _load(self, pin: str) -> SessionPin | None:
        if len(pin) > _MAX_PIN_LENGTH:
            return None
        try:
            payload = self._serializer.loads(pin)
        except BadData:
            return None
        if not isinstance(payload, list) or len(payload) != _PAYLOAD_LENGTH:
            return None
        organisation, session, version, issued_at = payload
        return SessionPin(
            organisation=organisation,
            session=session,
            version=version,
            issued_at=issued_at,
        )


def _invalid(message: str) -> Result[SessionPin, Refusal]:
    return Failure(
        Refusal(
            reason=RefusalReason.INVALID_PIN,
            verdict=Verdict.NOT_RUN,
            message=message,
        )
    )
