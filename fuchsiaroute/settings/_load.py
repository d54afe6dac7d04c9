"""Parses an INI file into ``Settings`` and collects every fault."""

import dataclasses
from pathlib import Path
from typing import Any, get_type_hints

from returns.result import Failure, Result, Success

from fuchsiaroute.settings._faults import SettingsFault
from fuchsiaroute.settings._ini import read_sections
from fuchsiaroute.settings._model import (
    CallerSettings,
    InstanceSettings,
    LogSettings,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    SessionSettings,
    Settings,
)
from fuchsiaroute.settings._rules import check_rules
from fuchsiaroute.settings._values import OPTIONAL_TYPES, PARSERS

SECTIONS: dict[str, type[Any]] = {
    "instance": InstanceSettings,
    "callers": CallerSettings,
    "operators": OperatorSettings,
    "peers": PeerSettings,
    "platform": PlatformSettings,
    "session": SessionSettings,
    "log": LogSettings,
}


def load(path: Path) -> Result[Settings, tuple[SettingsFault, ...]]:
    """Return the settings in the INI file at ``path``, or every fault in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        return Failure((SettingsFault(message=f"cannot be read: {error.strerror}"),))
    except UnicodeDecodeError:
        return Failure((SettingsFault(message="is not UTF-8 text"),))
    return parse(text)


def parse(text: str) -> Result[Settings, tuple[SettingsFault, ...]]:
    """Return the settings in the INI ``text``, or every fault in it."""
    ini = read_sections(text)
    faults = list(ini.faults)
    faults.extend(_unknown_sections(ini.sections))
    values: dict[str, dict[str, object]] = {}
    for name, section_type in SECTIONS.items():
        raw_values = ini.sections.get(name, {})
        values[name] = _parse_section(name, section_type, raw_values, faults)
    if faults:
        return Failure(tuple(faults))
    parts: dict[str, Any] = {
        name: section_type(**values[name]) for name, section_type in SECTIONS.items()
    }
    settings = Settings(**parts)
    rule_faults = check_rules(settings)
    return Failure(rule_faults) if rule_faults else Success(settings)


def _unknown_sections(sections: dict[str, dict[str, str]]) -> list[SettingsFault]:
    known = ", ".join(SECTIONS)
    return [
        SettingsFault(section=name, message=f"unknown section; expected one of {known}")
        for name in sections
        if name not in SECTIONS
    ]


def _parse_section(
    name: str,
    section_type: type[Any],
    raw_values: dict[str, str],
    faults: list[SettingsFault],
) -> dict[str, object]:
    hints = get_type_hints(section_type)
    values: dict[str, object] = {}
    for key, text in raw_values.items():
        if key not in hints:
            known = ", ".join(hints)
            message = f"unknown key; expected one of {known}"
            faults.append(SettingsFault(section=name, key=key, message=message))
        elif text or hints[key] not in OPTIONAL_TYPES:
            _parse_value(name, key, hints[key], text, values, faults)
    faults.extend(_missing_keys(name, section_type, raw_values))
    return values


def _parse_value(
    section: str,
    key: str,
    hint: object,
    text: str,
    values: dict[str, object],
    faults: list[SettingsFault],
) -> None:
    try:
        values[key] = PARSERS[hint](text)
    except ValueError as error:
        faults.append(SettingsFault(section=section, key=key, message=str(error)))


def _missing_keys(
    name: str, section_type: type[Any], raw_values: dict[str, str]
) -> list[SettingsFault]:
    return [
        SettingsFault(section=name, key=field.name, message="missing")
        for field in dataclasses.fields(section_type)
        if field.default is dataclasses.MISSING and field.name not in raw_values
    ]
