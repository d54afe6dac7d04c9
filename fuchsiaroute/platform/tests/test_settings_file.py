"""A settings file that changes while an instance runs."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from fuchsiaroute.node._settings_file import SettingsFile
from fuchsiaroute.platform.tests.node_harness import CONFIGURATION, NodeHarness
from fuchsiaroute.platform.tests.standin import Endpoint, Store, StoreView


def write(path: Path, text: str) -> None:
    path.write_text(text)


def replace(path: Path, text: str) -> None:
    other = path.with_suffix(".new")
    other.write_text(text)
    other.rename(path)


def write_in_parts(path: Path, text: str) -> None:
    path.write_text(text[:20])
    path.write_text(text)


@pytest.mark.parametrize("change", [write, replace, write_in_parts])
async def test_store_that_moves_without_a_signal_is_followed(
    change: Callable[[Path, str], None], tmp_path: Path
) -> None:
    """Guards against a configuration that an instance never learns of (review/3)."""
    store = Store()
    former, latter = StoreView(store), StoreView(store)
    async with NodeHarness(Endpoint(), store=former) as harness:
        path = tmp_path / "node.conf"
        path.write_text(harness.settings_text)
        node = harness.node
        node._settings_path = str(path)
        node._settings_file = SettingsFile(path)
        node._settings_file.record()
        await latter.listen()
        moved = f"Platform.Address=127.0.0.1:{latter.port}\n"
        change(path, harness.settings_text + moved)
        # The former address holds the watches for ever.
        former.is_silent = True
        await harness.until(lambda: node._settings.store.port == latter.port)
        store.put("op", "config", {**CONFIGURATION, "Version": 9})
        async with asyncio.timeout(2):
            await harness.until(lambda: node._parts.catalog.deployment.version == 9)
        latter.close()


async def test_file_that_stays_the_same_is_not_read_again(tmp_path: Path) -> None:
    path = tmp_path / "node.conf"
    path.write_text("a=1\n")
    file = SettingsFile(path)
    file.record()
    assert not file.has_changed()
    path.unlink()
    assert not file.has_changed()
    path.write_text("a=2\n")
    assert file.has_changed()
    file.record()
    assert not file.has_changed()
