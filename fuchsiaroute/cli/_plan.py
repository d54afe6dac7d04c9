"""Shows the differences between two configurations."""

from collections.abc import Collection

from fuchsiaroute.cli._output import print_json, print_table
from fuchsiaroute.declaration import Difference

MAX_VALUE_CHARACTERS = 60


def print_differences(
    differences: Collection[Difference], title: str, *, json: bool
) -> None:
    """Print ``differences`` under ``title``, or as JSON without it."""
    if json:
        print_json(differences)
        return
    print(f"{title}; {len(differences)} differences")
    if differences:
        print_table(("kind", "place", "before", "after"), map(_row, differences))


def _row(item: Difference) -> tuple[str, str, str, str]:
    return (item.kind.value, item.place, _shorten(item.before), _shorten(item.after))


def _shorten(text: str) -> str:
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[: MAX_VALUE_CHARACTERS - 3] + "..."
