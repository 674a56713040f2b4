"""A VM on the platform's list."""

from dataclasses import dataclass

from comfreywind.jobs.resources import Resources


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM, the pool that it belongs to and the target that it is now; `up` when it can be used."""

    name: str
    pool: str
    up: bool
    data_centre: str
    labels: frozenset[str]
    capacity: Resources
    target_id: str
    in_maintenance: bool = False
