"""Places at endpoints that fall over if they have to reject too many requests."""

from fuchsiaroute.places._holder import Holding, PlaceHolder
from fuchsiaroute.places._issuer import Allowance, BrittleEndpoint, PlaceIssuer
from fuchsiaroute.places._notices import BrittleNotice, BrittleNotices
from fuchsiaroute.places._room import Room

__all__ = [
    "Allowance",
    "BrittleEndpoint",
    "BrittleNotice",
    "BrittleNotices",
    "Holding",
    "PlaceHolder",
    "PlaceIssuer",
    "Room",
]
