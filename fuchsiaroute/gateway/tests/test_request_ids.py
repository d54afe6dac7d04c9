"""Request ids that an entry issues to callers over HTTP."""

from random import Random

import httpx
import pytest

from examples import timberline
from fuchsiaroute.clock import ManualClock, SystemClock
from fuchsiaroute.entry import CurrentConfiguration
from fuchsiaroute.gateway import build_app
from fuchsiaroute.gateway.tests.test_gateway import KEY, FakeAdvice, FakePipeline
from fuchsiaroute.idempotency import ClaimTable
from fuchsiaroute.ids import Revision
from fuchsiaroute.store import MemoryTableStore, StoreClient, StoreFunction

ISSUE = "/v1/services/permit-app/permits/issue"
SEARCH = "/v1/services/permit-app/permits/search"
IDS = "/v1/request-ids"


class Gateway:
    """The callers' application of an entry that issues ids."""

    def __init__(self):
        self.pipeline = FakePipeline()
        current = CurrentConfiguration()
        current.apply(Revision(1), timberline.declare())
        clock, random = ManualClock(), Random(1)
        client = StoreClient(MemoryTableStore(clock=clock), clock=clock, random=random)
        claim_table = ClaimTable(
            store=client.view(StoreFunction.CLAIMS),
            clock=clock,
            instance="entry-1",
            incarnation=7,
            random=random,
        )
        app = build_app(
            pipeline=self.pipeline,
            current=current,
            advice=FakeAdvice(),
            clock=SystemClock(),
            request_ids=claim_table,
        )
        self.client = httpx.AsyncClient(
            transport=httpx.ASGITransport(app), base_url="http://127.0.0.1"
        )

    async def post(self, path, **headers):
        sent = {"authorization": f"Bearer {KEY}", **headers}
        return await self.client.post(path, content=b"{}", headers=sent)


async def test_requested_number_of_distinct_ids_is_issued():
    response = await Gateway().post(f"{IDS}?count=3")
    assert response.status_code == 200
    assert len(set(response.json()["request_ids"])) == 3
    assert response.json()["lifetime"] == 120_000


@pytest.mark.parametrize("count", ["0", "101", "-1", "x", "", "9" * 50, "²"])
async def test_invalid_count_is_refused(count):
    response = await Gateway().post(f"{IDS}?count={count}")
    assert response.status_code == 400


async def test_ids_are_issued_to_authenticated_callers_only():
    response = await Gateway().post(IDS, authorization="Bearer unknown")
    assert response.status_code == 401


@pytest.mark.parametrize(
    ("path", "headers", "prefix"),
    [
        (ISSUE, {}, "entry-issued.entry-1.7."),
        (ISSUE, {"x-request-id": "mine"}, "mine"),
        (SEARCH, {}, ""),
    ],
)
async def test_non_idempotent_call_without_an_id_gets_an_issued_id(
    path, headers, prefix
):
    gateway = Gateway()
    response = await gateway.post(path, **headers)
    (call,) = gateway.pipeline.calls
    assert call.request.id.startswith(prefix)
    assert call.request.id.startswith("entry-issued.") is (prefix[:5] == "entry")
    assert response.headers["x-request-id"] == call.request.id


async def test_issued_id_is_accepted_as_a_header():
    gateway = Gateway()
    (issued,) = (await gateway.post(IDS)).json()["request_ids"]
    await gateway.post(ISSUE, **{"x-request-id": issued})
    assert gateway.pipeline.calls[0].request.id == issued
