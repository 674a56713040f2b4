"""Passive health checks: ejects targets by the results of their requests."""

import logging
from collections import Counter

from comfreywind.clock import Clock
from comfreywind.decisions.ejection import (
    TargetRecord,
    admits_work,
    compute_failure_load,
    eject,
    is_outlier,
    may_eject,
    record_failure,
    record_success,
)
from comfreywind.entry.fleet_view import FleetView
from comfreywind.platform.vm_entry import VmEntry
from comfreywind.report.decision_log import DecisionLog

NOTHING_EJECTED: frozenset[str] = frozenset()

log = logging.getLogger('comfreywind.targets')


class TargetHealth:
    """Ejects failing targets, up to the limit on ejected targets of a pool.

    The dispatcher calls `admits` and `count_failure_load` when it places a request. The
    forwarder calls `start` before and `report` after each attempt.
    """

    def __init__(
        self, fleet_view: FleetView, clock: Clock, decisions: DecisionLog | None = None
    ) -> None:
        """Start without records."""
        self._fleet_view = fleet_view
        self._clock = clock
        self._decisions = decisions
        self._records: dict[str, TargetRecord] = {}
        self._ejected: set[str] = set()
        self._running: Counter[str] = Counter()

    def admits(self, vm: VmEntry, idempotent: bool) -> bool:
        """Return whether the target may get a request of this kind now."""
        if vm.name not in self._ejected:
            return True
        return self._admits(vm.name, self._clock.read_monotonic_s(), idempotent)

    def list_ejected(self, idempotent: bool) -> frozenset[str]:
        """Return the names of the targets that may not get a request of this kind now."""
        if not self._ejected:
            return NOTHING_EJECTED
        now_s = self._clock.read_monotonic_s()
        return frozenset(
            name for name in self._ejected if not self._admits(name, now_s, idempotent)
        )

    def count_failure_load(self, vm: VmEntry) -> int:
        """Return the load of the VM's recent failures, in equivalent outstanding requests."""
        record = self._records.get(vm.name)
        return 0 if record is None else compute_failure_load(record, self._clock.read_monotonic_s())

    def has_other_target(self, pool: str, excluded: frozenset[str], idempotent: bool) -> bool:
        """Return whether any target that is not excluded may get the request."""
        closed = excluded | self.list_ejected(idempotent)
        return any(vm.name not in closed for vm in self._fleet_view.list_usable(pool))

    def start(self, vm: VmEntry) -> None:
        """Count a request that is sent to the VM; the first one on probation is the probe."""
        self._running[vm.name] += 1

    def finish(self, vm: VmEntry) -> None:
        """Stop counting a request at the VM that has ended with any result."""
        self._running[vm.name] -= 1
        if not self._running[vm.name]:
            del self._running[vm.name]

    def report(self, vm: VmEntry, pool: str, failed: bool) -> None:
        """Record the result of a request at the VM; eject the VM if it has become an outlier."""
        known = self._records.get(vm.name)
        if known is None and not failed:
            return
        if known is None or known.incarnation != vm.incarnation:
            known = TargetRecord(vm.incarnation)
        now_s = self._clock.read_monotonic_s()
        record = record_failure(known, now_s) if failed else record_success(known, now_s)
        if failed and record.ejected_until_s is None and is_outlier(record):
            record = self._eject_within_limit(record, vm, pool, now_s)
        self._store(vm.name, record)

    def remove_outdated_records(self) -> None:
        """Remove records of VMs that are gone or are listed with another incarnation."""
        listed = {vm.name: vm.incarnation for vm in self._fleet_view.list_vms()}
        outdated = [
            name for name, record in self._records.items() if listed.get(name) != record.incarnation
        ]
        for name in outdated:
            del self._records[name]
            self._ejected.discard(name)

    def _admits(self, name: str, now_s: float, idempotent: bool) -> bool:
        return admits_work(self._records[name], now_s, idempotent, name in self._running)

    def _store(self, name: str, record: TargetRecord) -> None:
        self._records[name] = record
        if record.ejected_until_s is None:
            self._ejected.discard(name)
        else:
            self._ejected.add(name)

    def _eject_within_limit(
        self, record: TargetRecord, vm: VmEntry, pool: str, now_s: float
    ) -> TargetRecord:
        names = {usable.name for usable in self._fleet_view.list_usable(pool)}
        ejected_count = len(names & self._ejected)
        if not may_eject(ejected_count, len(names)):
            return record
        log.warning(
            'target %s ejected, consecutive failures: %d; it gets no requests until probation',
            vm.name,
            record.consecutive_failures,
        )
        if self._decisions is not None:
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
