"""Validated rules as the rest of the program uses them."""

from dataclasses import dataclass
from typing import Literal

ToleratedLoss = Literal['none', 'rack', 'data-centre']


@dataclass(frozen=True, slots=True)
class TeamRules:
    """A team's weight in fair sharing and its ceiling of concurrent requests."""

    name: str
    weight: float
    ceiling_units: int


@dataclass(frozen=True, slots=True)
class PoolRules:
    """A pool's run time limit, executor limits, availability budget and maintenance.

    Every VM is maintained once per `maintenance_period_s`; waves start `maintenance_lead_s` before
    the end of the period. A borrowed spare VM stays for at least `spare_hold_s`.
    """

    name: str
    max_run_s: float
    minimum_available_ratio: float
    tolerate: ToleratedLoss
    spare: bool
    slots_per_vm: int
    connections_per_vm: int
    maintenance_enabled: bool = True
    maintenance_period_s: float = 4_233_600
    maintenance_lead_s: float = 604_800
    spare_hold_s: float = 600


@dataclass(frozen=True, slots=True)
class QueueRules:
    """A queue's pool, the teams that may use it, its urgency and its length limit."""

    name: str
    pool: str
    teams: frozenset[str]
    open: bool
    open_team: str | None
    urgent: bool
    queue_limit: int


@dataclass(frozen=True, slots=True)
class Objective:
    """A service-level objective of a queue."""

    queue: str
    success_ratio: float
    latency_s: float


@dataclass(frozen=True, slots=True)
class Rules:
    """One accepted version of the rules."""

    version: int
    teams: dict[str, TeamRules]
    pools: dict[str, PoolRules]
    queues: dict[str, QueueRules]
    objectives: tuple[Objective, ...]

    @property
    def longest_run_s(self) -> float:
        """Return the longest run time limit of all pools, in seconds."""
        return max(pool.max_run_s for pool in self.pools.values())
