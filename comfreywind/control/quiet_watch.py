"""Skips decisions about pools in which nothing has changed."""

from comfreywind.control.control_view import ControlView
from comfreywind.control.health_watch import HealthWatch
from comfreywind.decisions.pools.pool_plan import PoolPlan
from comfreywind.decisions.pools.pool_vm import PoolVm, VmState
from comfreywind.decisions.pools.wave import WaveState


class QuietWatch:
    """Detects that a pool is unchanged since a decision found nothing to do.

    Deciding on a pool of 127 VMs takes 1.4 ms, which is too expensive for an entry that controls
    several pools every second. New rules and VMs that become due for maintenance change no row, so
    a decision is skipped for at most `quiet_s`.
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
        """Return whether the decision at this monotonic time can be skipped."""
        if now_s - self._decided_s >= self._quiet_s or self._quiet_vms is None:
            return False
        vms = self._view.list_pool(self._pool)
        failing = self._health.list_failing()
        return vms is self._quiet_vms and not any(vm.name in failing for vm in vms)

    def record_decision(self, plan: PoolPlan, spare: bool, now_s: float) -> None:
        """Record a decision that was made from the current view.

        A spare pool is never quiet, because it must handle requests of other pools at once.
        """
        self._decided_s = now_s
        idle = plan.wave.state in {WaveState.IDLE, WaveState.OFF}
        all_at_home = all(vm.state == VmState.ACTIVE and not vm.borrowed for vm in plan.vms)
        nothing_decided = not plan.changes and not plan.wanted
        quiet = idle and all_at_home and nothing_decided
        self._quiet_vms = self._view.list_pool(self._pool) if quiet and not spare else None
