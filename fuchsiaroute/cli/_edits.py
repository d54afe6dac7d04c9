"""Commands that edit one part of the configuration in force."""

from returns.result import Result

from fuchsiaroute.cli._connection import EntryOptions, run_with_client
from fuchsiaroute.cli._editing import Edit, NamedEdit, run_edit
from fuchsiaroute.cli._exit import ExitCode
from fuchsiaroute.clock import SystemClock
from fuchsiaroute.configuration import Configuration, Rollout, VersionState
from fuchsiaroute.declaration import (
    begin_outage,
    end_outage,
    set_version_state,
    start_rollout,
)
from fuchsiaroute.ids import FailureDomainId, ModelId, RolloutId, VersionId
from fuchsiaroute.rollout import RolloutAction, apply_action


def withdraw(
    version: str, *, options: EntryOptions, drain: bool = False, json: bool = False
) -> ExitCode:
    """
    Withdraw a version: no requests are routed to it from then on.

    Parameters
    ----------
    version
        The version.
    drain
        Keep serving sessions that are pinned to it, but assign no new ones.
    json
        Print the outcome as JSON.

    """
    state = VersionState.DRAINING if drain else VersionState.WITHDRAWN
    return _run(
        options,
        f"withdraw {version} ({state.value})",
        lambda held: set_version_state(held, VersionId(version), state),
        json=json,
    )


def reinstate(version: str, *, options: EntryOptions, json: bool = False) -> ExitCode:
    """Route requests to a withdrawn or draining version again."""
    return _run(
        options,
        f"reinstate {version}",
        lambda held: set_version_state(held, VersionId(version), VersionState.ACTIVE),
        json=json,
    )


def outage_begin(
    failure_domain: str,
    *,
    options: EntryOptions,
    reason: str = "",
    json: bool = False,
) -> ExitCode:
    """Take a failure domain out of service: within seconds it gets no new requests."""
    domain = FailureDomainId(failure_domain)
    return _run(
        options,
        f"outage of {failure_domain} begins",
        lambda held: begin_outage(held, domain, reason=reason),
        json=json,
    )


def outage_end(
    failure_domain: str, *, options: EntryOptions, json: bool = False
) -> ExitCode:
    """Return a failure domain to service; its endpoints warm up first."""
    return _run(
        options,
        f"outage of {failure_domain} ends",
        lambda held: end_outage(held, FailureDomainId(failure_domain)),
        json=json,
    )


def rollout_start(
    rollout: str,
    *,
    model: str,
    base: str,
    target: str,
    stage: list[float],
    options: EntryOptions,
    json: bool = False,
) -> ExitCode:
    """
    Start a roll-out in its first stage.

    Parameters
    ----------
    rollout
        Name of the new roll-out.
    model
        The model whose version changes.
    base
        The version to replace.
    target
        The version to roll out.
    stage
        Share of sessions on the target, from 0 to 1; repeat it for each stage.
    json
        Print the outcome as JSON.

    """
    new_rollout = Rollout(
        id=RolloutId(rollout),
        model=ModelId(model),
        base=VersionId(base),
        target=VersionId(target),
        stages=tuple(stage),
    )
    return _run(
        options,
        f"start roll-out {rollout}",
        lambda held: start_rollout(held, new_rollout),
        json=json,
    )


def rollout_advance(
    rollout: str, *, options: EntryOptions, json: bool = False
) -> ExitCode:
    """Advance a roll-out to its next stage; after the last one it is complete."""
    return _act(options, rollout, RolloutAction.ADVANCE, json=json)


def rollout_pause(
    rollout: str, *, options: EntryOptions, json: bool = False
) -> ExitCode:
    """Assign no new sessions to the target of a roll-out until it is resumed."""
    return _act(options, rollout, RolloutAction.PAUSE, json=json)


def rollout_resume(
    rollout: str, *, options: EntryOptions, json: bool = False
) -> ExitCode:
    """Continue a paused roll-out in the stage where it was paused."""
    return _act(options, rollout, RolloutAction.RESUME, json=json)


def rollout_abort(
    rollout: str, *, options: EntryOptions, json: bool = False
) -> ExitCode:
    """Stop all requests to the target of a roll-out for good."""
    return _act(options, rollout, RolloutAction.ABORT, json=json)


def _act(
    options: EntryOptions, rollout: str, action: RolloutAction, *, json: bool
) -> ExitCode:
    def edit(held: Configuration) -> Result[Configuration, str]:
        changed = apply_action(held, RolloutId(rollout), action)
        return changed.alt(lambda error: error.message)

    return _run(options, f"{action.value} roll-out {rollout}", edit, json=json)


def _run(options: EntryOptions, summary: str, edit: Edit, *, json: bool) -> ExitCode:
    named = NamedEdit(summary=summary, edit=edit)
    return run_with_client(
        options,
        lambda client: run_edit(client, named, clock=SystemClock(), json=json),
    )
