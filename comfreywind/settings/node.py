"""Settings of a node, the Comfreywind process that runs on every VM of the system."""

from dataclasses import dataclass

from comfreywind.settings.address import Address


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Limits of the platform's store.

    `row_bytes` is the size of the largest row and `history_s` how long the store keeps the history
    of changes that its feeds are read from.
    """

    row_bytes: int = 65_536
    history_s: float = 20


@dataclass(frozen=True, slots=True)
class JobTimings:
    """Time limits and ratios that the operators of the platform set for jobs.

    `lease_limit_s` is the longest lease that a target grants, `stop_grace_s` how long a task may
    take to stop, `status_retention_s` how long the state of an ended job can be queried,
    `grace_s` how long a node may take to stop after SIGTERM, `order_reservation_s` the minimum time
    between two holders' orders for the same VM, and `evacuate_s` the time after the request to
    evacuate a data centre from which nothing may start there.
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
    evacuate_s: float = 5


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Addresses and limits of a node.

    `cores` is the processor time of the node in cores of usual speed, `memory_mb` its memory,
    `max_fds` the most descriptors that it may have open, `link_mbps` the speed of its network link, and
    `vm_orders_per_s` the rate of orders to the VM service. The VM and advice services are
    used, metrics are served and calls relayed, only if their addresses are set: at `peer_address`
    other nodes hand over calls of callers.
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
    peer_address: Address | None = None
    max_fds: int = 4100
    link_mbps: float = 1000
