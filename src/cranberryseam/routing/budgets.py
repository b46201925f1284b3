"""Retry budgets: a fraction of recent successes plus a small reserve."""

from __future__ import annotations

from collections import OrderedDict

import attrs

_CREDIT_PER_SUCCESS = 0.1
_RESERVE_UNITS = 3.0
_REFILL_PER_S = 0.2
_MAX_UNITS = 30.0
_MAX_BUDGETS = 4096


@attrs.define
class _Budget:
    units: float
    at: float

    def refill(self, at: float) -> None:
        if self.units < _RESERVE_UNITS:
            refilled = self.units + (at - self.at) * _REFILL_PER_S
            self.units = min(_RESERVE_UNITS, refilled)
        self.at = at


class RetryBudgets:
    """Retry budgets per service and per account.

    A retry takes one unit of both budgets, so that neither a failing service
    nor a single account can multiply the load. The number of budgets is
    bounded; the least recently used one is evicted.
    """

    def __init__(self) -> None:
        """Create budgets that each start with the reserve."""
        self._services: OrderedDict[str, _Budget] = OrderedDict()
        self._accounts: OrderedDict[str, _Budget] = OrderedDict()

    def credit(self, service: str, account: str, at: float) -> None:
        """Credit both budgets for a success."""
        for budget in self._find_both(service, account, at):
            budget.units = min(_MAX_UNITS, budget.units + _CREDIT_PER_SUCCESS)

    def acquire(self, service: str, account: str, at: float) -> bool:
        """Take one unit from both budgets, or from neither."""
        both = self._find_both(service, account, at)
        if any(budget.units < 1 for budget in both):
            return False
        for budget in both:
            budget.units -= 1
        return True

    def _find_both(
        self, service: str, account: str, at: float
    ) -> tuple[_Budget, _Budget]:
        return (
            self._find(self._services, service, at),
            self._find(self._accounts, account, at),
        )

    def _find(
        self, known: OrderedDict[str, _Budget], name: str, at: float
    ) -> _Budget:
        budget = known.get(name)
        if budget is None:
            budget = _Budget(_RESERVE_UNITS, at)
            known[name] = budget
            if len(known) > _MAX_BUDGETS:
                known.popitem(last=False)
        known.move_to_end(name)
        budget.refill(at)
        return budget


__all__ = ('RetryBudgets',)
