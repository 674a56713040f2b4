"""A row of the table `portions`: how the units of one ceiling are allocated."""

from dataclasses import dataclass

from comfreywind.decisions.portions.reclaim import Reclaim
from comfreywind.decisions.portions.totals import NumberMap, sum_numbers


@dataclass(frozen=True, slots=True)
class PortionRow:
    """Allocation of the units of a ceiling to holders.

    `ceiling_version` is the bundle version that the ceiling comes from. `recorded` maps holders to
    the units that they hold. `flows` maps `giver>receiver` to the total units ever given that
    `recorded` includes; such a total never falls, so recording it twice has no effect. `settled`
    maps entry names to the highest incarnation whose units were moved to `reclaiming` or returned.
    """

    ceiling_units: int = 0
    ceiling_version: int = 0
    recorded: NumberMap = ()
    flows: NumberMap = ()
    reclaiming: tuple[Reclaim, ...] = ()
    settled: NumberMap = ()

    @property
    def allocated_units(self) -> int:
        """Return the units that holders have or that are being reclaimed."""
        return sum_numbers(self.recorded) + sum(reclaim.units for reclaim in self.reclaiming)

    @property
    def free_units(self) -> int:
        """Return the units that may be allocated; negative after the ceiling was lowered."""
        return self.ceiling_units - self.allocated_units
