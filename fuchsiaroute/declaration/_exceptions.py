"""Exceptions of the operators' library."""


class DeclarationError(ValueError):
    """A configuration that cannot be decoded; the message says where and why."""
