"""A VM as the platform's VM service lists it."""

from dataclasses import dataclass

from comfreywind.jobs.resources import Resources


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM and its pool.

    `target_id` is the id of the target that runs on it, empty without one. `up` means that it can
    run tasks.
    """

    name: str
    pool: str
    up: bool
    data_centre: str
    labels: frozenset[str]
    capacity: Resources
    target_id: str
    in_maintenance: bool = False
