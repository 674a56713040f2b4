"""The units of one resource that one entry holds."""

from dataclasses import dataclass

from comfreywind.decisions.portions.portion_row import PortionRow
from comfreywind.decisions.portions.totals import NumberMap


@dataclass(frozen=True, slots=True)
class Ledger:
    """The newest known version of the portion row, and the flows from and to this entry.

    `given` and `received` map each holder to the total units ever given to it and received from it.
    `returning_units` are being returned by a write that is conditional on `pending_version` and
    whose outcome is not known. They can't be used until the row has a higher version, because the
    write may be delayed and take effect at any time before that.
    """

    holder: str
    row: PortionRow = PortionRow()
    row_version: int = 0
    given: NumberMap = ()
    received: NumberMap = ()
    returning_units: int = 0
    pending_version: int | None = None
