"""The authenticated request, the input of routing."""

from dataclasses import dataclass
from enum import Enum
from typing import Literal

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import (
    ModelId,
    OrganisationId,
    ProductId,
    RequestClass,
    RequestId,
    ServiceId,
    SessionId,
    VersionId,
)


class AnyModel(Enum):
    """Sentinel: the caller leaves the choice of the model to the router."""

    TOKEN = "auto"


class NoSession(Enum):
    """Sentinel: the request belongs to no session."""

    TOKEN = "no-session"


#: Model, version or plain service that the caller asked for.
ModelChoice = ModelId | VersionId | ServiceId | Literal[AnyModel.TOKEN]
#: The session of a request, or none.
SessionChoice = SessionId | Literal[NoSession.TOKEN]


@dataclass(frozen=True, kw_only=True)
class Request:
    """An authenticated, valid request, without its body."""

    #: Set by the caller or by the entry; requests with the same id are repeats.
    id: RequestId
    #: Determined by the caller's API key, never by the body.
    organisation: OrganisationId
    product: ProductId
    #: Kind of task; quality is estimated per version and request class.
    request_class: RequestClass
    #: Model, version or service by name, or ``AnyModel.TOKEN``.
    model: ModelChoice = AnyModel.TOKEN
    session: SessionChoice = NoSession.TOKEN
    #: The signed session pin that the caller returned; empty for none.
    pin: str = ""
    #: Whether the request may run more than once.
    is_idempotent: bool = True
    #: Unix time in milliseconds after which the caller has no use for an answer.
    deadline: Milliseconds
    #: Stable hash of the prompt's prefix, for cache affinity; 0 for none.
    prefix_hash: int = 0
    #: Expected length of the answer.
    expected_tokens: int = 256
    #: Whether the answer is streamed to the caller while it is generated.
    is_streamed: bool = False
