"""Structured log on standard output, rate-limited and non-blocking."""

from fuchsiaroute.linelog._line_log import LineLog

__all__ = ["LineLog"]
