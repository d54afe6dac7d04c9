from pathlib import Path

import pytest
from returns.result import Failure, Success

import examples
from fuchsiaroute.settings import (
    NoFile,
    StandardError,
    load,
    parse,
    read_secret,
)

MINIMAL = """
[instance]
id = entry-1
failure_domain = lakes-a
[platform]
table_url = http://127.0.0.1:9300/
"""


def fault_positions(text):
    return [(fault.section, fault.key) for fault in parse(text).failure()]


def test_minimal_settings_have_defaults():
    settings = parse(MINIMAL).unwrap()
    assert settings.instance.id == "entry-1"
    assert settings.platform.table_url == "http://127.0.0.1:9300"
    assert settings.callers.advertised_address == "127.0.0.1:8080"
    assert settings.log.path is StandardError.TOKEN
    assert settings.peers.tls_key_file is NoFile.TOKEN
    assert not settings.peers.is_tls


@pytest.mark.parametrize(
    ("line", "section", "attribute", "expected"),
    [
        ("max_body = 2MiB", "callers", "max_body", 2 * 1024 * 1024),
        ("max_head = 512 B", "callers", "max_head", 512),
        ("body_timeout = 250ms", "callers", "body_timeout", 250),
        ("body_timeout = 5s", "callers", "body_timeout", 5_000),
        ("body_timeout = 2min", "callers", "body_timeout", 120_000),
        ("host = ::1", "callers", "host", "::1"),
        ("port = 0", "callers", "port", 0),
        ("key_files =", "operators", "key_files", ()),
    ],
)
def test_values_are_parsed_by_type(line, section, attribute, expected):
    settings = parse(f"{MINIMAL}[{section}]\n{line}\n").unwrap()
    assert getattr(getattr(settings, section), attribute) == expected


@pytest.mark.parametrize(
    ("section", "line", "phrase"),
    [
        ("callers", "max_body = 1MB", "unit"),
        ("callers", "max_body = 10", "unit"),
        ("callers", "body_timeout = 5 seconds", "unit"),
        ("callers", "body_timeout = 0s", "above zero"),
        ("callers", "body_timeout = -1s", "unit"),
        ("callers", "host = localhost", "IP address"),
        ("callers", "port = 65536", "port"),
        ("callers", "port = x", "port"),
        ("callers", "max_connections = 0", "above zero"),
        ("callers", "max_connections = 1.5", "above zero"),
        ("callers", "colour = red", "unknown key"),
        ("callers", "host = 0.0.0.0", "others can connect"),
        ("callers", "default_deadline = 1h", "max_deadline"),
        ("operators", "port = 8080", "another section"),
        ("operators", "key_files = /nonexistent/key", "cannot read"),
        ("peers", "tls_key_file = /nonexistent/key", "cannot read"),
        ("log", "path = /nonexistent/dir/file", "directory"),
        ("colours", "red = 1", "unknown section"),
    ],
)
def test_fault_reports_its_section_and_cause(section, line, phrase):
    faults = parse(f"{MINIMAL}[{section}]\n{line}\n").failure()
    assert any(phrase in fault.message for fault in faults)
    assert section in {fault.section for fault in faults}


@pytest.mark.parametrize(
    ("url", "phrase"),
    [
        ("ftp://127.0.0.1", "http"),
        ("http://table.example", "IP address"),
        ("http://127.0.0.1:99999", "range"),
        ("http://127.0.0.1/?q=1", "query"),
        ("http://user@127.0.0.1", "user name"),
        ("", "http"),
    ],
)
def test_platform_url_needs_an_ip_address_as_host(url, phrase):
    text = MINIMAL.replace("http://127.0.0.1:9300/", url)
    (fault,) = parse(text).failure()
    assert (fault.section, fault.key) == ("platform", "table_url")
    assert phrase in fault.message


def test_every_fault_is_reported():
    text = """
    stray
[instance]
id = entry 1
id = entry-2
[instance]
id = entry-3
[callers]
port = x
nonsense
max_body = 1
[tables]
"""
    assert fault_positions(text) == [
        ("", ""),
        ("instance", "id"),
        ("instance", ""),
        ("", ""),
        ("tables", ""),
        ("instance", "id"),
        ("instance", "failure_domain"),
        ("callers", "port"),
        ("callers", "max_body"),
        ("platform", "table_url"),
    ]


def test_tls_needs_all_three_files(tmp_path):
    certificate = tmp_path / "certificate.pem"
    certificate.write_text("x")
    text = f"{MINIMAL}[peers]\ntls_certificate_file = {certificate}\n"
    assert fault_positions(text) == [
        ("peers", "tls_key_file"),
        ("peers", "tls_authority_file"),
    ]


@pytest.mark.parametrize("content", [None, b"\xff\xfe"])
def test_unreadable_file_is_one_fault(tmp_path, content):
    path = tmp_path / "settings.ini"
    if content is not None:
        path.write_bytes(content)
    (fault,) = load(path).failure()
    assert str(fault).startswith("file: ")


@pytest.mark.parametrize(
    ("content", "expected"),
    [
        ("0123456789abcdef\n", Success("0123456789abcdef")),
        ("short", None),
        ("two words of enough length", None),
        ("", None),
    ],
)
def test_secret_must_be_one_word_of_the_minimum_length(tmp_path, content, expected):
    path = Path(tmp_path / "key")
    path.write_text(content)
    result = read_secret(path)
    if expected is None:
        assert isinstance(result, Failure)
        assert content.strip() == "" or content not in str(result.failure())
    else:
        assert result == expected


@pytest.mark.parametrize("name", ["timberline", "hanbit"])
def test_example_settings_are_valid(name):
    path = Path(examples.__file__).with_name(f"{name}.ini")
    assert isinstance(load(path), Success)
