"""The options of a priced plan after roll-out shares and the budget are applied."""

from fuchsiaroute.ids import Revision, VersionId
from fuchsiaroute.request import Candidate, Decision, Exclusion
from fuchsiaroute.routing._chooser import Option, OrderedOptions
from fuchsiaroute.routing._priced_plan import PricedOption, PricedPlan, RolloutBranch

#: Decisions cached per selection; the cache is cleared when it is full.
_MAX_DECISIONS = 8


class Selection:
    """
    The options of requests that are on the same branch of every roll-out.

    Decisions are cached by the identity of the chooser's ``OrderedOptions``: a chooser
    that returns the same object again gets the same ``Decision``.
    """

    def __init__(
        self, plan: PricedPlan, branches: list[RolloutBranch], *, budget: int
    ) -> None:
        self._excluded: list[Candidate] = list(plan.excluded)
        self._options: dict[VersionId, PricedOption] = {}
        self._affordable: list[Option] = []
        self._decisions: dict[int, tuple[OrderedOptions, Decision]] = {}
        for branch in branches:
            self._add(branch, budget)
        costs = (item.option.cost for item in self._options.values())
        self._max_cost = max(costs, default=0)

    @property
    def affordable(self) -> list[Option]:
        """Return the options within the budget; callers must not modify the list."""
        return self._affordable

    @property
    def is_over_budget(self) -> bool:
        """Return whether every option exceeds the budget; False without options."""
        return bool(self._options) and not self._affordable

    @property
    def max_cost(self) -> int:
        """Return the cost in micro-units of the most expensive option; 0 if none."""
        return self._max_cost

    def decision(self, ordered: OrderedOptions, revision: Revision) -> Decision:
        """Return the decision for the chooser's result ``ordered``."""
        cached = self._decisions.get(id(ordered))
        if cached is not None:
            return cached[1]
        decision = Decision(
            revision=revision,
            versions=tuple(option.version.id for option in ordered.chosen),
            candidates=(*self._excluded, *self._considered(ordered)),
        )
        if len(self._decisions) >= _MAX_DECISIONS:
            self._decisions.clear()
        # The reference to ``ordered`` keeps its id from being reused.
        self._decisions[id(ordered)] = (ordered, decision)
        return decision

    def _add(self, branch: RolloutBranch, budget: int) -> None:
        if branch.excluded is not None:
            self._excluded.append(branch.excluded)
        if branch.priced_option is None:
            return
        option = branch.priced_option.option
        self._options[option.version.id] = branch.priced_option
        if option.cost <= budget:
            self._affordable.append(option)
        else:
            self._excluded.append(branch.priced_option.excluded(Exclusion.COST_LIMIT))

    def _considered(self, ordered: OrderedOptions) -> list[Candidate]:
        considered = [
            self._options[option.version.id].excluded(exclusion)
            for option, exclusion in ordered.rejected
        ]
        considered += [
            self._options[option.version.id].eligible_candidate
            for option in ordered.chosen
        ]
        return considered
