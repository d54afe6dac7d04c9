"""Protocols of the steps that a request passes through."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from fuchsiaroute.entry._call import Bill, Call, NoVersion
from fuchsiaroute.idempotency import Answer as StoredAnswer, Outcome
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
    """An answer of an endpoint whose status and headers have arrived."""

    endpoint: EndpointId
    status: int
    content_type: str
    #: Raises ``BrokenAnswerError`` if the answer is incomplete.
    chunks: AsyncIterator[bytes]


class AdmitStep(Protocol):
    """Admission of requests within the limits of an entry."""

    async def admit(self, request: Request) -> Result[None, Refusal]:
        """Admit ``request`` or refuse it; an admitted request must be released."""

    def release(self, request: Request) -> None:
        """Release the admission of ``request``."""


class ClaimStep(Protocol):
    """Claims, by which a non-idempotent request runs at most once."""

    async def claim(self, request: Request) -> Result[StoredAnswer | None, Refusal]:
        """
        Claim ``request`` before its dispatch.

        Success contains the stored answer if the request id has been answered
        before, or None if the request has to be dispatched.
        """

    def check_dispatch(self, request: Request) -> Result[None, Refusal]:
        """Check right before a dispatch that the claim allows it."""

    async def record(self, request: Request, outcome: Outcome) -> None:
        """Record the outcome of the claimed ``request`` and end its claim."""

    async def confirm_refusal(self, request: Request, refusal: Refusal) -> Refusal:
        """
        Return ``refusal`` with a verdict that holds for the request id in all entries.

        The id of a request that is refused as not run is closed first, so that no
        entry dispatches it later.
        """


class RouteStep(Protocol):
    """Choice of versions by permission, session, roll-out and cascade."""

    async def decide(self, call: Call) -> Result[RoutingResult, Refusal]:
        """Choose the versions to try, in order; none for a plain service."""

    def check_dispatch(
        self, request: Request, version: VersionId
    ) -> Result[None, Refusal]:
        """Check permission again, against the revision in force now."""

    def should_escalate(
        self, request: Request, version: VersionId, answer: bytes
    ) -> bool:
        """Return whether ``answer`` is too weak, so that the next version is tried."""

    def cost(self, version: VersionId, answer_bytes: int) -> int:
        """Return the cost in micro-units of an answer of ``answer_bytes`` bytes."""


class AttemptStep(Protocol):
    """Endpoint choice, dispatch and retries."""

    async def attempt(
        self, call: Call, version: VersionId | NoVersion
    ) -> Result[Attempt, Refusal]:
        """Return an open answer from ``version``, or from the call's service."""


class BillStep(Protocol):
    """Billing of answered requests."""

    def check_capacity(self) -> Result[None, Refusal]:
        """Refuse new requests that could not be billed."""

    async def bill(self, bill: Bill) -> None:
        """Record the cost of one answered request, once."""


@dataclass(frozen=True, kw_only=True)
class Steps:
    """The implementation of each step that a pipeline uses."""

    admit: AdmitStep
    claim: ClaimStep
    route: RouteStep
    attempt: AttemptStep
    bill: BillStep
