"""Errors of HTTP connections."""


class ExchangeError(Exception):
    """An exchange with an endpoint that has no whole response."""


class ConnectError(ExchangeError):
    """No connection was made, so that nothing was sent."""


class NobodyListensError(ConnectError):
    """The endpoint's machine answered that nothing listens on the port."""


class NoConnectionLeftError(ConnectError):
    """This instance's share of an endpoint's connections is in use."""


class BrokenResponseError(ExchangeError):
    """The connection broke, or the bytes received are no whole response."""
