"""Endpoints that say in their answers that they leave, or ask to be left alone."""

import asyncio

import msgspec
import pytest

from fuchsiaroute.gossip import FORMAT, GossipMessage, decode_message, encode_message
from fuchsiaroute.platform.tests.node_harness import NodeHarness
from fuchsiaroute.platform.tests.standin import Endpoint, complete, events, fail


@pytest.mark.parametrize("answer", [complete, fail, events(2)])
async def test_endpoint_that_says_it_leaves_gets_no_further_requests(
    answer,  # type: ignore[no-untyped-def]
) -> None:
    """The announcement still says that the endpoint is ready."""
    one, other = Endpoint(answer), Endpoint(answer)
    path = "/stream/" if answer not in (complete, fail) else "/read/"
    async with NodeHarness(one, other) as harness:
        one.is_leaving = True
        for number in range(12):
            await harness.caller().ask(path, request_id=f"q{number}")
        lines = b"".join(harness.lines)
    assert len(one.requests) <= 1
    if one.requests:
        assert b'"endpoint:leaving"' in lines


async def test_running_stream_of_a_leaving_endpoint_is_finished_there() -> None:
    endpoint = Endpoint(events(10, pause_s=0.02))
    endpoint.is_leaving = True
    async with NodeHarness(endpoint) as harness:
        reply = await harness.caller().ask("/stream/")
        refused = await harness.caller().ask("/stream/", request_id="q2")
    assert reply.is_whole
    assert reply.body.count(b"id: ") == 10
    assert (refused.status, len(endpoint.requests)) == (503, 1)


async def test_restarted_endpoint_is_used_again() -> None:
    endpoint = Endpoint()
    endpoint.is_leaving = True
    async with NodeHarness(endpoint) as harness:
        await harness.caller().ask("/read/")
        # A renewed announcement of the same process changes nothing.
        harness.store.put("servers", endpoint.id, endpoint.announcement(Seq=2))
        await asyncio.sleep(0.6)
        assert (await harness.caller().ask("/read/", request_id="q2")).status == 503
        endpoint.is_leaving = False
        harness.store.put("servers", endpoint.id, endpoint.announcement(born=2))
        await harness.until(
            lambda: (
                harness.node._parts.pool.members("app")[0].endpoint.started_at == 2  # type: ignore[arg-type]
            )
        )
        assert (await harness.caller().ask("/read/", request_id="q3")).status == 200


@pytest.mark.parametrize("path", ["/read/", "/write/", "/stream/"])
async def test_endpoint_that_asks_for_a_pause_gets_no_request_of_any_kind(
    path: str,
) -> None:
    one, other = Endpoint(), Endpoint()
    async with NodeHarness(one, other) as harness:
        one.pause = "5"
        replies = [
            await harness.caller().ask(path, request_id=f"q{number}")
            for number in range(12)
        ]
        lines = b"".join(harness.lines)
    assert {reply.status for reply in replies} == {200}
    assert len(one.requests) <= 1
    if one.requests:
        assert b'"endpoint:paused"' in lines


async def test_caller_is_refused_at_once_if_every_endpoint_asks_for_a_pause() -> None:
    endpoint = Endpoint()
    endpoint.pause = "5"
    async with NodeHarness(endpoint) as harness:
        started_at = asyncio.get_running_loop().time()
        replies = [
            await harness.caller().ask("/write/", request_id=f"q{number}")
            for number in range(3)
        ]
        took = asyncio.get_running_loop().time() - started_at
    assert [reply.status for reply in replies] == [503] * 3
    assert float(replies[-1].headers[b"retry-after"]) >= 4
    assert len(endpoint.requests) == 1
    assert took < 3.0


@pytest.mark.parametrize("value", ["soon", "0", "-3"])
async def test_pause_without_a_duration_is_none(value: str) -> None:
    endpoint = Endpoint()
    endpoint.pause = value
    async with NodeHarness(endpoint) as harness:
        await harness.caller().ask("/write/")
        endpoint.pause = None
        await asyncio.sleep(0.2)
        assert (await harness.caller().ask("/write/", request_id="q2")).status == 200


async def test_peer_reports_an_endpoint_that_leaves() -> None:
    endpoint = Endpoint()
    async with NodeHarness(endpoint) as harness:
        exchange = harness.node._parts.exchange
        message = exchange.compose()
        assert message.leaving == []
        told = msgspec.structs.replace(
            message, instance="peer", leaving=[(endpoint.id, 1)]
        )
        exchange.apply(told)
        assert (await harness.caller().ask("/read/")).status == 503
        assert exchange.compose().leaving == [(endpoint.id, 1)]


def test_message_of_a_former_version_lacks_the_newer_fields() -> None:
    """Guards against instances that cannot read each other during an upgrade."""
    values: dict[str, object] = {
        "format": FORMAT,
        "instance": "old",
        "count": 1,
        "is_ready": True,
        "frontend": "127.0.0.1:1",
        "failure_domain": "z",
        "port": 1,
        "loads": {},
        "heartbeats": [],
        "revisions": {},
        "rollouts": [],
        "evidence": [],
        "suspended": [],
        "sessions": [],
        "answer_ages": {},
    }
    message = GossipMessage(**values)  # type: ignore[arg-type]
    fields = msgspec.to_builtins(message)
    former = msgspec.msgpack.encode(fields[: 1 + len(values)])
    decoded = msgspec.msgpack.decode(former, type=GossipMessage)
    assert decoded == message
    assert decode_message(encode_message(message)) == message
