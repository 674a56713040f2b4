"""What the lab compares: how pools are sized and in which order jobs get room."""

from dataclasses import dataclass

from comfreywind.decisions.scheduling.pool_policy import PoolPolicy
from comfreywind.decisions.scheduling.work_order import SortKeyFunction, find_turn


@dataclass(frozen=True, slots=True)
class LabPolicy:
    """A policy under a name; without `pools` no VM ever moves."""

    name: str
    pools: PoolPolicy | None
    find_turn: SortKeyFunction = find_turn
