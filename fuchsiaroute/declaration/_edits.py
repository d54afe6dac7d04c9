"""Edits of an existing configuration: version states, outages and roll-outs."""

from dataclasses import replace

from returns.result import Failure, Result, Success

from fuchsiaroute.configuration import Configuration, Outage, Rollout, VersionState
from fuchsiaroute.ids import FailureDomainId, VersionId

EditResult = Result[Configuration, str]


def set_version_state(
    configuration: Configuration, version: VersionId, state: VersionState
) -> EditResult:
    """Return ``configuration`` with ``version`` in ``state``, or an error message."""
    known = {item.id for model in configuration.models for item in model.versions}
    if version not in known:
        return Failure(f"there is no version {version!r}")
    return Success(configuration.with_version_state(version, state))


def begin_outage(
    configuration: Configuration, failure_domain: FailureDomainId, *, reason: str
) -> EditResult:
    """
    Return ``configuration`` with ``failure_domain`` out of service.

    The failure is an error message. An outage that is already declared gets ``reason``.
    """
    if failure_domain not in {item.id for item in configuration.failure_domains}:
        return Failure(f"there is no failure domain {failure_domain!r}")
    others = _other_outages(configuration, failure_domain)
    outage = Outage(failure_domain=failure_domain, reason=reason)
    return Success(configuration.with_outages((*others, outage)))


def end_outage(
    configuration: Configuration, failure_domain: FailureDomainId
) -> EditResult:
    """Return ``configuration`` without the outage, or an error message."""
    others = _other_outages(configuration, failure_domain)
    if len(others) == len(configuration.outages):
        return Failure(f"failure domain {failure_domain!r} is not taken out")
    return Success(configuration.with_outages(others))


def start_rollout(configuration: Configuration, rollout: Rollout) -> EditResult:
    """Return ``configuration`` with ``rollout`` added, or an error message."""
    if rollout.id in {item.id for item in configuration.rollouts}:
        return Failure(f"there is a roll-out {rollout.id!r} already")
    return Success(replace(configuration, rollouts=(*configuration.rollouts, rollout)))


def _other_outages(
    configuration: Configuration, failure_domain: FailureDomainId
) -> tuple[Outage, ...]:
    return tuple(
        outage
        for outage in configuration.outages
        if outage.failure_domain != failure_domain
    )
