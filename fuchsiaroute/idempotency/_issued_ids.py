"""Request ids issued by one incarnation of an entry, which alone may dispatch them."""

import secrets
from enum import Enum

from itsdangerous import BadSignature, Signer

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import Incarnation, InstanceId, OrganisationId, RequestId

#: Ids that begin so are never claimed in the store; callers may not choose them.
ISSUED_PREFIX = "entry-issued."
#: Time in which an issued id may be used.
ISSUED_LIFETIME = Milliseconds(120_000)
SECRET_BYTES = 32
#: Between an id and its signature.
SEPARATOR = ":"


class IssuedIdState(Enum):
    """What an entry knows of a request id by its form alone."""

    #: A caller chose it; the claim lives in the store.
    CALLER_CHOSEN = "caller-chosen"
    #: This incarnation issued it to this organisation, lately.
    OWN = "own"
    #: This incarnation issued it, too long ago to remember its use.
    EXPIRED = "expired"
    #: Another incarnation issued it, or nobody.
    FOREIGN = "foreign"


class IdIssuer:
    """
    Issues and recognises the ids of this incarnation.

    The key is drawn afresh by each process and never leaves it, so no other
    incarnation can take an id for its own.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        instance: InstanceId,
        incarnation: Incarnation,
        secret: bytes | None = None,
    ) -> None:
        self._clock = clock
        self._stem = f"{ISSUED_PREFIX}{instance}.{incarnation}"
        self._signer = Signer(
            secret or secrets.token_bytes(SECRET_BYTES), sep=SEPARATOR
        )
        self._count = 0

    def issue(self, organisation: OrganisationId) -> RequestId:
        """Return a fresh id for a request of ``organisation``."""
        self._count += 1
        stem = f"{self._stem}.{self._clock.now()}.{self._count}"
        signature = self._signature(organisation, stem)
        return RequestId(f"{stem}{SEPARATOR}{signature}")

    def classify(
        self, organisation: OrganisationId, request: RequestId
    ) -> IssuedIdState:
        """Return what the form of ``request`` says about it."""
        if not request.startswith(ISSUED_PREFIX):
            return IssuedIdState.CALLER_CHOSEN
        stem, _, signature = request.rpartition(SEPARATOR)
        if not self._is_signed(organisation, stem, signature):
            return IssuedIdState.FOREIGN
        issued_at = int(stem.split(".")[-2])
        if self._clock.now() > issued_at + ISSUED_LIFETIME:
            return IssuedIdState.EXPIRED
        return IssuedIdState.OWN

    def _signature(self, organisation: OrganisationId, stem: str) -> str:
        return self._signer.get_signature(f"{organisation}/{stem}").decode()

    def _is_signed(
        self, organisation: OrganisationId, stem: str, signature: str
    ) -> bool:
        try:
            self._signer.unsign(f"{organisation}/{stem}{SEPARATOR}{signature}")
        except BadSignature:
            return False
        return True
