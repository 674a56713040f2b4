"""Decides how two entries divide the units of a team between them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UnitDemand:
    """Units that an entry holds, and units that its running and waiting requests need."""

    held_units: int
    demand_units: int


def decide_transfer(
    own: UnitDemand, asking: UnitDemand, wanted_units: int, is_turn_over: bool
) -> int:
    """Return how many units the asked entry gives, now or as its work ends.

    It gives what it doesn't need itself, and beyond that as much as leaves both with units in
    proportion to their demand; rounding down keeps the last unit from moving to and fro. When that
    leaves the asking entry without any, the entries take turns, so that none of them starves.
    """
    spare_units = max(0, own.held_units - own.demand_units)
    if spare_units >= wanted_units:
        return wanted_units
    held_units = own.held_units + asking.held_units
    demand_units = own.demand_units + asking.demand_units
    fair_units = held_units * asking.demand_units // max(1, demand_units)
    if fair_units == 0 and asking.held_units == 0 and is_turn_over:
        fair_units = min(1, own.held_units)
    return max(0, min(wanted_units, max(spare_units, fair_units - asking.held_units)))
