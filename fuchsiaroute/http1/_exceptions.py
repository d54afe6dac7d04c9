"""Errors of HTTP connections."""


class ExchangeError(Exception):
    """An exchange with an endpoint that ended without a complete response."""


class ConnectError(ExchangeError):
    """No connection was established, so that nothing was sent."""


class ConnectTimeoutError(ConnectError):
    """No connection was established within the timeout."""


class NobodyListensError(ConnectError):
    """Connection refused: the host is up and nothing listens on the port."""


class NoConnectionLeftError(ConnectError):
    """All connections that this instance may open to an endpoint are in use."""


class BrokenResponseError(ExchangeError):
    """The connection broke, or the bytes received are not a complete response."""
