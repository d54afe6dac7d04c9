"""The request as the routing core sees it."""

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
    """Sentinel: the router chooses the model."""

    TOKEN = "auto"


class NoSession(Enum):
    """Sentinel: the request belongs to no session."""

    TOKEN = "no-session"


#: What the caller asked to be served by.
ModelChoice = ModelId | VersionId | ServiceId | Literal[AnyModel.TOKEN]
#: The session of a request, or none.
SessionChoice = SessionId | Literal[NoSession.TOKEN]


@dataclass(frozen=True, kw_only=True)
class Request:
    """An authenticated, well-formed request, without its body."""

    #: Chosen by the caller or by the entry; the same id means the same request.
    id: RequestId
    #: From the caller's key, never from the body.
    organisation: OrganisationId
    product: ProductId
    #: The kind of work; the unit of quality estimates.
    request_class: RequestClass
    #: Model, version or service by name, or ``AnyModel.TOKEN``.
    model: ModelChoice = AnyModel.TOKEN
    session: SessionChoice = NoSession.TOKEN
    #: The signed session pin that the caller returned; empty for none.
    pin: str = ""
    #: Whether the request may run more than once.
    is_idempotent: bool = True
    #: Unix time in milliseconds after which an answer is of no use.
    deadline: Milliseconds
    #: Stable hash of the prompt's prefix, for cache affinity; 0 for none.
    prefix_hash: int = 0
    #: Tokens that the answer is expected to have.
    expected_tokens: int = 256
    #: Whether the caller reads the answer as a stream while it is generated.
    is_streamed: bool = False
