"""Observes the control lease of one pool and makes the writes that change it."""

from collections.abc import Collection
from typing import Any

from comfreywind.clock import Clock
from comfreywind.control.control_view import ControlView
from comfreywind.decisions.pools.holder import LeaseStep, LeaseView, choose_holder, decide_lease
from comfreywind.platform.row_write import RowWrite
from comfreywind.platform.table_names import TABLE_CONTROL
from comfreywind.settings.timings import Timings


class LeaseWatch:
    """Decides whether to take, keep or release the lease, and makes the write of its row.

    Every transaction of the pool includes this write, on condition that the row still has the known
    version. Since the write also renews the lease, of two transactions decided from the same
    version only one succeeds.
    """

    def __init__(
        self, pool: str, own_name: str, incarnation: int, view: ControlView, clock: Clock
    ) -> None:
        """Measure how long the lease has been unchanged from now on."""
        self._pool = pool
        self._own_name = own_name
        self._incarnation = incarnation
        self._view = view
        self._clock = clock
        self._started_s = clock.read_monotonic_s()
        self._other_preferred_since_s: float | None = None

    def decide(self, alive: Collection[str], timings: Timings) -> LeaseStep:
        """Return what to do about the lease, given the names of the entries that are alive."""
        now_s = self._clock.read_monotonic_s()
        preferred_here = choose_holder(self._pool, alive) == self._own_name
        if preferred_here:
            self._other_preferred_since_s = None
        elif self._other_preferred_since_s is None:
            self._other_preferred_since_s = now_s
        other_since_s = self._other_preferred_since_s
        lease = LeaseView(
            held_by_other=not self.is_held() and bool(self._read_fields().get('holder')),
            held_here=self.is_held(),
            unchanged_s=now_s - self._get_changed_s(),
            preferred_here=preferred_here,
            other_preferred_s=0 if other_since_s is None else now_s - other_since_s,
        )
        return decide_lease(lease, timings.control_ttl_s, timings.control_handover_s)

    def is_held(self) -> bool:
        """Return whether the last received row names this process as holder."""
        fields = self._read_fields()
        return (fields.get('holder'), fields.get('incarnation')) == (
            self._own_name,
            self._incarnation,
        )

    def make_write(self, step: LeaseStep) -> RowWrite:
        """Return the write that takes, keeps or releases the lease.

        `token` counts the changes of the holder, `renewal` all writes of the row.
        """
        fields = self._read_fields()
        token = int(fields.get('token', 0))
        fields = {
            'holder': None if step == LeaseStep.RELEASE else self._own_name,
            'incarnation': self._incarnation,
            'token': token if step == LeaseStep.KEEP else token + 1,
            'renewal': int(fields.get('renewal', 0)) + 1,
        }
        version = self._view.read_version(TABLE_CONTROL, self._pool)
        return RowWrite(TABLE_CONTROL, self._pool, version, fields)

    def _get_changed_s(self) -> float:
        received = self._view.get(TABLE_CONTROL, self._pool)
        return max(self._started_s, received.received_s if received else 0)

    def _read_fields(self) -> dict[str, Any]:
        return self._view.read_fields(TABLE_CONTROL, self._pool)
