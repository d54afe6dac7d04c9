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


def announcement(fields: str) -> bytes:
    """Return the bytes of a row that names an address where nobody listens."""
    return (
        '{"Service":"app","Address":"127.0.0.1:9","Zone":"z1","Version":"v1",'
        f'"State":"ready",{fields}}}'
    ).encode()


_DEEP = "[" * 200_000 + "]" * 200_000


@pytest.mark.parametrize(
    "value",
    [
        announcement(f'"Slots":8,"More":{_DEEP}'),
        _DEEP.encode(),
        b'{"a":' * 200_000,
        announcement('"Slots":1e999'),
        announcement('"Slots":' + "9" * 5_000),
        announcement('"Slots":8,"born":' + "9" * 30),
        announcement('"Slots":8,"ColdLeftMs":1e300'),
        announcement('"Slots":8,"Seq":' + "9" * 5_000),
        announcement('"Slots":8').replace(b":9", b":65536"),
        announcement('"Slots":8').replace(b":9", b":-1"),
        announcement('"Slots":8').replace(b":9", b":" + b"9" * 400),
    ],
    ids=[
        "nested-field",
        "nested-row",
        "nested-and-unended",
        "infinite-slots",
        "slots-of-5000-digits",
        "start-beyond-64-bits",
        "cold-time-beyond-reason",
        "unused-number-of-5000-digits",
        "port-65536",
        "negative-port",
        "port-of-400-digits",
    ],
)
async def test_list_is_followed_beside_an_odd_row(value: bytes) -> None:
    """Guards against processes that end, or stop following, for one odd entry."""
    leaving, other = Endpoint(), Endpoint()
    async with NodeHarness(leaving, other) as harness:
        parts = harness.node._parts
        harness.store.put_bytes("servers", "odd", value)
        harness.store.put(
            "servers", leaving.id, leaving.announcement(State="draining", Seq=2)
        )

        def usable() -> set[str]:
            return {
                member.endpoint.id
                for member in parts.pool.members("app")
                if member.is_usable and member.endpoint.id != "odd"
            }

        await harness.until(lambda: usable() == {other.id})
        # A process that starts reads the row with the whole table.
        parts.endpoints_feed._must_read_whole = True
        parts.endpoints_feed.restart_watch("the table is read again")
        late = Endpoint()
        await late.listen()
        harness.store.put("servers", late.id, late.announcement())
        await harness.until(lambda: usable() == {other.id, late.id})
        for number in range(8):
            reply = await harness.caller().ask("/read/", request_id=f"q{number}")
            assert reply.status == 200
        assert not harness.node_task.done()
        assert b"task:failed" not in b"".join(harness.lines)
        late.close()


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
