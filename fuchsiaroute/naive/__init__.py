"""A naive router, the reference that the real one is compared with."""

from fuchsiaroute.naive._router import NaiveChoice, NaiveRouter

__all__ = ["NaiveChoice", "NaiveRouter"]
