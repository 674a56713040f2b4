"""A wave of maintenance that the operator asks for."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """VMs that are due, how many may be down at once, and for how long the wave may take."""

    wave: int
    vms: tuple[str, ...]
    limit: int
    duration_s: float
