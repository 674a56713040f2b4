"""A VM of a pool, as its row in the table `vms` describes it."""

import enum
from dataclasses import dataclass


class VmState(enum.StrEnum):
    """State of a VM; only `active` ones count as available."""

    ACTIVE = 'active'
    DRAINING = 'draining'
    REBOOTING = 'rebooting'
    SUSPECT = 'suspect'


@dataclass(frozen=True, slots=True)
class PoolVm:
    """The row of a VM with its place on the VM list; times are Unix times in seconds.

    `home_pool` is the pool that a borrowed spare VM returns to. `move_to` is the pool that a
    draining VM moves to; it is None when the VM drains for a planned stop.
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
        """Return whether the VM is a spare one of another pool."""
        return self.pool != self.home_pool

    @property
    def stopping(self) -> bool:
        """Return whether a planned stop of the VM is under way."""
        draining = self.state == VmState.DRAINING and self.move_to is None
        return draining or self.state == VmState.REBOOTING
