import pytest

from examples import hanbit, timberline
from fuchsiaroute.clock import SystemClock
from fuchsiaroute.demo import run_deployment


@pytest.mark.parametrize("example", [timberline, hanbit])
async def test_every_request_of_a_deployment_is_answered_and_billed_once(example):
    report = await run_deployment(
        example.declare(), key_of=example.example_key, clock=SystemClock(), seed=1
    )
    assert report.answered == report.requests == 200
    assert report.ledger_records == report.answered
    assert report.billed > 0
