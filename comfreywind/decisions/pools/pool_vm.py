"""A VM of a pool, as recorded in the table `vms`."""

import enum
from dataclasses import dataclass


class VmState(enum.StrEnum):
    """State of a VM; only active VMs count as available."""

    ACTIVE = 'active'
    DRAINING = 'draining'
    REBOOTING = 'rebooting'
    SUSPECT = 'suspect'


@dataclass(frozen=True, slots=True)
class PoolVm:
    """The row of a VM with its location from the VM list; times are Unix times in seconds.

    `home_pool` is the pool that a borrowed spare VM returns to. `move_to` is the pool that a
    draining VM moves to, None if it drains for a planned stop. `since_s` is when the VM entered its
    state, and `pool_since_s` when it entered its pool.
    """

    name: str
    pool: str
    home_pool: str
    rack: str
    data_centre: str
    state: VmState = VmState.ACTIVE
    incarnation: int = 1
    move_to: str | None = None
    since_s: float = 0
    pool_since_s: float = 0
    last_maintained_s: float = 0

    @property
    def borrowed(self) -> bool:
        """Return whether the VM is on loan from a spare pool."""
        return self.pool != self.home_pool

    @property
    def stopping(self) -> bool:
        """Return whether a planned stop of the VM is under way."""
        draining = self.state == VmState.DRAINING and self.move_to is None
        return draining or self.state == VmState.REBOOTING
