"""Settings of a node, the process that runs on every VM of the system."""

from dataclasses import dataclass

from comfreywind.settings.address import Address


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """What the platform's store takes; sizes in bytes."""

    row_bytes: int = 65_536
    history_s: float = 20


@dataclass(frozen=True, slots=True)
class JobTimings:
    """Bounds that the users set for jobs, in seconds unless the name has another unit.

    `stop_grace_s` is how long a stopped task may take, `lease_limit_s` the longest lease that a
    target grants, `status_retention_s` how long the state of a finished job can be asked for, and
    `grace_s` the time between the request to stop and the end of a node.
    """

    lease_limit_s: float = 6
    stop_grace_s: float = 0.2
    gang_wait_s: float = 3
    cancel_s: float = 3
    early_s: float = 0.25
    status_retention_s: float = 120
    grace_s: float = 6
    rules_apply_s: float = 2
    notice_s: float = 4.5
    maintenance_s: float = 2
    move_s: float = 1.5
    order_reservation_s: float = 3
    remote_factor: float = 2
    ceiling_overrun: float = 0.1


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Addresses and bounds of a node; `cores` is the processor time that its VM gives it.

    Metrics are served only where they have an address.
    """

    name: str
    data_centre: str
    caller_address: Address
    ready_address: Address
    store_address: Address
    vm_service_address: Address | None
    advice_address: Address | None
    timings: JobTimings
    store_limits: StoreLimits
    vm_orders_per_s: float = 64
    memory_mb: int = 300
    cores: float = 1
    metrics_address: Address | None = None
