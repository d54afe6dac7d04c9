"""Differences between two configurations, shown to operators before a change."""

import json
from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.configuration import Configuration
from fuchsiaroute.declaration._canonical import encode

#: Parsed JSON.
JsonValue = None | bool | int | float | str | list["JsonValue"] | dict[str, "JsonValue"]

#: Keys that can identify the items of a list. The first one that all items have, with
#: a different value in each, is used.
_IDENTIFYING_KEYS = ("id", "path", "failure_domain")


class DifferenceKind(Enum):
    """Kind of change at one place."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, kw_only=True)
class Difference:
    """A place that differs, with its JSON before and after the change."""

    #: Path of the value, for example ``models[sapling].versions[sapling-1].state``.
    place: str
    kind: DifferenceKind
    #: Empty for an added place.
    before: str = ""
    #: Empty for a removed place.
    after: str = ""


def difference(before: Configuration, after: Configuration) -> tuple[Difference, ...]:
    """Return the differences between ``before`` and ``after``."""
    old: JsonValue = json.loads(encode(before))
    new: JsonValue = json.loads(encode(after))
    return tuple(_compare("", old, new))


def _compare(place: str, old: JsonValue, new: JsonValue) -> list[Difference]:
    if old == new:
        return []
    if isinstance(old, dict) and isinstance(new, dict):
        return _compare_members(place, old, new, "{}.{}" if place else "{}{}")
    if isinstance(old, list) and isinstance(new, list):
        old_items, new_items = _index_items(old), _index_items(new)
        if old_items is not None and new_items is not None:
            found = _compare_members(place, old_items, new_items, "{}[{}]")
            return found or [_changed(f"{place} (order)", old, new)]
    return [_changed(place, old, new)]


def _compare_members(
    place: str,
    old: dict[str, JsonValue],
    new: dict[str, JsonValue],
    place_format: str,
) -> list[Difference]:
    found: list[Difference] = []
    for key, value in old.items():
        member = place_format.format(place, key)
        if key in new:
            found += _compare(member, value, new[key])
        else:
            found.append(
                Difference(
                    place=member, kind=DifferenceKind.REMOVED, before=_to_json(value)
                )
            )
    found += [
        Difference(
            place=place_format.format(place, key),
            kind=DifferenceKind.ADDED,
            after=_to_json(value),
        )
        for key, value in new.items()
        if key not in old
    ]
    return found


def _index_items(items: list[JsonValue]) -> dict[str, JsonValue] | None:
    """Return the items by their identifying key, or None if they have none."""
    for key in _IDENTIFYING_KEYS:
        indexed: dict[str, JsonValue] = {
            str(item[key]): item
            for item in items
            if isinstance(item, dict) and key in item
        }
        if len(indexed) == len(items):
            return indexed
    return None


def _changed(place: str, old: JsonValue, new: JsonValue) -> Difference:
    return Difference(
        place=place,
        kind=DifferenceKind.CHANGED,
        before=_to_json(old),
        after=_to_json(new),
    )


def _to_json(value: JsonValue) -> str:
    return json.dumps(value, sort_keys=True)
