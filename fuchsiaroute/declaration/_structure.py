"""Decoding that reports every wrong type, unknown key and missing key."""

import dataclasses
from typing import Any, get_args, get_origin, get_type_hints

import msgspec
from returns.result import Failure, Result, Success

from fuchsiaroute.configuration import Configuration
from fuchsiaroute.declaration._faults import Fault, has_errors
from fuchsiaroute.declaration._validate import validate


def parse(encoded: bytes) -> Result[Configuration, tuple[Fault, ...]]:
    """
    Return the configuration in ``encoded``, or its faults if it has errors.

    ``validate`` runs only if the structure has no faults. A configuration with
    warnings alone is returned without them; ``validate`` lists them.
    """
    try:
        raw = msgspec.json.decode(encoded)
    except (msgspec.DecodeError, RecursionError) as error:
        return Failure((Fault(place="", message=f"is not JSON: {error}"),))
    faults = tuple(_check(raw, Configuration, ""))
    if faults:
        return Failure(faults)
    configuration = msgspec.convert(raw, Configuration)
    faults = validate(configuration)
    return Failure(faults) if has_errors(faults) else Success(configuration)


def _check(value: object, hint: Any, place: str) -> list[Fault]:
    if dataclasses.is_dataclass(hint):
        return _check_object(value, hint, place)
    if get_origin(hint) is tuple:
        return _check_list(value, get_args(hint)[0], place)
    try:
        msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        return [Fault(place=place, message=str(error))]
    return []


def _check_list(value: object, item_hint: Any, place: str) -> list[Fault]:
    if not isinstance(value, list):
        return [Fault(place=place, message="expected a list")]
    faults: list[Fault] = []
    for index, item in enumerate(value):
        faults.extend(_check(item, item_hint, f"{place}[{index}]"))
    return faults


def _check_object(value: object, hint: Any, place: str) -> list[Fault]:
    if not isinstance(value, dict):
        return [Fault(place=place, message="expected an object")]
    prefix = f"{place}." if place else ""
    hints = get_type_hints(hint)
    faults = [
        Fault(place=f"{prefix}{key}", message="unknown key")
        for key in value
        if key not in hints
    ]
    for field in dataclasses.fields(hint):
        field_place = f"{prefix}{field.name}"
        if field.name in value:
            faults.extend(_check(value[field.name], hints[field.name], field_place))
        elif field.default is dataclasses.MISSING:
            faults.append(Fault(place=field_place, message="missing"))
    return faults
