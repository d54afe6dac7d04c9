"""Metrics are rendered on request, also in a process that has not loaded ssl."""

import subprocess
import sys

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.forwarding import Counters
from fuchsiaroute.node._metrics import MetricsHandler

PROGRAM = """
from fuchsiaroute._tls_import import block_tls_import
block_tls_import()
from fuchsiaroute.forwarding import Counters
from fuchsiaroute.node._metrics import MetricsHandler
counters = Counters()
counters.add("requests", "answered", "r")
print(MetricsHandler(counters, gauges=dict)._render()[1].decode())
"""


def test_counters_histograms_and_gauges_are_rendered() -> None:
    counters = Counters()
    for duration in (5, 80, 20_000):
        counters.observe("r", Milliseconds(duration))
    counters.add("attempts", "silent")
    handler = MetricsHandler(counters, gauges=lambda: {"endpoints": 3})
    text = handler._render()[1].decode()
    for line in (
        'fuchsiaroute_attempts_total{detail="",outcome="silent"} 1.0',
        'fuchsiaroute_response_seconds_bucket{le="0.1",route="r"} 2.0',
        'fuchsiaroute_response_seconds_bucket{le="+Inf",route="r"} 3.0',
        'fuchsiaroute_response_seconds_count{route="r"} 3.0',
        "fuchsiaroute_endpoints 3.0",
    ):
        assert line in text


def test_metrics_are_rendered_in_a_process_without_ssl() -> None:
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    assert 'fuchsiaroute_requests_total{detail="r",outcome="answered"} 1.0' in (
        done.stdout
    )
