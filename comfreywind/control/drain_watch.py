"""Determines which draining VMs are drained."""

from collections.abc import Collection

from comfreywind.clock import Clock
from comfreywind.control.control_view import ControlView
from comfreywind.control.member_watch import MemberWatch
from comfreywind.decisions.pools.drain import Drain, is_confirmed, is_drained
from comfreywind.decisions.pools.pool_vm import PoolVm, VmState
from comfreywind.platform.table_names import TABLE_VMS


class DrainWatch:
    """Records when all members had applied each draining row.

    A confirmation holds for one version of the row; a new version must be confirmed again.
    """

    def __init__(self, view: ControlView, members: MemberWatch, clock: Clock) -> None:
        """Start without confirmations."""
        self._view = view
        self._members = members
        self._clock = clock
        self._confirmed_s: dict[tuple[str, int], float] = {}

    def list_drained(self, vms: Collection[PoolVm], run_limit_s: float) -> frozenset[str]:
        """Return the draining VMs that can be stopped or moved without interrupting a request."""
        draining = [vm.name for vm in vms if vm.state == VmState.DRAINING]
        return frozenset(name for name in draining if self._is_drained(name, run_limit_s))

    def _is_drained(self, name: str, run_limit_s: float) -> bool:
        received = self._view.get(TABLE_VMS, name)
        if received is None:
            return False
        reports = self._members.read_reports(name)
        now_s = self._clock.read_monotonic_s()
        drain_key = (name, received.row.version)
        if drain_key not in self._confirmed_s and is_confirmed(received.sequence, reports):
            self._confirmed_s = {
                key: at_s for key, at_s in self._confirmed_s.items() if key[0] != name
            }
            self._confirmed_s[drain_key] = now_s
        drain = Drain(
            row_sequence=received.sequence,
            confirmed_s=self._confirmed_s.get(drain_key),
            unreported_until_s=self._members.unreported_since_s + run_limit_s,
            run_limit_s=run_limit_s,
        )
        return is_drained(drain, reports, now_s)
