"""Startup of the node program."""

import signal
import sys

import pytest

import fuchsiaroute.__main__ as program
import fuchsiaroute.node


def test_sighup_during_startup_does_not_end_the_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """SIGHUP arrives before its handler is installed (soak seed 74034915)."""
    found: list[object] = []
    before = signal.getsignal(signal.SIGHUP)
    monkeypatch.setattr(sys, "argv", ["fuchsiaroute", "node", "settings"])
    monkeypatch.setattr("fuchsiaroute._tls_import.block_tls_import", lambda: None)
    monkeypatch.setattr(
        fuchsiaroute.node,
        "run_node",
        lambda path: found.append(signal.getsignal(signal.SIGHUP)),
    )
    try:
        program.main()
    finally:
        signal.signal(signal.SIGHUP, before)
    assert found == [signal.SIG_IGN]
