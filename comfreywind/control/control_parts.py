"""Components that the controllers of all pools share."""

from collections.abc import Mapping
from dataclasses import dataclass

from comfreywind.clock import Clock
from comfreywind.control.control_view import ControlView
from comfreywind.control.drain_watch import DrainWatch
from comfreywind.control.health_watch import HealthWatch
from comfreywind.control.member_watch import MemberWatch
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.vm_entry import VmEntry
from comfreywind.platform.vm_list_client import VmListClient
from comfreywind.report.decision_log import DecisionLog
from comfreywind.settings.timings import Timings


@dataclass(frozen=True, slots=True)
class ControlComponents:
    """The identity of an entry, and its clients, views and watches for pool control."""

    name: str
    incarnation: int
    tables: TableClient
    vm_operations: VmListClient
    view: ControlView
    members: MemberWatch
    drains: DrainWatch
    health: HealthWatch
    decisions: DecisionLog
    clock: Clock
    timings: Timings

    def read_wall_s(self) -> float:
        """Return the Unix time in seconds."""
        return self.clock.read_utc().timestamp()


VmList = Mapping[str, VmEntry]
