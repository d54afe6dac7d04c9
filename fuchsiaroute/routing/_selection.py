"""What the shares and the budget leave of a priced plan, ready to be decided on."""

from fuchsiaroute.ids import Revision, VersionId
from fuchsiaroute.request import Candidate, Decision, Exclusion
from fuchsiaroute.routing._chooser import Option, OrderedOptions
from fuchsiaroute.routing._priced_plan import PricedOption, PricedPlan, Side

#: Decisions that are kept for one selection; all are made anew above it.
_MAX_DECISIONS = 8


class Selection:
    """
    The options of requests that are on the same sides of all roll-outs.

    It remembers its decisions by the chooser's answer, so that a chooser that returns
    the same object for the same options costs no new decision.
    """

    def __init__(self, plan: PricedPlan, sides: list[Side], *, budget: int) -> None:
        self._left_out: list[Candidate] = list(plan.excluded)
        self._options: dict[VersionId, PricedOption] = {}
        self._affordable: list[Option] = []
        self._decisions: dict[int, tuple[OrderedOptions, Decision]] = {}
        for side in sides:
            self._add(side, budget)
        costs = (item.option.cost for item in self._options.values())
        self._greatest_cost = max(costs, default=0)

    @property
    def affordable(self) -> list[Option]:
        """Return the options within the budget; not to be changed."""
        return self._affordable

    @property
    def is_limited(self) -> bool:
        """Return whether there are options, but none within the budget."""
        return bool(self._options) and not self._affordable

    @property
    def greatest_cost(self) -> int:
        """Return the least budget that affords every option."""
        return self._greatest_cost

    def decision(self, ordered: OrderedOptions, revision: Revision) -> Decision:
        """Return the decision that ``ordered`` makes of this selection."""
        known = self._decisions.get(id(ordered))
        if known is not None:
            return known[1]
        decision = Decision(
            revision=revision,
            versions=tuple(option.version.id for option in ordered.chosen),
            candidates=(*self._left_out, *self._weighed(ordered)),
        )
        if len(self._decisions) >= _MAX_DECISIONS:
            self._decisions.clear()
        # Holding the chooser's answer keeps its identity from being used again.
        self._decisions[id(ordered)] = (ordered, decision)
        return decision

    def _add(self, side: Side, budget: int) -> None:
        if side.passed_over is not None:
            self._left_out.append(side.passed_over)
        if side.chosen is None:
            return
        option = side.chosen.option
        self._options[option.version.id] = side.chosen
        if option.cost <= budget:
            self._affordable.append(option)
        else:
            self._left_out.append(side.chosen.excluded(Exclusion.COST_LIMIT))

    def _weighed(self, ordered: OrderedOptions) -> list[Candidate]:
        weighed = [
            self._options[option.version.id].excluded(why)
            for option, why in ordered.rejected
        ]
        weighed += [
            self._options[option.version.id].open_candidate for option in ordered.chosen
        ]
        return weighed
