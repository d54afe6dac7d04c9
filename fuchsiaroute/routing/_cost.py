"""Expected cost of an answer."""

from fuchsiaroute.configuration import Version

_TOKENS_PER_PRICE_UNIT = 1_000


def expected_cost(version: Version, tokens: int) -> int:
    """Return the cost of an answer of ``tokens`` in micro-units, rounded up."""
    return -(-version.cost_per_1000_tokens * tokens // _TOKENS_PER_PRICE_UNIT)
