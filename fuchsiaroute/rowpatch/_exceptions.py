"""Exceptions of patches."""


class PatchError(Exception):
    """A patch does not fit the value; the message states the fault."""
