"""Difference between two configurations, for operators to read before a change."""

import json
from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.configuration import Configuration
from fuchsiaroute.declaration._canonical import encode

#: Parsed JSON.
JsonValue = None | bool | int | float | str | list["JsonValue"] | dict[str, "JsonValue"]

#: Keys that identify an item of a list, in order of preference.
_IDENTIFYING_KEYS = ("id", "path", "failure_domain")


class DifferenceKind(Enum):
    """How a place differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, kw_only=True)
class Difference:
    """One place that differs, and its JSON before and after."""

    #: For example ``models[sapling].versions[sapling-1].state``.
    place: str
    kind: DifferenceKind
    #: Empty for an added place.
    before: str = ""
    #: Empty for a removed place.
    after: str = ""


def difference(before: Configuration, after: Configuration) -> tuple[Difference, ...]:
    """Return every place in which ``after`` differs from ``before``."""
    old: JsonValue = json.loads(encode(before))
    new: JsonValue = json.loads(encode(after))
    return tuple(_compare("", old, new))


def _compare(place: str, old: JsonValue, new: JsonValue) -> list[Difference]:
    if old == new:
        return []
    if isinstance(old, dict) and isinstance(new, dict):
        return _compare_members(place, old, new, "{}.{}" if place else "{}{}")
    if isinstance(old, list) and isinstance(new, list):
        old_items, new_items = _keyed(old), _keyed(new)
        if old_items is not None and new_items is not None:
            found = _compare_members(place, old_items, new_items, "{}[{}]")
            return found or [_changed(f"{place} (order)", old, new)]
    return [_changed(place, old, new)]


def _compare_members(
    place: str,
    old: dict[str, JsonValue],
    new: dict[str, JsonValue],
    form: str,
) -> list[Difference]:
    found: list[Difference] = []
    for key, value in old.items():
        member = form.format(place, key)
        if key in new:
            found += _compare(member, value, new[key])
        else:
            found.append(
                Difference(
                    place=member, kind=DifferenceKind.REMOVED, before=_text(value)
                )
            )
    found += [
        Difference(
            place=form.format(place, key),
            kind=DifferenceKind.ADDED,
            after=_text(value),
        )
        for key, value in new.items()
        if key not in old
    ]
    return found


def _keyed(items: list[JsonValue]) -> dict[str, JsonValue] | None:
    """Return the items by what identifies them, or None if nothing does."""
    for key in _IDENTIFYING_KEYS:
        keyed: dict[str, JsonValue] = {
            str(item[key]): item
            for item in items
            if isinstance(item, dict) and key in item
        }
        if len(keyed) == len(items):
            return keyed
    return None


def _changed(place: str, old: JsonValue, new: JsonValue) -> Difference:
    return Difference(
        place=place,
        kind=DifferenceKind.CHANGED,
        before=_text(old),
        after=_text(new),
    )


def _text(value: JsonValue) -> str:
    return json.dumps(value, sort_keys=True)
