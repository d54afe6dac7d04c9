"""Operators' library: declare a deployment and print its configuration."""

from fuchsiaroute.declaration._canonical import decode, encode
from fuchsiaroute.declaration._exceptions import DeclarationError

__all__ = ["DeclarationError", "decode", "encode"]
