"""Interface of the platform's service that rates answers."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from fuchsiaroute.ids import RequestClass, RequestId, VersionId
from fuchsiaroute.store._table_store import StoreError


@dataclass(frozen=True, kw_only=True)
class Rating:
    """The rating of one answer. Ratings are late, sampled and noisy."""

    request: RequestId
    version: VersionId
    request_class: RequestClass
    is_good: bool


@dataclass(frozen=True, kw_only=True)
class RatingPage:
    """Ratings after a cursor, and the cursor of the next page."""

    ratings: tuple[Rating, ...]
    cursor: str


class RatingService(Protocol):
    """The service that rates a sample of the answers."""

    async def ratings(self, cursor: str) -> Result[RatingPage, StoreError]:
        """Return the ratings after ``cursor``; an empty cursor is the beginning."""
