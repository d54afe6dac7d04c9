"""Request ids issued by an entry; only the issuing incarnation dispatches them."""

import secrets
from enum import Enum

from itsdangerous import BadSignature, Signer

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import Incarnation, InstanceId, OrganisationId, RequestId

#: Prefix of issued ids. They are not claimed in the store, and callers may not
#: choose ids that start with it.
ISSUED_PREFIX = "entry-issued."
#: How long an issued id may be used.
ISSUED_LIFETIME = Milliseconds(120_000)
SECRET_BYTES = 32
#: Separates an id from its signature.
SIGNATURE_SEPARATOR = ":"


class IssuedIdState(Enum):
    """Who issued a request id and whether it may still be used, by its form alone."""

    #: A caller chose it; the claim is in the store.
    CALLER_CHOSEN = "caller-chosen"
    #: This incarnation issued it to this organisation within the lifetime.
    OWN = "own"
    #: This incarnation issued it, but its claim may have been evicted since.
    EXPIRED = "expired"
    #: Another incarnation issued it, or the signature is invalid.
    FOREIGN = "foreign"


class IdIssuer:
    """
    Issues request ids and classifies the ids of incoming requests.

    Ids are signed with a random key that never leaves the process, so that no other
    incarnation accepts them as its own.
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
        self._id_prefix = f"{ISSUED_PREFIX}{instance}.{incarnation}"
        self._signer = Signer(
            secret or secrets.token_bytes(SECRET_BYTES), sep=SIGNATURE_SEPARATOR
        )
        self._count = 0

    def issue(self, organisation: OrganisationId) -> RequestId:
        """Return a new id for a request of ``organisation``."""
        self._count += 1
        unsigned_id = f"{self._id_prefix}.{self._clock.now()}.{self._count}"
        signature = self._signature(organisation, unsigned_id)
        return RequestId(f"{unsigned_id}{SIGNATURE_SEPARATOR}{signature}")

    def classify(
        self, organisation: OrganisationId, request: RequestId
    ) -> IssuedIdState:
        """Return who issued ``request``, according to its prefix and signature."""
        if not request.startswith(ISSUED_PREFIX):
            return IssuedIdState.CALLER_CHOSEN
        unsigned_id, _, signature = request.rpartition(SIGNATURE_SEPARATOR)
        if not self._is_signed(organisation, unsigned_id, signature):
            return IssuedIdState.FOREIGN
        issued_at = int(unsigned_id.split(".")[-2])
        if self._clock.now() > issued_at + ISSUED_LIFETIME:
            return IssuedIdState.EXPIRED
        return IssuedIdState.OWN

    def _signature(self, organisation: OrganisationId, unsigned_id: str) -> str:
        return self._signer.get_signature(f"{organisation}/{unsigned_id}").decode()

    def _is_signed(
        self, organisation: OrganisationId, unsigned_id: str, signature: str
    ) -> bool:
        try:
            self._signer.unsign(
                f"{organisation}/{unsigned_id}{SIGNATURE_SEPARATOR}{signature}"
            )
        except BadSignature:
            return False
        return True
