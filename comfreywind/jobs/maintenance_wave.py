"""A wave of VM maintenance requested by the operator."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """VMs that are due for maintenance.

    `wave` is the number of the wave, `limit` how many of its VMs may be down at the same time, and
    `duration_s` the time within which the operator expects the wave to complete.
    """

    wave: int
    vms: tuple[str, ...]
    limit: int
    duration_s: float
