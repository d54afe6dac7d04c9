"""Linear fits of an entry's resource use, extrapolated to the target size."""

import asyncio
from collections.abc import Sequence

from benches._choice_time import choice_microseconds
from benches._control_path import measure_control
from benches._decision_time import decision_microseconds
from benches._fit import fit_line
from benches._token_path import measure_relay

STREAM_COUNTS = (10, 20, 40, 80)
TOKENS_PER_STREAM = 150
TARGET_TOKENS_PER_SECOND = 2_400_000
TARGET_REQUESTS_PER_SECOND = 12_000
TARGET_NODES = 390
TARGET_VERSIONS = 35
REQUEST_COUNTS = (50, 100, 200, 400)
VERSION_COUNTS = (5, 10, 20, 35)
FAILURE_DOMAINS = 8
ENDPOINT_COUNTS = (260, 525, 1_050, 2_100)
TARGET_ENDPOINTS = 2_100
TARGET_CONTROL_CPU_PERCENT = 3.6
TARGET_CONTROL_MEGABYTES = 64


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


def _request_path() -> None:
    costs = asyncio.run(measure_relay(streams=REQUEST_COUNTS, tokens_per_stream=1))
    fit = fit_line(
        [cost.streams for cost in costs], [cost.cpu_seconds for cost in costs]
    )
    print("## Request path: streamed answers of one token")
    print("requests  cpu s  ms/request")
    for cost in costs:
        each = cost.cpu_seconds / cost.streams * 1e3
        print(f"{cost.streams:8} {cost.cpu_seconds:6.2f} {each:11.2f}")
    per_node = TARGET_REQUESTS_PER_SECOND / TARGET_NODES
    print(
        f"fit: {fit.slope * 1e3:.2f} ms a request, r2 {fit.r_squared:.3f};"
        f" {1 / fit.slope:.0f} requests/s a core; at {per_node:.0f} requests/s a"
        f" node: {per_node * fit.slope * 100:.1f}% of a core"
    )


def _decision_path() -> None:
    print("## Decisions: processor time alone")
    medians = [
        decision_microseconds(count, rollout_count=1)[0] for count in VERSION_COUNTS
    ]
    _print_slope("versions", VERSION_COUNTS, medians, at=TARGET_VERSIONS)
    choices = [choice_microseconds(count) for count in ENDPOINT_COUNTS]
    _print_slope("endpoints", ENDPOINT_COUNTS, choices, at=TARGET_ENDPOINTS)


def _print_slope(
    name: str, sizes: Sequence[int], values: Sequence[float], *, at: int
) -> None:
    fit = fit_line(sizes, values)
    cells = ", ".join(
        f"{size}: {value:.1f}" for size, value in zip(sizes, values, strict=True)
    )
    print(f"us by {name}: {cells}")
    print(f"fit at {at} {name}: {fit.at(at):.1f} us, r2 {fit.r_squared:.2f}")


def _control_path() -> None:
    costs = asyncio.run(measure_control(endpoints=ENDPOINT_COUNTS))
    sizes = [cost.endpoints for cost in costs]
    print("## Control path: an entry without requests")
    print("endpoints  configuration KB  % of a core  MB resident")
    for cost in costs:
        print(
            f"{cost.endpoints:9} {cost.configuration_bytes / 1e3:17.0f}"
            f" {cost.cpu_share * 100:12.2f} {cost.resident_bytes / 1e6:12.1f}"
        )
    cpu = fit_line(sizes, [cost.cpu_share * 100 for cost in costs])
    memory = fit_line(sizes, [cost.resident_bytes / 1e6 for cost in costs])
    print(
        f"fit at {TARGET_ENDPOINTS}: {cpu.at(TARGET_ENDPOINTS):.2f}% of a core"
        f" (r2 {cpu.r_squared:.2f}; target {TARGET_CONTROL_CPU_PERCENT}%),"
        f" {memory.at(TARGET_ENDPOINTS):.1f} MB"
        f" ({memory.slope * 1e3:.1f} KB an endpoint, r2 {memory.r_squared:.2f};"
        f" target {TARGET_CONTROL_MEGABYTES} MB)"
    )


def main() -> None:
    """Run all parts and print their results."""
    _token_path()
    _request_path()
    _decision_path()
    _control_path()


if __name__ == "__main__":
    main()
