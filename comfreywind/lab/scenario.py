"""A fleet with its demand."""

from dataclasses import dataclass

from comfreywind.lab.demand import Demand
from comfreywind.lab.fleet_model import FleetModel


@dataclass(frozen=True, slots=True)
class Scenario:
    """What the lab plays: jobs are handed in for `length_s`, after a quiet `lead_s`."""

    name: str
    fleet: FleetModel
    demands: tuple[Demand, ...]
    length_s: float = 34
    lead_s: float = 16
