"""Types of settings values; ``_values`` has a parser for each."""

from enum import Enum
from pathlib import Path
from typing import Literal, NewType

#: A number of bytes.
ByteCount = NewType("ByteCount", int)
#: An IPv4 or IPv6 address in its textual form; never a host name.
IpAddress = NewType("IpAddress", str)
#: A TCP port; 0 lets the operating system choose one.
Port = NewType("Port", int)
#: An ``http`` or ``https`` base URL with an IP address as host; empty if not set.
Url = NewType("Url", str)


class NoFile(Enum):
    """Sentinel for a file that is not set."""

    TOKEN = ""


class StandardError(Enum):
    """Sentinel for a log that goes to the standard error stream."""

    TOKEN = "stderr"


OptionalPath = Path | Literal[NoFile.TOKEN]
#: Destination of log lines.
LogTarget = Path | Literal[StandardError.TOKEN]
