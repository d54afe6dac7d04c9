"""Faults found in a settings file."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class SettingsFault:
    """A fault in a settings file, with the section and the key that it concerns."""

    #: Section that holds the fault; empty if it concerns the whole file.
    section: str = ""
    #: Key that holds the fault; empty if it concerns the whole section.
    key: str = ""
    #: What is wrong and what is expected.
    message: str

    def __str__(self) -> str:
        place = f"[{self.section}] {self.key}".strip() if self.section else "file"
        return f"{place}: {self.message}"
