"""What the lab compares: how pools are sized and in which order jobs get room."""

from dataclasses import dataclass

from comfreywind.decisions.scheduling.pool_policy import PoolPolicy
from comfreywind.decisions.scheduling.work_order import SortKeyFunction, compute_sort_key


@dataclass(frozen=True, slots=True)
class LabPolicy:
    """A policy under a name; without `pools` no VM ever moves."""

    name: str
    pools: PoolPolicy | None
    compute_sort_key: SortKeyFunction = compute_sort_key
