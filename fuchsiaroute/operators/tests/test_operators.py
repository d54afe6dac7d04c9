import asyncio
from dataclasses import replace

import httpx
import msgspec
import pytest

from examples import timberline
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.configuration import ConfigurationLog, VersionState
from fuchsiaroute.ids import ChangeId, OrganisationId, RequestClass, Revision, VersionId
from fuchsiaroute.metrics import Metrics
from fuchsiaroute.operators import (
    ChangeOutcome,
    ClientErrorKind,
    ConfigurationLogChanges,
    ConfigurationReply,
    EntryStatus,
    Explanation,
    ExplanationRequest,
    OperatorClient,
    OperatorKey,
    OperatorKeys,
    SubmittedChange,
    build_operators_app,
    load_keys,
)
from fuchsiaroute.store import MemoryTableStore, StoreFault

KEYS = (
    OperatorKey(name="ana", secret="ana-0123456789abcdef"),
    OperatorKey(name="rotated", secret="new-0123456789abcdef"),
)
CONFIGURATION = timberline.declare()
CHANGED = CONFIGURATION.with_version_state(
    VersionId("timber-4"), VersionState.WITHDRAWN
)


class FakeView:
    def status(self):
        return EntryStatus(
            instance="entry-0",
            failure_domain="lakes-a",
            deployment="timberline",
            is_ready=False,
            readiness="no-configuration",
            age=Milliseconds(0),
            revision=Revision(3),
            rollouts=(),
            outages=(),
            draining=(),
            withdrawn=(),
            endpoints=(),
        )

    def in_force(self):
        return ConfigurationReply(revision=Revision(3), configuration=CONFIGURATION)

    def metrics(self):
        return Metrics().render()

    def explain(self, question):
        return Explanation(
            revision=Revision(3),
            is_permitted=False,
            versions=(),
            candidates=(),
            refusal=question.organisation,
        )


class Interface:
    """The operators' application with an in-memory store."""

    def __init__(self, keys=KEYS, *, store=None):
        self.store = store or MemoryTableStore()
        self.clock = ManualClock()
        app = build_operators_app(
            view=FakeView(),
            changes=ConfigurationLogChanges(ConfigurationLog(self.store, self.clock)),
            keys=OperatorKeys(keys),
        )
        self.http = httpx.AsyncClient(
            transport=httpx.ASGITransport(app), base_url="http://127.0.0.1"
        )

    def client(self, key=KEYS[0].secret):
        return OperatorClient(self.http, clock=self.clock, key=key)


def change(*, name="c-1", base=0, configuration=CONFIGURATION):
    return SubmittedChange(
        change=ChangeId(name),
        base=Revision(base),
        summary="test",
        configuration=configuration,
    )


@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("POST", "/v1/changes"),
        ("GET", "/v1/changes/c-1"),
        ("GET", "/v1/configuration"),
        ("POST", "/v1/explain"),
    ],
)
@pytest.mark.parametrize(
    ("keys", "headers"),
    [
        (KEYS, []),
        (KEYS, [("authorization", "Bearer wrong")]),
        (KEYS, [("authorization", KEYS[0].secret)]),
        (KEYS, [("authorization", f"Bearer {KEYS[0].secret}")] * 2),
        (KEYS, [("authorization", f"Bearer {timberline.example_key('county-00')}")]),
        ((), [("authorization", "Bearer ")]),
        ((), [("authorization", f"Bearer {KEYS[0].secret}")]),
    ],
)
async def test_call_without_an_accepted_key_is_refused_without_effect(
    method, path, keys, headers
):
    interface = Interface(keys)
    body = msgspec.json.encode(change())
    response = await interface.http.request(method, path, content=body, headers=headers)
    assert response.status_code == 401
    assert "county" not in response.text
    assert interface.store.writes == 0


@pytest.mark.parametrize("key", [key.secret for key in KEYS])
async def test_every_configured_key_is_accepted(key):
    reply = (await Interface().client(key).submit(change())).unwrap()
    assert reply.outcome is ChangeOutcome.ACCEPTED
    assert reply.revision == 1


@pytest.mark.parametrize(
    ("path", "status", "text"),
    [
        ("/v1/status", 200, '"revision":3'),
        ("/v1/ready", 503, "false"),
        ("/metrics", 200, "fuchsiaroute_first_token_seconds"),
        ("/v1/chat/completions", 404, "message"),
    ],
)
async def test_routes_without_authentication_contain_no_secret(path, status, text):
    response = await Interface().http.get(path)
    assert response.status_code == status
    assert text in response.text
    assert CONFIGURATION.organisations[0].key_digest not in response.text


@pytest.mark.parametrize(
    ("first", "second", "outcome"),
    [
        (change(), change(), ChangeOutcome.ACCEPTED),
        (change(), change(name="c-2"), ChangeOutcome.CONFLICT),
        (change(), change(name="c-2", base=1), ChangeOutcome.ACCEPTED),
        (change(), change(name="c-2", base=2), ChangeOutcome.CONFLICT),
        (change(), change(configuration=CHANGED), ChangeOutcome.CHANGE_ID_REUSED),
    ],
)
async def test_outcome_of_a_second_change(first, second, outcome):
    client = Interface().client()
    assert (await client.submit(first)).unwrap().outcome is ChangeOutcome.ACCEPTED
    assert (await client.submit(second)).unwrap().outcome is outcome


async def test_one_of_several_concurrent_changes_is_accepted():
    client = Interface().client()
    results = await asyncio.gather(
        *(client.submit(change(name=f"c-{number}")) for number in range(5))
    )
    outcomes = [result.unwrap().outcome for result in results]
    assert outcomes.count(ChangeOutcome.ACCEPTED) == 1
    assert outcomes.count(ChangeOutcome.CONFLICT) == 4


async def test_change_with_a_lost_answer_is_resolved_by_submitting_it_again():
    interface = Interface()
    interface.store.fault = StoreFault.ANSWER_LOST
    submitting = asyncio.create_task(interface.client().submit(change()))
    await interface.clock.advance(Milliseconds(1))
    assert not submitting.done()
    interface.store.fault = StoreFault.NONE
    await interface.clock.advance(Milliseconds(10_000))
    assert (await submitting).unwrap().outcome is ChangeOutcome.ACCEPTED
    held = (await interface.client().submit(change())).unwrap()
    assert (held.outcome, held.revision) == (ChangeOutcome.ACCEPTED, 1)


class StoreThatFailsAfterACommit(MemoryTableStore):
    """Loses the answer of the first commit and is down from then on."""

    async def commit(self, transaction):
        if self.fault is StoreFault.DOWN:
            return await super().commit(transaction)
        self.fault = StoreFault.ANSWER_LOST
        result = await super().commit(transaction)
        self.fault = StoreFault.DOWN
        return result


@pytest.mark.parametrize(
    ("store", "fault", "outcome"),
    [
        (MemoryTableStore, StoreFault.DOWN, ChangeOutcome.NOT_WRITTEN),
        (MemoryTableStore, StoreFault.ANSWER_LOST, ChangeOutcome.ACCEPTED),
        (StoreThatFailsAfterACommit, StoreFault.NONE, ChangeOutcome.UNKNOWN),
    ],
)
async def test_outcome_of_a_change_during_store_faults(store, fault, outcome):
    interface = Interface(store=store())
    interface.store.fault = fault
    submitting = asyncio.create_task(interface.client().submit(change()))
    await interface.clock.advance(Milliseconds(60_000))
    reply = (await submitting).unwrap()
    assert reply.outcome is outcome


async def test_invalid_configuration_is_refused_with_every_fault():
    interface = Interface()
    broken = replace(CONFIGURATION, products=())
    reply = (await interface.client().submit(change(configuration=broken))).unwrap()
    assert reply.outcome is ChangeOutcome.INVALID
    assert len(reply.faults) == len(CONFIGURATION.organisations)
    assert reply.faults[3].place == "organisations[3].product"
    assert interface.store.writes == 0


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b"[" * 5_000])
async def test_malformed_message_is_refused(body):
    response = await Interface().http.post(
        "/v1/changes",
        content=body,
        headers={"authorization": f"Bearer {KEYS[0].secret}"},
    )
    assert response.status_code == 400


async def test_client_decodes_the_answers_of_the_interface():
    client = Interface().client()
    assert (await client.in_force()).unwrap().configuration == CONFIGURATION
    assert (await client.status()).unwrap().instance == "entry-0"
    question = ExplanationRequest(
        organisation=OrganisationId("county-00"),
        request_class=RequestClass("stand-lookup"),
    )
    assert (await client.explain(question)).unwrap().refusal == "county-00"


async def test_refused_call_is_not_reported_as_unanswered():
    refused = await Interface().client(key="wrong").in_force()
    assert refused.failure().kind is ClientErrorKind.REFUSED


TIMED_OUT, UNREACHABLE = httpx.ReadTimeout("late"), httpx.ConnectError("apart")


@pytest.mark.parametrize(
    ("errors", "kind"),
    [
        ([UNREACHABLE] * 5, ClientErrorKind.UNREACHABLE),
        ([TIMED_OUT] * 5, ClientErrorKind.NO_ANSWER),
        ([TIMED_OUT] + [UNREACHABLE] * 4, ClientErrorKind.NO_ANSWER),
    ],
)
async def test_change_is_in_doubt_if_any_attempt_got_no_answer(errors, kind):
    left = list(errors)

    def fail(request):
        raise left.pop(0)

    http = httpx.AsyncClient(
        transport=httpx.MockTransport(fail), base_url="http://127.0.0.1"
    )
    clock = ManualClock()
    client = OperatorClient(http, clock=clock)
    submitting = asyncio.create_task(client.submit(change()))
    await clock.advance(Milliseconds(60_000))
    assert (await submitting).failure().kind is kind
    assert left == []


def test_key_is_named_after_its_file_and_hidden_from_repr(tmp_path):
    path = tmp_path / "ana.key"
    path.write_text("0123456789abcdef\n")
    (key,) = load_keys([path]).unwrap()
    assert key == OperatorKey(name="ana", secret="0123456789abcdef")
    assert key.secret not in repr(key)
    assert load_keys([tmp_path / "missing"]).failure()
