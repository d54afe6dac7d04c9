"""
Signed session pins.

The caller stores the pin and returns it with each request. A pin is therefore valid on
every entry, also after restarts, without a shared record.
"""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from itsdangerous import BadData, Signer
from itsdangerous.encoding import base64_decode, base64_encode
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.decoding import DECODER_ERRORS
from fuchsiaroute.ids import OrganisationId, SessionId, VersionId
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

#: Lifetime of a pin from its issue; each answer carries a new pin.
DEFAULT_PIN_LIFETIME = Milliseconds(7 * 24 * 3_600_000)
#: Maximum lead of the issuing entry's wall clock over that of the verifying entry.
_MAX_CLOCK_SKEW = Milliseconds(60_000)
#: Maximum length of a pin in characters; longer ones are rejected without decoding.
_MAX_PIN_LENGTH = 2_048
#: Separates pins from other signatures made with the same keys.
_SALT = "fuchsiaroute.session.pin"
_KEY_BYTES = 32


@dataclass(frozen=True, kw_only=True)
class SessionPin:
    """The signed content of a pin."""

    organisation: OrganisationId
    session: SessionId
    version: VersionId
    #: Unix time of issue in milliseconds.
    issued_at: Milliseconds


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(SessionPin)


class PinSigner:
    """
    Issues and verifies session pins.

    The first of ``keys`` signs; all of them verify. To rotate, append the new key on
    every entry, then move it to the first place on every entry, and remove the former
    key once the lifetime of a pin has passed.
    """

    def __init__(
        self,
        *,
        keys: Sequence[str],
        clock: Clock,
        lifetime: Milliseconds = DEFAULT_PIN_LIFETIME,
    ) -> None:
        if not keys or not all(keys):
            raise ValueError("at least one key is required, and no key may be empty")
        self._clock = clock
        self._lifetime = lifetime
        # The keys are derived once here instead of for each pin. itsdangerous signs
        # with the last key of its list.
        self._signer = Signer(
            [_derive_key(key) for key in reversed(keys)],
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
        """
        Return the content of ``pin``.

        The refusal has the reason INVALID_PIN: the signature does not match, the pin
        was issued for another session or organisation, or it has expired.
        """
        found = self._load(pin)
        if found is None:
            return _invalid("the session pin is not valid")
        if (found.organisation, found.session) != (organisation, session):
            return _invalid("the session pin belongs to another session")
        age = self._clock.wall() - found.issued_at
        if not -_MAX_CLOCK_SKEW <= age < self._lifetime:
            return _invalid("the session pin has expired")
        return Success(found)

    def _load(self, pin: str) -> SessionPin | None:
        if len(pin) > _MAX_PIN_LENGTH:
            return None
        try:
            return _DECODER.decode(base64_decode(self._signer.unsign(pin)))
        except (BadData, *DECODER_ERRORS):
            return None


def _derive_key(key: str) -> bytes:
    return hashlib.blake2b(
        _SALT.encode(), key=_shorten_key(key), digest_size=_KEY_BYTES
    ).digest()


def _shorten_key(key: str) -> bytes:
    """Return a digest of ``key``, since BLAKE2b keys have at most 64 bytes."""
    return hashlib.blake2b(key.encode()).digest()


def _invalid(message: str) -> Result[SessionPin, Refusal]:
    return Failure(
        Refusal(
            reason=RefusalReason.INVALID_PIN,
            verdict=Verdict.NOT_RUN,
            message=message,
        )
    )
