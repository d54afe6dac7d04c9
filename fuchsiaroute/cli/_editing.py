"""Applies an edit to the configuration in force, and retries it on conflicts."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from fuchsiaroute.cli._connection import report_client_error
from fuchsiaroute.cli._exit import ExitCode
from fuchsiaroute.cli._output import print_error, print_errors, print_json
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import Configuration
from fuchsiaroute.ids import ChangeId
from fuchsiaroute.operators import (
    ChangeOutcome,
    ChangeReply,
    ClientError,
    ClientErrorKind,
    ConfigurationReply,
    OperatorClient,
    SubmittedChange,
)

CHANGE_ID_BYTES = 16
#: Attempts of an edit that conflicts with other operators' changes.
MAX_EDIT_ATTEMPTS = 8
#: Lets the entry apply the conflicting change before the next attempt.
CONFLICT_RETRY_DELAY = Milliseconds(1_500)

#: Returns the new configuration for the one in force, or the reason against it.
Edit = Callable[[Configuration], Result[Configuration, str]]

_EXIT_CODES = {
    ChangeOutcome.ACCEPTED: ExitCode.OK,
    ChangeOutcome.CONFLICT: ExitCode.REFUSED,
    ChangeOutcome.CHANGE_ID_REUSED: ExitCode.REFUSED,
    ChangeOutcome.INVALID: ExitCode.FAULTY_INPUT,
    ChangeOutcome.NOT_WRITTEN: ExitCode.REFUSED,
    ChangeOutcome.UNKNOWN: ExitCode.UNKNOWN,
}


@dataclass(frozen=True, kw_only=True)
class NamedEdit:
    """An edit and its description for other operators."""

    summary: str
    edit: Edit


def new_change_id() -> ChangeId:
    """Return a random id for a new change of the configuration."""
    return ChangeId(secrets.token_hex(CHANGE_ID_BYTES))


async def run_edit(
    client: OperatorClient, named: NamedEdit, *, clock: Clock, json: bool
) -> ExitCode:
    """
    Apply an edit to the configuration in force.

    If another operator's change is accepted first, the edit is made again on the
    configuration that is then in force.
    """
    for attempt in range(MAX_EDIT_ATTEMPTS):
        if attempt:
            await clock.sleep(CONFLICT_RETRY_DELAY)
        current = await client.in_force()
        if isinstance(current, Failure):
            return report_client_error(current.failure())
        change = _change(current.unwrap(), named)
        if isinstance(change, ExitCode):
            return change
        result = await client.submit(change)
        is_last = attempt + 1 == MAX_EDIT_ATTEMPTS
        if is_last or not _is_conflict(result):
            return report_change(result, change.change, json=json)
    raise AssertionError("the last attempt is reported")


def report_change(
    result: Result[ChangeReply, ClientError], change: ChangeId, *, json: bool
) -> ExitCode:
    """Print the outcome of ``change`` and return the exit code."""
    match result:
        case Failure(error):
            code = report_client_error(error)
            if error.kind is not ClientErrorKind.NO_ANSWER:
                return code
            print_error(f"change id {change}")
            return ExitCode.UNKNOWN
        case Success(reply):
            if json:
                print_json(reply)
            elif reply.outcome is ChangeOutcome.ACCEPTED:
                print(f"accepted as revision {reply.revision}")
            else:
                print_errors(reply.faults)
                print_error(f"{reply.outcome.value}: {reply.message}")
                print_error(f"change id {change}")
            return _EXIT_CODES[reply.outcome]
    raise AssertionError("a Result is a Success or a Failure")


def _change(
    current: ConfigurationReply, named: NamedEdit
) -> SubmittedChange | ExitCode:
    match named.edit(current.configuration):
        case Failure(message):
            print_error(message)
            return ExitCode.REFUSED
        case Success(configuration) if configuration == current.configuration:
            print(f"already so in revision {current.revision}")
            return ExitCode.OK
        case Success(configuration):
            return SubmittedChange(
                change=new_change_id(),
                base=current.revision,
                summary=named.summary,
                configuration=configuration,
            )
    raise AssertionError("a Result is a Success or a Failure")


def _is_conflict(result: Result[ChangeReply, ClientError]) -> bool:
    return result.map(lambda reply: reply.outcome is ChangeOutcome.CONFLICT).value_or(
        False
    )
