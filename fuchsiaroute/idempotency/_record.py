"""Claim records and outcomes as stored in the table service."""

from typing import NewType
from urllib.parse import quote

import msgspec

from fuchsiaroute.decoding import DECODER_ERRORS
from fuchsiaroute.ids import Incarnation, InstanceId, OrganisationId, RequestId
from fuchsiaroute.request import Request
from fuchsiaroute.verdict import Verdict

KEY_PREFIX = "claim/"
#: Largest answer body that is stored with an outcome.
MAX_STORED_ANSWER_BYTES = 1_024

#: Random value that distinguishes one attempt to claim from another.
ClaimToken = NewType("ClaimToken", str)


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer, stored so that a repeat of its request id receives it."""

    status: int
    media_type: str
    body: bytes


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """How a claimed request ended."""

    verdict: Verdict
    #: Why the request was refused; empty if it was answered.
    message: str = ""
    #: The complete answer; None if there is none or it is too large to store.
    answer: Answer | None = None

    def without_large_answer(self) -> "Outcome":
        """Return this outcome, without its answer if that is too large to store."""
        if self.answer is None or len(self.answer.body) <= MAX_STORED_ANSWER_BYTES:
            return self
        return Outcome(verdict=self.verdict, message=self.message)


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The stored record of a claimed request; only its holder changes it."""

    token: ClaimToken
    instance: InstanceId
    incarnation: Incarnation
    #: None until the holder has recorded how the request ended.
    outcome: Outcome | None = None


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ClaimRecord)


def claim_key(request: Request) -> str:
    """Return the key of the claim record of ``request``."""
    return key_of(request.organisation, request.id)


def key_of(organisation: OrganisationId, request: RequestId) -> str:
    """Return the key of the claim record of ``request`` from ``organisation``."""
    return f"{KEY_PREFIX}{quote(organisation, safe='')}/{request}"


def encode_claim(record: ClaimRecord) -> bytes:
    """Return ``record`` as stored in the table service."""
    return _ENCODER.encode(record)


def decode_claim(encoded: bytes) -> ClaimRecord | None:
    """Return the record in ``encoded``, or None if it cannot be decoded."""
    try:
        return _DECODER.decode(encoded)
    except DECODER_ERRORS:
        return None
