"""A target's registration."""

from dataclasses import dataclass

from comfreywind.jobs.resources import Resources
from comfreywind.settings.address import Address


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """A target as it registered itself.

    `incarnation_start_ms` differs between two incarnations under the same id. `labels` holds the
    kind and the rack of its VM.
    """

    target_id: str
    pool: str
    address: Address
    data_centre: str
    draining: bool
    capacity: Resources
    labels: frozenset[str]
    incarnation_start_ms: int
    cold_left_ms: int = 0
    remaining_ms: int | None = None
