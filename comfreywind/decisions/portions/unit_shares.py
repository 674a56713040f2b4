"""Decides how two entries divide the units of a team between each other."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UnitDemand:
    """The units that an entry holds and those that its running and waiting requests need."""

    held_units: int
    demand_units: int


def decide_transfer(
    own: UnitDemand, asking: UnitDemand, wanted_units: int, is_turn_over: bool
) -> int:
    """Return how many units this entry gives to the asking one, at once or as its work ends.

    It gives the units that it does not need. If they are not enough, it gives so many that the
    units of both are in proportion to their demand, rounded down so that the last unit does not
    move back and forth. If the asking entry would be left with none, the two use the last unit in
    turns, so that neither starves; `is_turn_over` tells that the turn of this entry has ended.
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
