"""Division of large messages into parts that fit into datagrams, and back."""

from collections.abc import Hashable
from dataclasses import dataclass, field

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.gossip._messages import FORMAT
from fuchsiaroute.gossip._table_messages import MessagePart

#: Bytes of a message in a datagram: a few packets, so that one lost packet does not
#: cost much, and a narrow link passes other datagrams in between.
PART_BYTES = 8_000
#: Largest number of parts; more than the largest change that the store holds needs.
MAX_PARTS = 128
#: Time after which the parts of an incomplete message are dropped.
MAX_AGE = Milliseconds(3_000)
#: Incomplete messages that are kept. Their parts arrive within some tenths of a second.
MAX_INCOMPLETE = 8


def divide(data: bytes, *, message: int) -> list[MessagePart]:
    """Return the parts of an encoded message; ``message`` is a number of its own."""
    count = -(-len(data) // PART_BYTES)
    return [
        MessagePart(
            format=FORMAT,
            message=message,
            index=index,
            count=count,
            data=data[index * PART_BYTES : (index + 1) * PART_BYTES],
        )
        for index in range(count)
    ]


@dataclass
class _Incomplete:
    count: int
    begun_at: Milliseconds
    parts: dict[int, bytes] = field(default_factory=dict)


class PartAssembler:
    """Puts messages together from their parts, which may arrive in any order."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        #: In the order in which they began.
        self._incomplete: dict[Hashable, _Incomplete] = {}

    def add(self, part: MessagePart, *, sender: Hashable) -> bytes | None:
        """Return the message that ``part`` completes; None if others are missing."""
        if not (0 <= part.index < part.count <= MAX_PARTS):
            return None
        if len(part.data) > PART_BYTES:
            return None
        now = self._clock.now()
        self._drop_old(now)
        key = (sender, part.message)
        found = self._incomplete.get(key)
        if found is None:
            found = self._incomplete[key] = _Incomplete(part.count, now)
            if len(self._incomplete) > MAX_INCOMPLETE:
                del self._incomplete[next(iter(self._incomplete))]
        if part.count != found.count:
            return None
        found.parts[part.index] = part.data
        if len(found.parts) < found.count:
            return None
        del self._incomplete[key]
        return b"".join(found.parts[index] for index in range(found.count))

    def _drop_old(self, now: Milliseconds) -> None:
        while self._incomplete:
            oldest = next(iter(self._incomplete))
            if now - self._incomplete[oldest].begun_at < MAX_AGE:
                return
            del self._incomplete[oldest]
