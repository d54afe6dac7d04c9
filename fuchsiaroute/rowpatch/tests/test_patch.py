"""Patches of large row values: what they save, and values that they do not fit."""

import json
import random
from typing import Any

import pytest

from fuchsiaroute.rowpatch import (
    MIN_PATCHED_BYTES,
    PatchChains,
    PatchError,
    RowPatch,
    apply_patch,
    make_patch,
)
from fuchsiaroute.rowpatch._chains import MAX_CHAIN_BYTES, MAX_CHAIN_PATCHES
from fuchsiaroute.rowpatch._patch import MAX_VALUE_BYTES
from fuchsiaroute.store import StorePosition

#: Most bytes of a patch that states the change of one route.
ONE_ROUTE_BYTES = 1_000


def declaration(version: int, numbers: list[int], **changes: Any) -> bytes:
    routes = [
        {
            "Name": f"r-{number * 7919 % 100_003}",
            "Prefix": f"/{number}/",
            "Kind": "safe",
        }
        for number in numbers
    ]
    return json.dumps({"Version": version, "Routes": routes, **changes}).encode()


ROUTES = list(range(3_000))
BASE = declaration(1, ROUTES)


def patch(former: bytes, value: bytes) -> RowPatch | None:
    return make_patch(
        "config", former, value, base=StorePosition(5), revision=StorePosition(7)
    )


@pytest.mark.parametrize(
    "value",
    [
        declaration(2, ROUTES),
        declaration(2, [*ROUTES, 3_001]),
        declaration(2, [3_001, *ROUTES]),
        declaration(2, ROUTES[:1_500] + ROUTES[1_501:]),
        declaration(2, ROUTES[:700] + [9_999] + ROUTES[701:]),
        declaration(2, ROUTES, Keys=["new"]),
        declaration(2, ROUTES[1_500:] + ROUTES[:1_500]),
        BASE,
    ],
    ids=["version", "added", "first", "removed", "changed", "keys", "moved", "same"],
)
def test_change_of_one_route_is_small(value: bytes) -> None:
    """Guards against changes in quick succession that use up narrow links."""
    found = patch(BASE, value)
    assert found is not None and found.size < ONE_ROUTE_BYTES
    assert apply_patch(found, BASE) == value


@pytest.mark.parametrize(
    "value", [b"", b"no object", declaration(2, list(range(5_000, 8_000)))]
)
def test_patch_that_saves_nothing_is_not_made(value: bytes) -> None:
    assert patch(BASE, value) is None


@pytest.mark.parametrize("seed", range(40))
def test_any_change_is_restored(seed: int) -> None:
    """Guards against a value that no operator has written."""
    choices = random.Random(seed)
    chunks = [b"{}", b"}", b"{a}", b"{b", b"", b"}}", b"text"]

    def value() -> bytes:
        return b"".join(choices.choices(chunks, k=choices.randrange(40)))

    former, present = value() + b"{x}" * 30, value() + b"{x}" * 30 + value()
    found = patch(former, present)
    assert found is None or apply_patch(found, former) == present


@pytest.mark.parametrize(
    "pieces",
    [
        ((0, len(BASE) + 1),),
        ((-1, 5),),
        ((5, -1),),
        (b"other",),
        ((0, len(BASE)),) * (MAX_VALUE_BYTES // len(BASE) + 1),
    ],
)
def test_patch_that_does_not_fit_is_rejected(pieces: Any) -> None:
    """Guards against a damaged declaration, and against one without end."""
    bad = RowPatch(
        key="config",
        base=StorePosition(5),
        revision=StorePosition(7),
        checksum=1,
        pieces=pieces,
    )
    with pytest.raises(PatchError):
        apply_patch(bad, BASE)


def chain(count: int, **options: int) -> tuple[PatchChains, list[bytes]]:
    """Return the patches of ``count`` versions, at positions 10, 20 and so on."""
    chains = PatchChains()
    values = [declaration(number, ROUTES, **options) for number in range(count)]
    former = None
    for number, value in enumerate(values):
        present = (value, StorePosition(10 * (number + 1)))
        chains.record("config", former, present)
        former = present
    return chains, values


@pytest.mark.parametrize(
    ("position", "count"),
    [(10, 3), (15, 3), (20, 2), (39, 2), (40, 0), (9, None), (0, None)],
)
def test_peer_gets_the_patches_that_it_lacks(position: int, count: int | None) -> None:
    chains, values = chain(4)
    if position == 39:
        count = 1
    found = chains.after("config", StorePosition(position))
    if not count:
        assert found is None
        return
    assert found is not None and len(found) == count
    value = values[len(values) - 1 - count]
    for item in found:
        value = apply_patch(item, value)
    assert value == values[-1]


def test_patches_that_are_kept_are_bounded() -> None:
    chains, _ = chain(MAX_CHAIN_PATCHES + 20)
    kept = chains.after("config", StorePosition(10 * 25))
    assert kept is not None and len(kept) <= MAX_CHAIN_PATCHES
    assert chains.after("config", StorePosition(10)) is None
    large = PatchChains()
    former = None
    for number in range(6):
        routes = ROUTES + list(range(10_000 * number, 10_000 * number + 800))
        present = (declaration(number, routes), StorePosition(number + 1))
        large.record("config", former, present)
        former = present
    kept = large.after("config", StorePosition(5))
    assert kept is not None
    assert sum(item.size for item in large._chains["config"]) <= MAX_CHAIN_BYTES


def test_gap_and_small_values_leave_no_patches() -> None:
    chains, values = chain(3)
    chains.record(
        "config", (values[0], StorePosition(99)), (values[1], StorePosition(110))
    )
    assert chains.after("config", StorePosition(30)) is None
    assert chains.after("config", StorePosition(99)) is not None
    small = b"x" * (MIN_PATCHED_BYTES - 1)
    chains.record(
        "config", (values[1], StorePosition(110)), (small, StorePosition(120))
    )
    assert chains.after("config", StorePosition(110)) is None
