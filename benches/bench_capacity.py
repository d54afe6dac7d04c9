"""Slopes of an entry's costs, and what they come to at the target's size."""

import asyncio

from benches._fit import fit_line
from benches._token_path import measure_relay

STREAM_COUNTS = (10, 20, 40, 80)
TOKENS_PER_STREAM = 150
TARGET_TOKENS_PER_SECOND = 2_400_000
TARGET_NODES = 390
FAILURE_DOMAINS = 8


def _token_path() -> None:
    costs = asyncio.run(
        measure_relay(streams=STREAM_COUNTS, tokens_per_stream=TOKENS_PER_STREAM)
    )
    fit = fit_line(
        [cost.tokens for cost in costs], [cost.cpu_seconds for cost in costs]
    )
    print("## Token path")
    print("streams  tokens  cpu s  us/token  MB resident")
    for cost in costs:
        print(
            f"{cost.streams:7} {cost.tokens:7} {cost.cpu_seconds:6.2f}"
            f" {cost.microseconds_per_token:9.1f} {cost.resident_bytes / 1e6:8.1f}"
        )
    per_node = TARGET_TOKENS_PER_SECOND / TARGET_NODES
    without_domain = per_node * FAILURE_DOMAINS / (FAILURE_DOMAINS - 1)
    print(
        f"fit: {fit.slope * 1e6:.1f} us a token, r2 {fit.r_squared:.4f};"
        f" {1 / fit.slope:.0f} tokens/s a core;"
        f" cores a node at the peak: {per_node * fit.slope:.2f},"
        f" with a failure domain out: {without_domain * fit.slope:.2f}"
    )


def main() -> None:
    """Print every section."""
    _token_path()


if __name__ == "__main__":
    main()
