"""HTTP clients of the platform's services, in this project's own protocol."""

from fuchsiaroute.store_http._http import new_http_client
from fuchsiaroute.store_http._services import (
    HttpEngineOrders,
    HttpInstanceList,
    HttpRatingService,
)
from fuchsiaroute.store_http._stores import HttpObjectStore, HttpTableStore

__all__ = [
    "HttpEngineOrders",
    "HttpInstanceList",
    "HttpObjectStore",
    "HttpRatingService",
    "HttpTableStore",
    "new_http_client",
]
