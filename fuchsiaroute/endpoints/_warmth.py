"""Facts about the warmth of endpoints, which entries can merge in any order."""

from dataclasses import dataclass

from fuchsiaroute.ids import EndpointId, Incarnation

#: Incarnation of an endpoint before its first answer, report or warmth fact.
UNKNOWN_INCARNATION = Incarnation(0)


@dataclass(frozen=True, kw_only=True, order=True)
class Warmth:
    """
    Whether an endpoint is warm, in one cold period of one incarnation.

    Values are totally ordered and the greater value is the newer one, so merging is
    commutative and idempotent.
    """

    incarnation: Incarnation = UNKNOWN_INCARNATION
    #: Number of times that the endpoint turned cold again in this incarnation.
    cold_period: int = 0
    is_warm: bool = False

    def found_cold(self) -> "Warmth":
        """Return the warmth after the endpoint turned cold again."""
        return Warmth(incarnation=self.incarnation, cold_period=self.cold_period + 1)

    def warmed_up(self) -> "Warmth":
        """Return the warmth after the endpoint became warm in this cold period."""
        return Warmth(
            incarnation=self.incarnation, cold_period=self.cold_period, is_warm=True
        )


#: Warmth of an endpoint before the first fact about it.
UNKNOWN_WARMTH = Warmth()


@dataclass(frozen=True, kw_only=True)
class WarmthFact:
    """The warmth of one endpoint, as entries store and exchange it."""

    endpoint: EndpointId
    warmth: Warmth
