"""Exceptions of the declaration library."""


class DeclarationError(ValueError):
    """A configuration cannot be decoded or has errors; the message lists them."""
