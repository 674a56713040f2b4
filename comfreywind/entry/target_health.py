"""Which targets of a pool get work, judged by how requests there have ended."""

import logging
from collections import Counter
from collections.abc import Iterable

from comfreywind.clock import Clock
from comfreywind.decisions.ejection import (
    TargetRecord,
    admits_work,
    eject,
    find_failure_load,
    is_outlier,
    may_eject,
    record_failure,
    record_success,
)
from comfreywind.entry.fleet_view import FleetView
from comfreywind.platform.vm_entry import VmEntry
from comfreywind.report.decision_log import DecisionLog

log = logging.getLogger('comfreywind.targets')


class TargetHealth:
    """Ejects targets that fail, within the cap of their pool.

    The dispatcher asks `list_admitted` and `count_failure_load` when it places a request. The
    forwarder calls `start` before and `report` after each attempt.
    """

    def __init__(self, fleet_view: FleetView, clock: Clock, decisions: DecisionLog) -> None:
        """Start without any record."""
        self._fleet_view = fleet_view
        self._clock = clock
        self._decisions = decisions
        self._records: dict[str, TargetRecord] = {}
        self._running: Counter[str] = Counter()

    def list_admitted(self, vms: Iterable[VmEntry], idempotent: bool) -> list[VmEntry]:
        """Return those of the VMs that may get a request of this kind now."""
        if not self._records:
            return list(vms)
        now_s = self._clock.read_monotonic_s()
        return [vm for vm in vms if self._admits(vm, now_s, idempotent)]

    def count_failure_load(self, vm: VmEntry) -> int:
        """Return how many outstanding requests the recent failures of the VM count as."""
        record = self._records.get(vm.name)
        return 0 if record is None else find_failure_load(record, self._clock.read_monotonic_s())

    def has_other_target(self, pool: str, excluded: frozenset[str], idempotent: bool) -> bool:
        """Return whether a target of the pool besides the excluded ones may get the request."""
        usable = (vm for vm in self._fleet_view.list_usable(pool) if vm.name not in excluded)
        return bool(self.list_admitted(usable, idempotent))

    def start(self, vm: VmEntry) -> None:
        """Note that a request goes to the VM; the first one on probation is the probe."""
        self._running[vm.name] += 1

    def finish(self, vm: VmEntry) -> None:
        """Note that a request at the VM has ended, whatever its result."""
        self._running[vm.name] -= 1
        if not self._running[vm.name]:
            del self._running[vm.name]

    def report(self, vm: VmEntry, pool: str, failed: bool) -> None:
        """Take the result of a request at the VM and eject the VM if it has become an outlier."""
        known = self._records.get(vm.name)
        if known is None and not failed:
            return
        if known is None or known.incarnation != vm.incarnation:
            known = TargetRecord(vm.incarnation)
        now_s = self._clock.read_monotonic_s()
        record = record_failure(known, now_s) if failed else record_success(known, now_s)
        if failed and record.ejected_until_s is None and is_outlier(record):
            record = self._try_eject(record, vm, pool, now_s)
        self._records[vm.name] = record

    def forget_missing(self) -> None:
        """Drop the records of VMs that are not on the platform's list any more."""
        listed = {vm.name for vm in self._fleet_view.list_vms()}
        for name in self._records.keys() - listed:
            del self._records[name]

    def _admits(self, vm: VmEntry, now_s: float, idempotent: bool) -> bool:
        record = self._records.get(vm.name)
        if record is None or record.incarnation != vm.incarnation:
            return True
        return admits_work(record, now_s, idempotent, probing=vm.name in self._running)

    def _try_eject(
        self, record: TargetRecord, vm: VmEntry, pool: str, now_s: float
    ) -> TargetRecord:
        names = {usable.name for usable in self._fleet_view.list_usable(pool)}
        ejected_count = sum(
            1
            for name in names & self._records.keys()
            if self._records[name].ejected_until_s is not None
        )
        if not may_eject(ejected_count, len(names)):
            return record
        log.warning('%s is ejected after %d failures', vm.name, record.consecutive_failures)
        self._decisions.record(
            'ejection',
            f'vm/{vm.name}',
            'the target fails',
            consecutive_failures=record.consecutive_failures,
            window_failures=record.window_failures,
            window_requests=record.window_requests,
            ejected_count=ejected_count,
            pool_size=len(names),
        )
        return eject(record, now_s)
