"""Signed pins that keep a session on its version."""

from fuchsiaroute.session._pin import (
    DEFAULT_PIN_LIFETIME,
    PinSigner,
    SessionPin,
)

__all__ = ["DEFAULT_PIN_LIFETIME", "PinSigner", "SessionPin"]
