"""Quality estimates from delayed, sampled ratings, and the test for bad versions."""

from fuchsiaroute.quality._bad_rollouts import BadRollout, bad_rollouts
from fuchsiaroute.quality._cell import Cell
from fuchsiaroute.quality._codec import (
    MAX_TABLE_BYTES,
    BookError,
    decode,
    encode,
)
from fuchsiaroute.quality._estimates import TableEstimates
from fuchsiaroute.quality._rating_reader import QUALITY_TABLE_KEY, RatingReader
from fuchsiaroute.quality._table import (
    MAX_CELLS,
    QualityTable,
    add_ratings,
    newer_table,
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
    "MAX_CELLS",
    "MAX_TABLE_BYTES",
    "QUALITY_TABLE_KEY",
    "BadRollout",
    "BookError",
    "Cell",
    "Evidence",
    "QualityTable",
    "RatingReader",
    "SequentialTest",
    "TableEstimates",
    "TestOutcome",
    "Trial",
    "add_ratings",
    "bad_rollouts",
    "decode",
    "encode",
    "newer_table",
]
