"""An instance's view of its deployment, kept up to date from the store."""

from fuchsiaroute.catalog._catalog import Catalog
from fuchsiaroute.catalog._feed import RowSource, TableFeed
from fuchsiaroute.catalog._removals import PendingRemovals

__all__ = [
    "Catalog",
    "PendingRemovals",
    "RowSource",
    "TableFeed",
]
