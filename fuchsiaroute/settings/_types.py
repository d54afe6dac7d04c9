"""Types of single settings; each has its own parser in ``_values``."""

from enum import Enum
from pathlib import Path
from typing import Literal, NewType

#: A number of bytes.
ByteCount = NewType("ByteCount", int)
#: An IPv4 or IPv6 address in its textual form; never a host name.
IpAddress = NewType("IpAddress", str)
#: A TCP port; 0 lets the operating system choose one.
Port = NewType("Port", int)
#: An ``http`` or ``https`` base URL by IP number; empty if not set.
Url = NewType("Url", str)


class NoFile(Enum):
    """Sentinel: a file that is not set."""

    TOKEN = ""


class StandardError(Enum):
    """Sentinel: the log goes to the standard error stream."""

    TOKEN = "stderr"


#: A file, or none.
OptionalPath = Path | Literal[NoFile.TOKEN]
#: Where log lines go.
LogTarget = Path | Literal[StandardError.TOKEN]
