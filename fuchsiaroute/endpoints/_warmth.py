"""Facts about the warmth of endpoints that entries can exchange in any order."""

from dataclasses import dataclass

from fuchsiaroute.ids import EndpointId, Incarnation

#: Incarnation of an endpoint that has not been heard of yet.
UNKNOWN_INCARNATION = Incarnation(0)


@dataclass(frozen=True, kw_only=True, order=True)
class Warmth:
    """
    How warm an endpoint is in one cold period of one incarnation.

    Values are ordered, and the greater one is the newer fact, so merging facts in
    any order and any number of times gives the same result.
    """

    incarnation: Incarnation = UNKNOWN_INCARNATION
    #: Number of times the endpoint was found cold again in this incarnation.
    cold_period: int = 0
    is_warm: bool = False

    def found_cold(self) -> "Warmth":
        """Return the fact that the endpoint turned cold after this one."""
        return Warmth(incarnation=self.incarnation, cold_period=self.cold_period + 1)

    def warmed_up(self) -> "Warmth":
        """Return the fact that the endpoint became warm in this cold period."""
        return Warmth(
            incarnation=self.incarnation, cold_period=self.cold_period, is_warm=True
        )


#: What is known of an endpoint before any entry has heard of it.
UNKNOWN_WARMTH = Warmth()


@dataclass(frozen=True, kw_only=True)
class WarmthFact:
    """The warmth of one endpoint, as entries tell each other."""

    endpoint: EndpointId
    warmth: Warmth
