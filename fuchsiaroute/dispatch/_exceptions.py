"""Exceptions of calls to endpoints."""


class BrokenAnswerError(Exception):
    """An answer that ended before its end, or fell silent; never a normal end."""
