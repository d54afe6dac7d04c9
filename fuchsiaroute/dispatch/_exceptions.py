"""Exceptions of calls to endpoints."""


class BrokenAnswerError(Exception):
    """An answer that is incomplete: it broke off or made no progress in time."""
