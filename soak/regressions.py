"""Seeds that once failed, each with its cause; they are played with ``--kept``."""

#: Causes by seed.
CAUSES: dict[int, str] = {}
KEPT_SEEDS = tuple(CAUSES)
