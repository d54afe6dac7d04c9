"""The steps of a request, each behind a protocol class."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from fuchsiaroute.entry._call import Bill, Call, NoVersion
from fuchsiaroute.idempotency import Answer as KeptAnswer, Outcome
from fuchsiaroute.ids import EndpointId, VersionId
from fuchsiaroute.request import Decision, Request
from fuchsiaroute.verdict import Refusal


@dataclass(frozen=True, kw_only=True)
class RoutingResult:
    """The outcome of the routing step."""

    decision: Decision
    #: Session pin for the caller; empty for none.
    pin: str = ""


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """An answer whose head has arrived from an endpoint."""

    endpoint: EndpointId
    status: int
    content_type: str
    #: Raises ``BrokenAnswerError`` for an answer that is cut.
    chunks: AsyncIterator[bytes]


class AdmitStep(Protocol):
    """Limits on the work that an entry takes."""

    async def admit(self, request: Request) -> Result[None, Refusal]:
        """Admit ``request`` or refuse it; an admitted one must be released."""

    def release(self, request: Request) -> None:
        """Give back what ``request`` held."""


class ClaimStep(Protocol):
    """At most one run of a non-idempotent request."""

    async def claim(self, request: Request) -> Result[KeptAnswer | None, Refusal]:
        """
        Claim ``request`` before its dispatch.

        Success holds the recorded answer of a repeated id, or None to dispatch it.
        """

    def check_dispatch(self, request: Request) -> Result[None, Refusal]:
        """Check right before a dispatch that the claim still allows it."""

    async def record(self, request: Request, outcome: Outcome) -> None:
        """Record how the claimed ``request`` ended."""

    async def confirm_refusal(self, request: Request, refusal: Refusal) -> Refusal:
        """Return ``refusal`` with a verdict that is true of the whole request."""


class RouteStep(Protocol):
    """Permission, session, roll-out and cascade."""

    async def decide(self, call: Call) -> Result[RoutingResult, Refusal]:
        """Choose the versions to try; none for a plain service."""

    def check_dispatch(
        self, request: Request, version: VersionId
    ) -> Result[None, Refusal]:
        """Check permission again, against the revision in force now."""

    def should_escalate(
        self, request: Request, version: VersionId, answer: bytes
    ) -> bool:
        """Return whether ``answer`` is too weak to be the request's answer."""

    def cost(self, version: VersionId, answer_bytes: int) -> int:
        """Return the cost in micro-units of an answer of that many bytes."""


class AttemptStep(Protocol):
    """Endpoint choice, dispatch and retries."""

    async def attempt(
        self, call: Call, version: VersionId | NoVersion
    ) -> Result[Attempt, Refusal]:
        """Return an open answer of ``version``, or of the call's plain service."""


class BillStep(Protocol):
    """The ledger."""

    def check_capacity(self) -> Result[None, Refusal]:
        """Refuse new requests that could not be billed."""

    async def bill(self, bill: Bill) -> None:
        """Record the cost of one answered request, once."""


@dataclass(frozen=True, kw_only=True)
class Steps:
    """The steps in the order in which a request passes them."""

    admit: AdmitStep
    claim: ClaimStep
    route: RouteStep
    attempt: AttemptStep
    bill: BillStep
