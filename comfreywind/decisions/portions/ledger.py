"""What one entry holds of one resource."""

from dataclasses import dataclass

from comfreywind.decisions.portions.portion_row import PortionRow
from comfreywind.decisions.portions.totals import Totals


@dataclass(frozen=True, slots=True)
class Ledger:
    """The newest row seen and the flows of this entry, in units.

    `given` and `received` map holders to all units ever traded with them. `returning_units` are part of
    a write on condition of `pending_version` whose outcome is not known yet: they stay out of use
    until the row has a higher version, because a delayed write may still take effect before that.
    """

    holder: str
    row: PortionRow = PortionRow()
    row_version: int = 0
    given: Totals = ()
    received: Totals = ()
    returning_units: int = 0
    pending_version: int | None = None
