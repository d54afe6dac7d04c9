"""Canonical JSON of configurations: equal configurations have equal bytes."""

import msgspec

from fuchsiaroute.configuration import Configuration
from fuchsiaroute.declaration._exceptions import DeclarationError
from fuchsiaroute.decoding import DECODER_ERRORS

_ENCODER = msgspec.json.Encoder(order="sorted")
_DECODER = msgspec.json.Decoder(Configuration)


def encode(configuration: Configuration) -> bytes:
    """Return the canonical JSON of ``configuration``, ending with a newline."""
    encoded = _ENCODER.encode(configuration)
    return msgspec.json.format(encoded, indent=2) + b"\n"


def decode(encoded: bytes) -> Configuration:
    """
    Return the configuration in ``encoded``.

    Raises ``DeclarationError`` if it is not the JSON of a configuration.
    """
    try:
        return _DECODER.decode(encoded)
    except DECODER_ERRORS as error:
        raise DeclarationError(str(error)) from error
