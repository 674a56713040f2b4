"""Finds the draining VMs on which no work runs any more."""

from collections.abc import Collection

from comfreywind.clock import Clock
from comfreywind.control.control_view import ControlView
from comfreywind.control.member_watch import MemberWatch
from comfreywind.decisions.pools.drain import Drain, is_confirmed, is_drained
from comfreywind.decisions.pools.pool_vm import PoolVm, VmState
from comfreywind.platform.table_names import TABLE_VMS


class DrainWatch:
    """Notes when all members have confirmed each draining row, as long as it stays the same."""

    def __init__(self, view: ControlView, members: MemberWatch, clock: Clock) -> None:
        """Start without confirmations."""
        self._view = view
        self._members = members
        self._clock = clock
        self._confirmed_s: dict[tuple[str, int], float] = {}

    def find_drained(self, vms: Collection[PoolVm], run_limit_s: float) -> frozenset[str]:
        """Return the draining VMs that can be stopped or moved now."""
        draining = [vm.name for vm in vms if vm.state == VmState.DRAINING]
        return frozenset(name for name in draining if self._is_drained(name, run_limit_s))

    def _is_drained(self, name: str, run_limit_s: float) -> bool:
        seen = self._view.find(TABLE_VMS, name)
        if seen is None:
            return False
        reports = self._members.read_reports(name)
        now_s = self._clock.read_monotonic_s()
        drain_key = (name, seen.row.version)
        if drain_key not in self._confirmed_s and is_confirmed(seen.sequence, reports):
            self._confirmed_s = {
                key: at_s for key, at_s in self._confirmed_s.items() if key[0] != name
            }
            self._confirmed_s[drain_key] = now_s
        drain = Drain(
            row_sequence=seen.sequence,
            confirmed_s=self._confirmed_s.get(drain_key),
            unreported_until_s=self._members.unreported_since_s + run_limit_s,
            run_limit_s=run_limit_s,
        )
        return is_drained(drain, reports, now_s)
