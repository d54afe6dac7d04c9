"""How large updates spread over narrow and wide links."""

import pytest

from fuchsiaroute.gossip._parts import PART_BYTES
from fuchsiaroute.gossip._transfer import (
    BYTES_PER_MBIT,
    LINK_SHARE,
    MAX_MEMBERS,
    MIN_MEMBERS,
    RELAY_TIME,
    plan_relay,
    plan_reply,
)


@pytest.mark.parametrize("link", [5.0, 10.0, 25.0, 100.0, 1_000.0])
@pytest.mark.parametrize("size", [8_001, 25_000, 50_000, 300_000])
def test_parts_never_fill_the_link(link: float, size: int) -> None:
    """Guards against datagrams that are dropped in the queue of the own link."""
    for plan in (plan_relay(size=size, link_mbps=link), plan_reply(link_mbps=link)):
        sent_per_ms = plan.members * PART_BYTES / plan.interval
        usable = link * BYTES_PER_MBIT / 1_000 * LINK_SHARE
        # The interval is in whole milliseconds.
        assert sent_per_ms <= usable * (1 + 0.5 / plan.interval) or plan.interval == 1


@pytest.mark.parametrize(
    ("link", "size", "members"),
    [
        (5.0, 25_000, 3),
        (5.0, 50_000, MIN_MEMBERS),
        (100.0, 25_000, MAX_MEMBERS),
        (100.0, 300_000, 4),
    ],
)
def test_wide_links_serve_more_members(link: float, size: int, members: int) -> None:
    plan = plan_relay(size=size, link_mbps=link)
    assert plan.members == members
    if members > MIN_MEMBERS:
        parts = size / PART_BYTES
        assert parts * plan.interval <= 1.3 * RELAY_TIME
