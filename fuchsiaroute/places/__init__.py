"""Places at endpoints that fall over if they have to reject too many requests."""

from fuchsiaroute.places._notices import BrittleNotice, BrittleNotices

__all__ = [
    "BrittleNotice",
    "BrittleNotices",
]
