"""Changes that peers have reported and that the store or a relay has not delivered."""

import pytest

from fuchsiaroute.catalog import RowSource
from fuchsiaroute.catalog.tests.feed_harness import FeedHarness
from fuchsiaroute.platform import Row, Rows
from fuchsiaroute.store import StorePosition


@pytest.mark.parametrize(
    ("source", "expected"),
    [
        (None, b'"source":"store"'),
        (RowSource.RELAY, b'"source":"relay"'),
        (RowSource.PEER_REPLY, b'"source":"peer-reply"'),
    ],
)
async def test_late_change_is_logged_with_its_source(
    source: RowSource | None, expected: bytes
) -> None:
    async with FeedHarness(has_just_started=True) as harness:
        harness.is_relayed = True
        harness.feed.hint(1)
        await harness.pass_time(250)
        assert harness.feed.behind_for() == 250
        if source is not None:
            harness.store.is_down = True
            await harness.pass_time(400)
            row = Row(key="a", value=b"", revision=1)
            harness.feed.apply_relayed(
                Rows(rows=(row,), revision=1), after=StorePosition(0), source=source
            )
        else:
            harness.store.put("a")
            await harness.pass_time(400)
        [line] = [
            line for line in harness.log_lines.splitlines() if b"caught-up" in line
        ]
        assert expected in line
        assert harness.feed.behind_for() == 0


@pytest.mark.parametrize("interval", [100, 200, 250])
async def test_hints_in_quick_succession_do_not_postpone_the_read(
    interval: int,
) -> None:
    """
    Guards against a series of changes for whose whole time an instance is behind.

    The relayed update of the first change is lost, so that no later one fits.
    """
    async with FeedHarness(has_just_started=True) as harness:
        harness.is_relayed = True
        for number in range(1_000 // interval):
            harness.store.put(f"row-{number}")
            harness.feed.hint(number + 1)
            await harness.pass_time(interval)
        assert "row-0" in harness.seen


async def test_relayed_changes_in_quick_succession_cause_no_reads() -> None:
    """Guards against reads of the store by all instances of a large deployment."""
    async with FeedHarness(has_just_started=True) as harness:
        harness.is_relayed = True
        for number in range(1, 15):
            harness.feed.hint(number)
            await harness.pass_time(100)
            row = Row(key=f"row-{number}", value=b"", revision=number)
            rows = Rows(rows=(row,), revision=number)
            harness.feed.apply_relayed(rows, after=StorePosition(number - 1))
            harness.feed.hint(number + 1)
            await harness.pass_time(100)
        assert harness.store.calls == ["read"]
