"""Parses INI text into sections and collects every syntax error."""

import configparser
from dataclasses import dataclass

from fuchsiaroute.settings._faults import SettingsFault


@dataclass(frozen=True, kw_only=True)
class IniText:
    """The sections of an INI text and its syntax errors."""

    sections: dict[str, dict[str, str]]
    faults: tuple[SettingsFault, ...]


def read_sections(text: str) -> IniText:
    """
    Return the sections in ``text`` and every syntax error.

    ``configparser`` stops at the first error. Each faulty line, or the whole of a
    repeated section, is therefore blanked and the text is parsed again, so that one
    error does not hide the next.
    """
    lines = text.splitlines()
    faults: list[SettingsFault] = []
    while True:
        parser = configparser.RawConfigParser(
            default_section="", delimiters=("=",), comment_prefixes=("#", ";")
        )
        try:
            parser.read_string("\n".join(lines))
        except configparser.DuplicateSectionError as error:
            faults.append(_repeated_section(error))
            _remove_section(lines, _line_index(error.lineno))
        except configparser.DuplicateOptionError as error:
            faults.append(_repeated_key(error))
            lines[_line_index(error.lineno)] = ""
        except configparser.MissingSectionHeaderError as error:
            faults.append(
                SettingsFault(message=f"line {error.lineno} is before any section")
            )
            lines[error.lineno - 1] = ""
        except configparser.ParsingError as error:
            for number, _ in error.errors:
                faults.append(
                    SettingsFault(message=f"line {number} is not 'key = value'")
                )
                lines[number - 1] = ""
        else:
            sections = {name: dict(parser.items(name)) for name in parser.sections()}
            return IniText(sections=sections, faults=tuple(faults))


def _line_index(number: int | None) -> int:
    return (number or 1) - 1


def _remove_section(lines: list[str], start: int) -> None:
    lines[start] = ""
    for index in range(start + 1, len(lines)):
        if lines[index].startswith("["):
            return
        lines[index] = ""


def _repeated_section(error: configparser.DuplicateSectionError) -> SettingsFault:
    return SettingsFault(
        section=error.section, message=f"repeated at line {error.lineno}"
    )


def _repeated_key(error: configparser.DuplicateOptionError) -> SettingsFault:
    return SettingsFault(
        section=error.section,
        key=error.option,
        message=f"repeated at line {error.lineno}",
    )
