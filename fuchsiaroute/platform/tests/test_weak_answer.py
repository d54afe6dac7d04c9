"""Endpoints that crash under a weak answer while a larger model is asked."""

import asyncio

from fuchsiaroute.http1 import InboundRequest, Responder, find_header
from fuchsiaroute.platform.tests.node_harness import NodeHarness
from fuchsiaroute.platform.tests.standin import Endpoint, events

#: Time from the crash to the log line that shows its notice, in seconds.
NOTICE_S = 0.4


class TwoModels:
    """The small model's answers are weak and slow, the large model waits for a word."""

    def __init__(self) -> None:
        self.may_go_on = asyncio.Event()
        self.small: list[Endpoint] = []
        self.large: list[Endpoint] = []

    async def answer(
        self, endpoint: Endpoint, request: InboundRequest, responder: Responder
    ) -> None:
        is_small = find_header(request.headers, b"x-model") == b"small"
        (self.small if is_small else self.large).append(endpoint)
        if not is_small:
            await self.may_go_on.wait()
        confidence = {b"small": 10, b"large": 90}
        pause_s = 0.2 if is_small else 0.0
        reply = events(10, confidence=confidence, pause_s=pause_s)
        await reply(endpoint, request, responder)


async def test_crash_under_a_weak_answer_is_noticed_when_it_happens() -> None:
    """Otherwise the crash counts too late, or never, against the request."""
    models = TwoModels()
    endpoints = [Endpoint(models.answer) for _ in range(3)]
    async with NodeHarness(*endpoints) as harness:
        caller = harness.caller()
        await caller.send("/sized/", extra="X-Model: *\r\n")
        await harness.until(lambda: models.large)
        (small,), (large,) = models.small, models.large
        assert small is not large
        small.close()
        await asyncio.sleep(NOTICE_S)
        lines = b"".join(harness.lines)
        models.may_go_on.set()
        reply = await caller.receive()
    assert reply.is_whole
    assert b'"endpoint:crashed"' in lines
