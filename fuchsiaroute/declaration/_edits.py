"""Single changes of a configuration that operators make under way."""

from dataclasses import replace

from returns.result import Failure, Result, Success

from fuchsiaroute.configuration import Configuration, Outage, Rollout, VersionState
from fuchsiaroute.ids import FailureDomainId, VersionId

EditResult = Result[Configuration, str]


def set_version_state(
    configuration: Configuration, version: VersionId, state: VersionState
) -> EditResult:
    """Return ``configuration`` with another state of ``version``, or why not."""
    known = {item.id for model in configuration.models for item in model.versions}
    if version not in known:
        return Failure(f"there is no version {version!r}")
    return Success(configuration.with_version_state(version, state))


def begin_outage(
    configuration: Configuration, failure_domain: FailureDomainId, *, reason: str
) -> EditResult:
    """Return ``configuration`` with ``failure_domain`` taken out, or why not."""
    if failure_domain not in {item.id for item in configuration.failure_domains}:
        return Failure(f"there is no failure domain {failure_domain!r}")
    others = _without(configuration, failure_domain)
    outage = Outage(failure_domain=failure_domain, reason=reason)
    return Success(configuration.with_outages((*others, outage)))


def end_outage(
    configuration: Configuration, failure_domain: FailureDomainId
) -> EditResult:
    """Return ``configuration`` with ``failure_domain`` back, or why not."""
    others = _without(configuration, failure_domain)
    if len(others) == len(configuration.outages):
        return Failure(f"failure domain {failure_domain!r} is not taken out")
    return Success(configuration.with_outages(others))


def start_rollout(configuration: Configuration, rollout: Rollout) -> EditResult:
    """Return ``configuration`` with ``rollout`` added, or why not."""
    if rollout.id in {item.id for item in configuration.rollouts}:
        return Failure(f"there is a roll-out {rollout.id!r} already")
    return Success(replace(configuration, rollouts=(*configuration.rollouts, rollout)))


def _without(
    configuration: Configuration, failure_domain: FailureDomainId
) -> tuple[Outage, ...]:
    return tuple(
        outage
        for outage in configuration.outages
        if outage.failure_domain != failure_domain
    )
