"""
Access to the canonical form of a configuration.

The declaration package builds on the configuration model, so it is imported on
use and not with this package.
"""

from returns.result import Failure, Result, Success

from fuchsiaroute.configuration._model import Configuration


def encode_body(configuration: Configuration) -> bytes:
    """Return the canonical JSON of ``configuration``."""
    from fuchsiaroute import declaration

    return declaration.encode(configuration)


def decode_body(body: bytes) -> Result[Configuration, str]:
    """Return the configuration in ``body``, or what is wrong with it."""
    from fuchsiaroute import declaration

    try:
        return Success(declaration.decode(body))
    except declaration.DeclarationError as error:
        return Failure(str(error))
