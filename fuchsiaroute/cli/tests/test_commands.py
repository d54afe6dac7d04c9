import json
import subprocess
import sys

import pytest

from examples import timberline
from fuchsiaroute.cli import main
from fuchsiaroute.declaration import encode

SETTINGS = """
[instance]
id = entry-0
failure_domain = lakes-a
[platform]
table_url = http://127.0.0.1:9300
"""


@pytest.fixture
def files(tmp_path):
    declaration = encode(timberline.declare())
    raw = json.loads(declaration)
    raw["organisations"][3]["product"] = "x"
    raw["endpoints"][1]["capacity"] = 0
    changed = json.loads(declaration)
    changed["endpoints"][1]["capacity"] = 7
    unused = json.loads(declaration)
    version = {"id": "lone-1", "cost_per_1000_tokens": 1, "prior_quality": 0.9}
    unused["models"].append({"id": "lone", "versions": [version]})
    unused["endpoints"][0]["versions"].append("lone-1")
    contents = {
        "good.json": declaration,
        "changed.json": json.dumps(changed).encode(),
        "unused.json": json.dumps(unused).encode(),
        "cut.json": declaration[: len(declaration) // 2],
        "broken.json": json.dumps(raw).encode(),
        "good.ini": SETTINGS.encode(),
        "broken.ini": SETTINGS.encode() + b"colour = red\n[callers]\nport = x\n",
        "key": b"short",
    }
    for name, content in contents.items():
        (tmp_path / name).write_bytes(content)
    return tmp_path


def run(files, command, monkeypatch):
    monkeypatch.chdir(files)
    monkeypatch.setattr(sys, "argv", ["fuchsiaroute", *command.split()])
    with pytest.raises(SystemExit) as exit_info:
        main()
    return exit_info.value.code


EXPLAIN = "explain county-03 --declaration good.json"
UNREACHABLE = "--entry http://127.0.0.1:1"


@pytest.mark.parametrize(
    ("command", "code", "out", "err"),
    [
        ("version", 0, "0.", ""),
        ("--help", 0, "Exit codes: 0 done", ""),
        ("check good.ini", 0, "no errors", ""),
        ("check good.json", 0, "no errors", ""),
        ("check good.json --against good.json", 0, "0 differences", ""),
        ("check changed.json --against good.json", 0, "1 differences", ""),
        ("check changed.json --against good.json", 0, "capacity", ""),
        ("check unused.json", 0, "no errors", "models[3]: warning: no organisation"),
        ("check good.json --against broken.json", 2, "", "broken.json: "),
        ("check good.json --against cut.json", 2, "", "cut.json: "),
        ("check cut.json", 2, "", "cut.json: "),
        ("check broken.ini", 2, "", "[platform] colour: unknown key"),
        ("check broken.ini", 2, "", "[callers] port: 'x' is not a port"),
        ("check broken.json", 2, "", "organisations[3].product: error: unknown"),
        ("check broken.json", 2, "", "endpoints[1].capacity: error: 0 is not"),
        ("check broken.json --json", 2, '"place": "organisations[3].product"', ""),
        ("check missing.json", 2, "", "cannot read missing.json"),
        ("check missing.ini", 2, "", "cannot be read"),
        ("serve broken.ini", 2, "", "[callers] port"),
        ("serve missing.ini", 2, "", "cannot be read"),
        (f"{EXPLAIN} --request-class stand-lookup", 0, "sapling-1", ""),
        (f"{EXPLAIN} --model timber", 1, "not-permitted", ""),
        (f"{EXPLAIN} --model timber --json", 1, '"is_permitted": false', ""),
        ("explain county-03 --declaration broken.json", 2, "", "unknown product"),
        ("explain county-03", 2, "", "--declaration or --entry"),
        (f"apply broken.json {UNREACHABLE}", 2, "", "unknown product"),
        (f"apply good.json {UNREACHABLE} --key-file key", 2, "", "expected one word"),
        (f"plan good.json {UNREACHABLE}", 1, "", "unreachable"),
        (f"withdraw timber-4 {UNREACHABLE}", 1, "", "unreachable"),
        (f"apply good.json {UNREACHABLE} --base 0", 1, "", "unreachable"),
        (f"status {UNREACHABLE}", 1, "", "http://127.0.0.1:1"),
        (f"status {UNREACHABLE} --json", 1, "[]", ""),
        ("rollout start grow --model m", 2, "", ""),
        ("nonsense", 2, "", ""),
        ("apply", 2, "", ""),
    ],
)
def test_command_exit_code_and_output(
    files, command, code, out, err, monkeypatch, capsys
):
    assert run(files, command, monkeypatch) == code
    captured = capsys.readouterr()
    assert out in captured.out
    assert err in captured.err
    assert "short" not in captured.err


def test_serving_imports_no_other_command():
    """Other commands and ``rich`` would add to the memory of a serving process."""
    program = (
        "import sys; from fuchsiaroute.cli import _app;"
        "_app.leave_out_unused_imports(); import fuchsiaroute.cli._serve;"
        "print(sorted(name for name in sys.modules))"
    )
    finished = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    modules = finished.stdout
    for name in ("_apply", "_check", "_edits", "_explain", "_status", "_demo"):
        assert f"fuchsiaroute.cli.{name}'" not in modules
    assert "'rich" not in modules


def test_closed_output_pipe_is_no_error(files):
    arguments = [sys.executable, "-m", "fuchsiaroute", "check", "--json"]
    process = subprocess.Popen(
        [*arguments, str(files / "broken.json")],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    process.stdout.close()
    assert process.stderr.read() == b""
    assert process.wait() == 0
