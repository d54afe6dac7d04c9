"""Rules on the ranges of numbers and the syntax of texts."""

import math
import re
from collections.abc import Iterator

from fuchsiaroute.configuration import Configuration
from fuchsiaroute.declaration._faults import Fault

MAX_PRIORITY = 9

_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}", re.ASCII)
_PATH_PATTERN = re.compile(r"/[A-Za-z0-9._~/-]*", re.ASCII)


def check_ranges(configuration: Configuration) -> Iterator[Fault]:
    """Yield the values in ``configuration`` that are out of range or malformed."""
    yield from _check_products(configuration)
    yield from _check_organisations(configuration)
    yield from _check_models(configuration)
    yield from _check_services(configuration)
    yield from _check_rollouts(configuration)


def check_number(
    place: str, value: float, *, low: float, high: float = math.inf
) -> Iterator[Fault]:
    """Yield a fault if ``value`` is outside ``low`` to ``high``, both included."""
    # Comparisons with NaN are false, so NaN is reported too.
    if not low <= value <= high:
        limit = f"from {low} to {high}" if high < math.inf else f"at least {low}"
        yield Fault(place=place, message=f"{value} is not {limit}")


def _check_products(configuration: Configuration) -> Iterator[Fault]:
    for index, product in enumerate(configuration.products):
        place = f"products[{index}]"
        yield from check_number(
            f"{place}.priority", product.priority, low=0, high=MAX_PRIORITY
        )
        if not product.classes:
            yield Fault(place=f"{place}.classes", message="has no request class")
        for number, spec in enumerate(product.classes):
            spec_place = f"{place}.classes[{number}]"
            yield from check_number(
                f"{spec_place}.quality_target", spec.quality_target, low=0, high=1
            )
            yield from check_number(
                f"{spec_place}.expected_tokens", spec.expected_tokens, low=1
            )


def _check_organisations(configuration: Configuration) -> Iterator[Fault]:
    for index, organisation in enumerate(configuration.organisations):
        place = f"organisations[{index}]"
        if _DIGEST_PATTERN.fullmatch(organisation.key_digest) is None:
            yield Fault(
                place=f"{place}.key_digest",
                message="is not a BLAKE2b-256 digest in 64 hexadecimal digits",
            )
        yield from check_number(
            f"{place}.daily_cost_limit", organisation.daily_cost_limit, low=0
        )
        yield from check_number(f"{place}.weight", organisation.weight, low=1)


def _check_models(configuration: Configuration) -> Iterator[Fault]:
    for index, model in enumerate(configuration.models):
        if not model.versions:
            yield Fault(place=f"models[{index}].versions", message="has no version")
        for number, version in enumerate(model.versions):
            place = f"models[{index}].versions[{number}]"
            yield from check_number(
                f"{place}.cost_per_1000_tokens", version.cost_per_1000_tokens, low=0
            )
            yield from check_number(
                f"{place}.prior_quality", version.prior_quality, low=0, high=1
            )


def _check_services(configuration: Configuration) -> Iterator[Fault]:
    for index, service in enumerate(configuration.services):
        place = f"services[{index}]"
        yield from check_number(f"{place}.cost_per_call", service.cost_per_call, low=0)
        if not service.calls:
            yield Fault(place=f"{place}.calls", message="has no call")
        for number, call in enumerate(service.calls):
            if _PATH_PATTERN.fullmatch(call.path) is None:
                yield Fault(
                    place=f"{place}.calls[{number}].path",
                    message=f"{call.path!r} is not a path such as '/permits/issue'",
                )


def _check_rollouts(configuration: Configuration) -> Iterator[Fault]:
    for index, rollout in enumerate(configuration.rollouts):
        place = f"rollouts[{index}]"
        if not rollout.stages:
            yield Fault(place=f"{place}.stages", message="has no stage")
            continue
        yield from check_number(
            f"{place}.stage", rollout.stage, low=0, high=len(rollout.stages) - 1
        )
        for number, share in enumerate(rollout.stages):
            yield from check_number(f"{place}.stages[{number}]", share, low=0, high=1)
