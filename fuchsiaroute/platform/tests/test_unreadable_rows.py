"""Rows that another writer has put into the store, at a running instance."""

import pytest

from fuchsiaroute.platform.tests.node_harness import NodeHarness
from fuchsiaroute.platform.tests.standin import Endpoint


@pytest.mark.parametrize(
    "address",
    ["127.0.0.1:\u00b2", "127.0.0.1:" + "8" * 5_000, "127.0.0.1:70000", "x" * 80],
)
async def test_changes_after_an_unreadable_announcement_take_effect(
    address: str,
) -> None:
    """Guards against requests to a draining endpoint, and 500 answers (review/1)."""
    leaving, other = Endpoint(), Endpoint()
    async with NodeHarness(leaving, other) as harness:
        harness.store.put("servers", "foreign", leaving.announcement(Address=address))
        harness.store.put(
            "servers", leaving.id, leaving.announcement(State="draining", Seq=2)
        )
        await harness.until(
            lambda: any(
                b'"endpoint:announced"' in line and b'"is_draining":true' in line
                for line in harness.lines
            )
        )
        for number in range(8):
            reply = await harness.caller().ask("/read/", request_id=f"q{number}")
            assert reply.status == 200
        assert (len(leaving.requests), len(other.requests)) == (0, 8)
        assert b"task:failed" not in b"".join(harness.lines)


async def test_header_with_a_too_long_number_counts_as_absent() -> None:
    """Guards against 500 answers to callers."""
    async with NodeHarness(Endpoint()) as harness:
        for header in ("X-Deadline-Ms", "X-Token-Counts"):
            reply = await harness.caller().ask(
                "/read/",
                request_id=header,
                deadline=None,
                extra=f"{header}: {'4' * 5_000}\r\n",
            )
            assert reply.status == 200
