import asyncio

import httpx
import pytest

from examples import timberline
from fuchsiaroute.cli._editing import NamedEdit, new_change_id, run_edit
from fuchsiaroute.cli._exit import ExitCode
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.configuration import ConfigurationLog, VersionState
from fuchsiaroute.declaration import begin_outage, end_outage, set_version_state
from fuchsiaroute.ids import FailureDomainId, Revision, VersionId
from fuchsiaroute.operators import (
    ConfigurationLogChanges,
    ConfigurationReply,
    OperatorClient,
    OperatorKey,
    OperatorKeys,
    SubmittedChange,
    build_operators_app,
)
from fuchsiaroute.store import MemoryTableStore, StoreFault

KEY = OperatorKey(name="ana", secret="0123456789abcdef")
DOMAINS = [FailureDomainId(f"lakes-{zone}") for zone in "abc"]


class LaggingView:
    """Returns a configuration ``lag`` revisions old; each read lowers ``lag`` by 1."""

    def __init__(self):
        self.accepted = [ConfigurationReply(revision=Revision(0), configuration=BASE)]
        self.lag = 0

    def in_force(self):
        index = max(0, len(self.accepted) - 1 - self.lag)
        self.lag = max(0, self.lag - 1)
        return self.accepted[index]


BASE = timberline.declare()


class RecordingChanges(ConfigurationLogChanges):
    def __init__(self, log, view):
        super().__init__(log)
        self._view = view

    async def submit(self, change, *, author):
        reply = await super().submit(change, author=author)
        if reply.revision == len(self._view.accepted):
            self._view.accepted.append(
                ConfigurationReply(
                    revision=reply.revision, configuration=change.configuration
                )
            )
        return reply


class Deployment:
    def __init__(self, *, key=KEY.secret):
        self.clock = ManualClock()
        self.store = MemoryTableStore()
        self.view = LaggingView()
        log = ConfigurationLog(self.store, self.clock)
        app = build_operators_app(
            view=self.view,
            changes=RecordingChanges(log, self.view),
            keys=OperatorKeys([KEY]),
        )
        http = httpx.AsyncClient(
            transport=httpx.ASGITransport(app), base_url="http://127.0.0.1"
        )
        self.client = OperatorClient(http, clock=self.clock, key=key)

    async def edit(self, edit):
        named = NamedEdit(summary="test", edit=edit)
        return await run_edit(self.client, named, clock=self.clock, json=False)

    async def run_edits(self, *edits):
        tasks = [asyncio.create_task(self.edit(edit)) for edit in edits]
        await self.clock.advance(Milliseconds(120_000))
        return [task.result() for task in tasks]


def outage_of(domain):
    return lambda held: begin_outage(held, domain, reason="")


async def test_concurrent_edits_all_take_effect():
    deployment = Deployment()
    codes = await deployment.run_edits(*(outage_of(domain) for domain in DOMAINS))
    assert codes == [ExitCode.OK] * 3
    held = deployment.view.accepted[-1]
    assert held.revision == 3
    assert {item.failure_domain for item in held.configuration.outages} == set(DOMAINS)


async def test_edit_on_an_entry_that_lags_keeps_other_changes():
    deployment = Deployment()
    await deployment.run_edits(outage_of(DOMAINS[0]))
    deployment.view.lag = 3
    withdraw = lambda held: set_version_state(  # noqa: E731
        held, VersionId("timber-4"), VersionState.WITHDRAWN
    )
    assert await deployment.run_edits(withdraw) == [ExitCode.OK]
    assert deployment.view.accepted[-1].configuration.outages


@pytest.mark.parametrize(
    ("edit", "code", "text"),
    [
        (lambda held: end_outage(held, DOMAINS[0]), ExitCode.REFUSED, "not taken out"),
        (
            lambda held: set_version_state(held, VersionId("x"), VersionState.ACTIVE),
            ExitCode.REFUSED,
            "no version 'x'",
        ),
        (
            lambda held: set_version_state(
                held, VersionId("timber-4"), VersionState.ACTIVE
            ),
            ExitCode.OK,
            "already so",
        ),
    ],
)
async def test_edit_without_effect_is_not_submitted(edit, code, text, capsys):
    deployment = Deployment()
    assert await deployment.run_edits(edit) == [code]
    captured = capsys.readouterr()
    assert text in captured.out + captured.err
    assert deployment.store.writes == 0


@pytest.mark.parametrize(
    ("fault", "code"),
    [
        (StoreFault.DOWN, ExitCode.REFUSED),
        (StoreFault.ANSWER_LOST, ExitCode.OK),
    ],
)
async def test_edit_during_a_store_fault(fault, code):
    deployment = Deployment()
    deployment.store.fault = fault
    assert await deployment.run_edits(outage_of(DOMAINS[0])) == [code]


async def test_edit_with_a_wrong_key_is_refused():
    deployment = Deployment(key="wrong")
    assert await deployment.run_edits(outage_of(DOMAINS[0])) == [ExitCode.REFUSED]


async def test_change_submitted_twice_is_accepted_once():
    deployment = Deployment()
    change = SubmittedChange(
        change=new_change_id(), base=Revision(0), summary="s", configuration=BASE
    )
    replies = [(await deployment.client.submit(change)).unwrap() for _ in range(2)]
    assert [reply.revision for reply in replies] == [1, 1]
