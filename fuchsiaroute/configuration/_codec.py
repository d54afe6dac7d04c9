"""
Encoding of a configuration to canonical JSON and back.

The declaration package imports the configuration model when it is loaded, so an
import of it at the head of this module would be circular.
"""

from returns.result import Failure, Result, Success

from fuchsiaroute.configuration._model import Configuration


def encode_body(configuration: Configuration) -> bytes:
    """Return the canonical JSON of ``configuration``."""
    from fuchsiaroute import declaration

    return declaration.encode(configuration)


def decode_body(body: bytes) -> Result[Configuration, str]:
    """Return the configuration in ``body``, or the message of the decoding error."""
    from fuchsiaroute import declaration

    try:
        return Success(declaration.decode(body))
    except declaration.DeclarationError as error:
        return Failure(str(error))
