"""A row of the table `portions`: how the units of one ceiling are allocated."""

from dataclasses import dataclass

from comfreywind.decisions.portions.reclaim import Reclaim
from comfreywind.decisions.portions.totals import Totals, sum_totals


@dataclass(frozen=True, slots=True)
class PortionRow:
    """Allocation of a ceiling.

    `ceiling_version` is the bundle version that the ceiling is from. `recorded` maps holders to units.
    `flows` maps `giver>receiver` to all units ever given that are part of `recorded`; a total that only
    grows can be recorded twice without harm. `settled` maps entry names to the highest incarnation
    whose units were moved to `reclaiming` or returned.
    """

    ceiling_units: int = 0
    ceiling_version: int = 0
    recorded: Totals = ()
    flows: Totals = ()
    reclaiming: tuple[Reclaim, ...] = ()
    settled: Totals = ()

    @property
    def allocated_units(self) -> int:
        """Return the units that are not free."""
        return sum_totals(self.recorded) + sum(reclaim.units for reclaim in self.reclaiming)

    @property
    def free_units(self) -> int:
        """Return the units that may be taken; negative after the ceiling was lowered."""
        return self.ceiling_units - self.allocated_units
