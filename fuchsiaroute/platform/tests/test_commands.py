"""The ``check-node`` and ``node`` commands."""

import subprocess
import sys
from pathlib import Path

import pytest

SETTINGS = """NodeName=edge-1
Zone=z1
Ip=127.0.0.1
Listen.Frontend=127.0.0.1:8227
PortRange=7340,7355
Platform.Address=127.0.0.1:8223
"""


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "fuchsiaroute", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@pytest.mark.parametrize(
    ("text", "code", "message"),
    [
        (SETTINGS, 0, "instance edge-1 in z1"),
        (SETTINGS.replace("Zone=z1", ""), 2, "Zone is missing"),
        ("", 2, "NodeName is missing"),
    ],
)
def test_check_of_settings(tmp_path: Path, text: str, code: int, message: str) -> None:
    path = tmp_path / "node.conf"
    path.write_text(text)
    done = run("check-node", str(path))
    assert done.returncode == code
    assert message in done.stdout + done.stderr


def test_node_with_faulty_settings_does_not_start(tmp_path: Path) -> None:
    path = tmp_path / "node.conf"
    path.write_text("Zone=z1\n")
    done = run("node", str(path))
    assert done.returncode != 0
    assert "NodeName is missing" in done.stderr


def test_node_imports_no_unused_library() -> None:
    program = (
        "import sys; from fuchsiaroute._tls_import import block_tls_import;"
        "block_tls_import();"
        "import fuchsiaroute.node;"
        "print(sorted({name.partition('.')[0] for name in sys.modules}))"
    )
    done = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    for name in ("litestar", "httpx", "aiohttp", "grpclib", "cyclopts", "eliot"):
        assert f"'{name}'" not in done.stdout
    assert "'_ssl'" not in done.stdout
