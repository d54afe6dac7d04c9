"""
Datagrams between instances: msgpack arrays, compressed by zlib.

Fields are encoded by position; a change of their order or meaning needs a new
``FORMAT``.
"""

import zlib
from enum import Enum

import msgspec

from fuchsiaroute.decoding import MalformedDataError, Port, decode
from fuchsiaroute.gossip._table_messages import (
    MessagePart,
    TablePatch,
    TableRequest,
    TableUpdate,
)

#: Version of the encoding. Messages of another version are rejected.
FORMAT = 2
#: Additions to the format: fields at the end of a message, which former builds skip.
ROLLOUT_ATTEMPTS = 1
#: ``FleetReport`` and ``FleetSum``, which former builds cannot read.
AGGREGATION = 2
#: ``TablePatch`` and ``MessagePart``, which former builds cannot read.
PATCHES = 3
LATEST_ADDITION = PATCHES
#: Level 1 halved a message of 1,585 bytes; level 6 saved another 3% only.
_COMPRESSION_LEVEL = 1
#: Limit of decompression; a longer message is cut off and fails to decode. The store
#: holds no larger changes.
_MAX_DECOMPRESSED_BYTES = 2_000_000


class GossipDecodeError(Exception):
    """A datagram that is no message of this format."""


class Heartbeat(msgspec.Struct, array_like=True, frozen=True):
    """The latest heartbeat of an instance, also when another instance forwards it."""

    instance: str
    #: Heartbeat counter. After a restart it continues above the former process's.
    count: int
    #: Whether callers may be sent there.
    is_ready: bool
    #: Latest addition to the format that the instance knows; 0 if a former build has
    #: forwarded the heartbeat.
    addition: int = 0
    #: What the instance's link carries, in Mbit/s; 0 if unknown.
    link: int = 0


class RolloutUpdate(msgspec.Struct, array_like=True, frozen=True):
    """
    The state of a roll-out.

    Of two updates for one order, the one with the higher ``progress`` is newer.
    """

    service: str
    target: str
    #: Revision of the roll-out order.
    order: int
    #: Value of a ``fuchsiaroute.staging.Progress``.
    progress: int
    #: Start of the roll-out, in milliseconds on the store's clock.
    started: int
    #: Number of earlier roll-outs of the target.
    attempt: int = 0


class VersionOutcome(msgspec.Struct, array_like=True, frozen=True):
    """What the latest roll-out of a version came to."""

    service: str
    version: str
    #: Revision of the roll-out order.
    order: int
    #: Value of a ``fuchsiaroute.staging.Progress``.
    progress: int
    #: Era of the store in which the outcome is stored; negative for none.
    stored_era: int
    #: Number of roll-outs of the version before this one.
    attempt: int = 0


class RolloutEvidence(msgspec.Struct, array_like=True, frozen=True):
    """Answers that the sender counted during a roll-out, for one request class."""

    service: str
    #: Revision of the roll-out order.
    order: int
    request_class: str
    target_ratings: int
    target_bad: int
    base_ratings: int
    base_bad: int


class SessionUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The version that has recently served a session."""

    #: Hash of the session's key.
    session: int
    version: str
    #: Time since the request, in milliseconds.
    age: int


class LatencyUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Times to first byte that the sender has learned, in nanoseconds per token."""

    route: str
    model: str
    mean: int
    deviation: int
    peak: int


class PromptCrash(msgspec.Struct, array_like=True, frozen=True):
    """A crash of an endpoint under a request without a whole answer."""

    #: Random number of the crash, equal for the request and the parts of its prompt.
    id: int
    #: Hash of the part's id, or the negative one of the request.
    part: int
    endpoint: str
    #: Time since the crash, in milliseconds.
    age: int
    #: Whether an endpoint was known to have crashed under the request when it was sent.
    follows_crash: bool = False


class PromptPartUpdate(msgspec.Struct, array_like=True, frozen=True):
    """When a prompt part or a request was quarantined or last answered."""

    #: Hash of the part's id, or the negative one of the request.
    part: int
    #: Time since then, in milliseconds.
    age: int
    #: Hashes of the other parts without which requests with a quarantined one are
    #: served.
    companions: list[int] = []


class RateUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What an endpoint process said in an answer of the requests that it takes."""

    endpoint: str
    #: Start of the process, as announced.
    started_at: int
    #: Requests a second from all instances; None if it no longer names a rate.
    rate: float | None
    #: Time since the answer, in milliseconds.
    age: int


class PermitRequest(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag="permits-wanted"
):
    """Asks the issuer of an endpoint's permits for some, as the sender has work."""

    format: int
    instance: str
    #: The endpoint, and the rate that the sender knows of.
    rate: RateUpdate
    count: int


class PermitReply(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag="permits"
):
    """A permit for one request, or when the next one is due."""

    format: int
    endpoint: str
    started_at: int
    #: Permits, 0 or more.
    count: int
    #: Time until the receiver's next permit, in milliseconds; None if it asks for none.
    wait: int | None
    #: Instances that get permits in turns.
    sharers: int


class BrittleUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What an endpoint process said in an answer of the rejections it tolerates."""

    endpoint: str
    service: str
    #: Start of the process, as announced.
    started_at: int
    #: Rejections a second; None if it is not brittle.
    tolerance: float | None
    #: Time since the answer, in milliseconds.
    age: int


class PlaceReport(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag="places-held"
):
    """What an instance holds of an endpoint's places; see ``places.Holding``."""

    format: int
    instance: str
    endpoint: str
    started_at: int
    sequence: int
    used: int
    held: int
    is_wanted: bool
    rejected: int
    term: int
    number: int


class PlaceReply(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag="places"
):
    """How many requests the receiver may have in flight; see ``places.Allowance``."""

    format: int
    #: The instance that grants the endpoint's places.
    issuer: str
    endpoint: str
    started_at: int
    term: int
    number: int
    allowed: int
    is_contended: bool


class FlowUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The sender's requests of an organisation with a priority to a service."""

    service: str
    priority: int
    organisation: str
    #: Requests at endpoints.
    running: int
    #: Requests that wait for an endpoint.
    waiting: int


class SumScope(Enum):
    """Over which instances a sum is taken."""

    #: Those of the sender's failure domain.
    DOMAIN = 0
    FLEET = 1


class FleetReport(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag="fleet-report"
):
    """What the sender has, for the collector of its failure domain."""

    format: int
    instance: str
    flows: list[FlowUpdate]
    #: Tenths of recent failures and answers, at endpoints where requests failed.
    outcomes: dict[str, tuple[int, int]]


class FleetSum(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag="fleet-sum"
):
    """What several instances have together, from a collector."""

    format: int
    instance: str
    failure_domain: str
    scope: SumScope
    flows: list[FlowUpdate]
    #: Tenths of recent failures and answers, at endpoints where requests failed.
    outcomes: dict[str, tuple[int, int]]


class GossipMessage(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag="news"
):
    """The state that an instance sends to others in each round."""

    format: int
    instance: str
    #: Heartbeat counter of the sender.
    count: int
    is_ready: bool
    #: ``host:port`` of the sender for callers.
    frontend: str
    failure_domain: str
    #: Port of the sender for gossip.
    port: Port
    #: The sender's requests in flight at each endpoint, and their expected work in
    #: milliseconds.
    loads: dict[str, tuple[int, int]]
    heartbeats: list[Heartbeat]
    #: Revision of the newest change that the sender has read or received, by table.
    revisions: dict[str, int]
    rollouts: list[RolloutUpdate]
    evidence: list[RolloutEvidence]
    #: Service and order revision of each roll-out whose target version the sender has
    #: stopped using.
    suspended: list[tuple[str, int]]
    sessions: list[SessionUpdate]
    #: Age in milliseconds of the store's latest answer at any instance that watches
    #: the table, by table.
    answer_ages: dict[str, int]
    #: Id and start of each endpoint process that has said in an answer that it leaves.
    leaving: list[tuple[str, int]] = []
    #: What the sender has learned of latencies; only in some messages.
    latencies: list[LatencyUpdate] = []
    prompt_crashes: list[PromptCrash] = []
    quarantined_parts: list[PromptPartUpdate] = []
    #: Latest answers to parts that are or were suspected.
    answered_parts: list[PromptPartUpdate] = []
    #: Rates that endpoints name, and recent ends of them.
    rates: list[RateUpdate] = []
    region: str = ""
    #: Port on which the sender carries connections of its peers; 0 if it carries none.
    tunnel_port: Port = 0
    #: Whether the sender reaches some endpoints through peers only.
    is_cut: bool = False
    #: Endpoints that are brittle, and recent ends of it.
    brittle: list[BrittleUpdate] = []
    outcomes: list[VersionOutcome] = []
    #: Latest addition to the format that the sender knows.
    addition: int = 0
    #: Empty while nothing waits at any instance that the sender knows of.
    flows: list[FlowUpdate] = []
    #: What the sender's link carries, in Mbit/s; 0 if unknown.
    link: int = 0
    #: Id and start of each endpoint process that the sender has found to have ended,
    #: and the milliseconds for which the one that follows may still be cold.
    restarted: list[tuple[str, int, int]] = []


AnyMessage = (
    GossipMessage
    | TableUpdate
    | TablePatch
    | MessagePart
    | TableRequest
    | PermitRequest
    | PermitReply
    | PlaceReport
    | PlaceReply
    | FleetReport
    | FleetSum
)
_DECODER = msgspec.msgpack.Decoder(AnyMessage)
_ENCODER = msgspec.msgpack.Encoder()


def encode_message(message: AnyMessage) -> bytes:
    """Return the datagram for ``message``."""
    return zlib.compress(_ENCODER.encode(message), _COMPRESSION_LEVEL)


def decode_message(data: bytes) -> AnyMessage:
    """Decode a datagram; raises ``GossipDecodeError``."""
    try:
        message = decode(
            _DECODER, zlib.decompressobj().decompress(data, _MAX_DECOMPRESSED_BYTES)
        )
    except (zlib.error, MalformedDataError) as error:
        raise GossipDecodeError(str(error)) from error
    if message.format != FORMAT:
        raise GossipDecodeError(f"unsupported message format {message.format}")
    return message
