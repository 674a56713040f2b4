"""Saves decisions about pools in which nothing happens."""

from comfreywind.control.control_view import ControlView
from comfreywind.control.health_watch import HealthWatch
from comfreywind.decisions.pools.pool_plan import PoolPlan
from comfreywind.decisions.pools.pool_vm import PoolVm, VmState
from comfreywind.decisions.pools.wave import WaveState


class QuietWatch:
    """Knows whether a pool is as it was when it was last decided that nothing is to do.

    A decision about a pool of 127 VMs took 1.4 ms, which for several pools every second is more
    than control may cost an entry. New rules and the next due VM are seen after `quiet_s`.
    """

    def __init__(self, pool: str, view: ControlView, health: HealthWatch, quiet_s: float) -> None:
        """Start with a pool that is not quiet."""
        self._pool = pool
        self._view = view
        self._health = health
        self._quiet_s = quiet_s
        self._quiet_vms: tuple[PoolVm, ...] | None = None
        self._decided_s = float('-inf')

    def is_quiet(self, now_s: float) -> bool:
        """Return whether a decision at this monotonic time can be left out."""
        if now_s - self._decided_s >= self._quiet_s or self._quiet_vms is None:
            return False
        vms = self._view.list_pool(self._pool)
        failing = self._health.list_failing()
        return vms is self._quiet_vms and not any(vm.name in failing for vm in vms)

    def note(self, plan: PoolPlan, spare: bool, now_s: float) -> None:
        """Note a decision from the present view; spare pools have to see requests at once."""
        self._decided_s = now_s
        idle = plan.wave.state in {WaveState.IDLE, WaveState.OFF}
        settled = all(vm.state == VmState.ACTIVE and not vm.borrowed for vm in plan.vms)
        nothing_decided = not plan.changes and not plan.wanted
        quiet = idle and settled and nothing_decided
        self._quiet_vms = self._view.list_pool(self._pool) if quiet and not spare else None
