"""What the lab's emulator is told of the platform."""

from dataclasses import dataclass

from comfreywind.scheduling.vm_watch import LIST_INTERVAL_S


@dataclass(frozen=True, slots=True)
class FleetModel:
    """Sizes and times of the platform and of the holder's own work.

    A move takes `move_s`, and the new target shows after `register_s`. The list of VMs is read each
    `list_interval_s`. An order reaches its target after `order_s`; the holder is busy for `call_s`
    with each order and each report, one after the other.
    """

    vms_by_pool: dict[str, int]
    standby_pool: str = 'standby'
    vm_millicores: int = 32_000
    vm_memory_mb: int = 131_072
    vms_per_rack: int = 8
    move_s: float = 1.5
    register_s: float = 0.1
    list_interval_s: float = LIST_INTERVAL_S
    order_s: float = 0.004
    call_s: float = 0.0004
