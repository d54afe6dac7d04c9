"""What an instance does before it serves."""

import signal
import sys

import pytest

import fuchsiaroute.__main__ as program
import fuchsiaroute.node


def test_signal_to_reload_does_not_end_a_process_that_starts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Seed 74034915 of the soak: SIGHUP came before its handler."""
    found: list[object] = []
    before = signal.getsignal(signal.SIGHUP)
    monkeypatch.setattr(sys, "argv", ["fuchsiaroute", "node", "settings"])
    monkeypatch.setattr("fuchsiaroute._lean.leave_out_tls", lambda: None)
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
