"""A naive router, used as the reference in differential tests."""

from fuchsiaroute.naive._router import NaiveChoice, NaiveRouter

__all__ = ["NaiveChoice", "NaiveRouter"]
