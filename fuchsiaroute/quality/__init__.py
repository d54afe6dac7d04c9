"""Quality from late, sampled and noisy ratings: estimates and the bad-version test."""

from fuchsiaroute.quality._bad_rollouts import BadRollout, bad_rollouts
from fuchsiaroute.quality._cell import Cell
from fuchsiaroute.quality._codec import (
    MAX_BOOK_BYTES,
    QualityDecodeError,
    decode,
    encode,
)
from fuchsiaroute.quality._estimates import TableEstimates
from fuchsiaroute.quality._rating_reader import RATING_BOOK_KEY, RatingReader
from fuchsiaroute.quality._table import (
    MAX_CELLS,
    QualityTable,
    fold_ratings,
    later_book,
)
from fuchsiaroute.sequential import (
    DEFAULT_FALSE_ALARM_RATE,
    Evidence,
    SequentialTest,
    TestOutcome,
    Trial,
)

__all__ = [
    "DEFAULT_FALSE_ALARM_RATE",
    "MAX_BOOK_BYTES",
    "MAX_CELLS",
    "RATING_BOOK_KEY",
    "BadRollout",
    "QualityDecodeError",
    "Cell",
    "Evidence",
    "QualityTable",
    "RatingReader",
    "SequentialTest",
    "TableEstimates",
    "TestOutcome",
    "Trial",
    "bad_rollouts",
    "decode",
    "encode",
    "fold_ratings",
    "later_book",
]
