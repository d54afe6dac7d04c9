"""Detection of changes of the settings file."""

import os
from pathlib import Path

#: Modification time, size and inode of a file.
_Signature = tuple[int, int, int]


class SettingsFile:
    """
    Tells whether the settings file has changed since it was last read.

    The platform may replace the file or write it in place. A reader that finds it half
    written reads it again, as the end of the write changes its signature once more.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._known: _Signature | None = None

    def record(self) -> None:
        """Record the present state; must be called before the file is read."""
        self._known = self._signature()

    def has_changed(self) -> bool:
        """Return whether the file differs from the recorded state."""
        found = self._signature()
        return found is not None and found != self._known

    def _signature(self) -> _Signature | None:
        try:
            found = os.stat(self._path)
        except OSError:
            # The file is being replaced; a later check finds the new one.
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino
