import asyncio
import json
from dataclasses import replace

import httpx
import pytest
from prometheus_client.parser import text_string_to_metric_families

from examples import timberline
from fuchsiaroute.clock import SystemClock
from fuchsiaroute.ids import ChangeId, OrganisationId, RequestClass, Revision
from fuchsiaroute.logs import open_log
from fuchsiaroute.operators import (
    ChangeOutcome,
    ExplanationRequest,
    OperatorClient,
    SubmittedChange,
)
from fuchsiaroute.serving import (
    EntryOptions,
    HttpServer,
    compose_entry,
    compose_operators,
)
from fuchsiaroute.settings import OperatorSettings
from fuchsiaroute.standin import StandInEndpoint
from fuchsiaroute.store import MemoryInstanceList, MemoryTableStore

SECRET = "0123456789abcdef"
CALLER_KEY = timberline.example_key("county-03")
BODY = {"messages": [{"role": "user", "content": "a secret stand"}], "stream": True}


class RunningEntry:
    """An entry with a store in memory and one stand-in endpoint."""

    def __init__(self, tmp_path):
        clock = SystemClock()
        store = MemoryTableStore()
        key_file = tmp_path / "ana.key"
        key_file.write_text(SECRET)
        self.entry = compose_entry(
            options=EntryOptions(instance="entry-0", failure_domain="lakes-a"),
            store=store,
            instances=MemoryInstanceList(),
            clock=clock,
        )
        operators = compose_operators(
            self.entry,
            store=store,
            settings=OperatorSettings(key_files=(key_file,)),
            clock=clock,
        )
        self.callers = self._client_of(self.entry.app)
        self.operator_http = self._client_of(operators)
        self.operators = OperatorClient(self.operator_http, clock=clock, key=SECRET)
        endpoint = StandInEndpoint(clock=clock).build_app()
        self.endpoint = HttpServer(app=endpoint, host="127.0.0.1", port=0)

    def _client_of(self, app):
        transport = httpx.ASGITransport(app)
        return httpx.AsyncClient(transport=transport, base_url="http://127.0.0.1")

    async def apply(self):
        await self.endpoint.start()
        declared = timberline.declare()
        engine = replace(declared.endpoints[0], url=self.endpoint.url)
        kept = (engine, *declared.endpoints[timberline.WORKER_COUNT :])
        change = SubmittedChange(
            change=ChangeId("c-1"),
            base=Revision(0),
            summary="first",
            configuration=replace(declared, endpoints=kept),
        )
        reply = (await self.operators.submit(change)).unwrap()
        assert reply.outcome is ChangeOutcome.ACCEPTED
        await self.entry.poll.poll()
        self.entry.background.start()

    async def send(self, **headers):
        return await self.callers.post(
            "/v1/chat/completions",
            json=BODY,
            headers={
                "authorization": f"Bearer {CALLER_KEY}",
                "x-request-class": "stand-lookup",
                **headers,
            },
        )

    async def close(self):
        await self.entry.background.stop()
        await self.entry.aclose()
        await self.endpoint.stop()


@pytest.fixture
async def running(tmp_path):
    with open_log(tmp_path / "log"):
        entry = RunningEntry(tmp_path)
        await entry.apply()
        yield entry
        await entry.close()


def logged_lines(tmp_path):
    return [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]


async def test_answer_is_logged_counted_and_billed_exactly_once(running, tmp_path):
    response = await running.send()
    assert response.status_code == 200
    await asyncio.sleep(0)
    logged = logged_lines(tmp_path)
    kinds = [line["message_type"] for line in logged]
    for kind in ("configuration:applied", "route:decided", "route:answered"):
        assert kinds.count(kind) == 1
    (bill,) = [line for line in logged if line["message_type"] == "billing:billed"]
    assert bill["request"] == response.headers["x-request-id"]
    assert "a secret stand" not in (tmp_path / "log").read_text()
    assert CALLER_KEY not in (tmp_path / "log").read_text()
    values = await scrape_metrics(running)
    assert values["fuchsiaroute_requests_total", "answered", "permit-desk"] == 1
    assert values["fuchsiaroute_first_token_seconds_count", "permit-desk"] == 1
    assert values["fuchsiaroute_configuration_revision",] == 1
    assert values["fuchsiaroute_requests_in_flight",] == 0
    assert values["fuchsiaroute_is_ready",] == 1


async def scrape_metrics(running):
    text = (await running.operator_http.get("/metrics")).text
    return {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


async def test_refusal_is_logged_and_counted(running, tmp_path):
    response = await running.callers.post(
        "/v1/chat/completions",
        json={**BODY, "model": "timber"},
        headers={"authorization": f"Bearer {CALLER_KEY}"},
    )
    assert response.status_code == 403
    (line,) = [
        line
        for line in logged_lines(tmp_path)
        if line["message_type"] == "route:refused"
    ]
    assert (line["reason"], line["verdict"]) == ("not-permitted", "not-run")
    values = await scrape_metrics(running)
    assert values["fuchsiaroute_refusals_total", "not-permitted", "not-run"] == 1
    assert values["fuchsiaroute_requests_in_flight",] == 0


async def test_status_and_explanation_match_the_entry(running):
    status = (await running.operators.status()).unwrap()
    assert (status.instance, status.revision) == ("entry-0", 1)
    assert status.is_ready
    assert len(status.endpoints) == 4
    question = ExplanationRequest(
        organisation=OrganisationId("county-03"),
        request_class=RequestClass("stand-lookup"),
        is_streamed=True,
    )
    explanation = (await running.operators.explain(question)).unwrap()
    assert explanation.versions == ("sapling-1",)
    assert explanation.revision == 1
