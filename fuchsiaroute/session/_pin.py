"""
Signed session pins.

The caller carries the pin, so that it survives every entry and holds on all of them
without a shared record.
"""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from itsdangerous import BadData, Signer
from itsdangerous.encoding import base64_decode, base64_encode
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
_KEY_BYTES = 32


@dataclass(frozen=True, kw_only=True)
class SessionPin:
    """What a valid pin says."""

    organisation: OrganisationId
    session: SessionId
    version: VersionId
    #: Unix time of its issue in milliseconds.
    issued_at: Milliseconds


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(SessionPin)


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
        # The keys are derived once here instead of for each pin. The library signs
        # with the last key of its list.
        self._signer = Signer(
            [_derived(key) for key in reversed(keys)],
            key_derivation="none",
            digest_method=hashlib.sha256,
        )

    def issue(
        self, organisation: OrganisationId, session: SessionId, version: VersionId
    ) -> str:
        """Return a pin that keeps ``session`` of ``organisation`` on ``version``."""
        pin = SessionPin(
            organisation=organisation,
            session=session,
            version=version,
            issued_at=self._clock.wall(),
        )
        signed: bytes = self._signer.sign(base64_encode(_ENCODER.encode(pin)))
        return signed.decode()

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
            return _DECODER.decode(base64_decode(self._signer.unsign(pin)))
        except (BadData, msgspec.MsgspecError, UnicodeError):
            return None


def _derived(key: str) -> bytes:
    return hashlib.blake2b(
        _SALT.encode(), key=_short(key), digest_size=_KEY_BYTES
    ).digest()


def _short(key: str) -> bytes:
    """Return ``key`` in the length that BLAKE2b takes as a key."""
    return hashlib.blake2b(key.encode()).digest()


def _invalid(message: str) -> Result[SessionPin, Refusal]:
    return Failure(
        Refusal(
            reason=RefusalReason.INVALID_PIN,
            verdict=Verdict.NOT_RUN,
            message=message,
        )
    )
