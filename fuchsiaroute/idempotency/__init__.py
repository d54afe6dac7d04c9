"""At most one run for each non-idempotent request id."""

from fuchsiaroute.idempotency._answers import Replay
from fuchsiaroute.idempotency._claim import Claim, ClaimState
from fuchsiaroute.idempotency._claim_table import ClaimTable
from fuchsiaroute.idempotency._issued_ids import IdIssuer, IssuedIdState
from fuchsiaroute.idempotency._record import (
    MAX_STORED_ANSWER_BYTES,
    Answer,
    ClaimRecord,
    Outcome,
)

__all__ = [
    "MAX_STORED_ANSWER_BYTES",
    "Answer",
    "Claim",
    "ClaimRecord",
    "ClaimState",
    "ClaimTable",
    "IdIssuer",
    "IssuedIdState",
    "Outcome",
    "Replay",
]
