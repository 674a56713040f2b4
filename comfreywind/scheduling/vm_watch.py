"""Reads the platform's list of VMs while it is needed, and drops the runs of VMs that are down."""

import logging
from collections.abc import Callable, Collection

import trio

from comfreywind.clock import Clock
from comfreywind.errors import StoreUnavailableError
from comfreywind.jobs.vm import Vm
from comfreywind.platform.vm_client import VmClient
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_record import TargetRecord

# Interval while the list is needed; otherwise it isn't read at all, to save calls to the platform.
LIST_INTERVAL_S = 0.8
# Minimum interval on request: the platform limits the rate of reads, and orders come in groups.
MIN_INTERVAL_S = 0.12
NEED_POLL_INTERVAL_S = 0.1
# A VM counts as removed when so many complete lists in a row lack it.
ABSENT_LISTS = 3
# For how long a list is read to see a new incarnation of a target live.
LIVE_CHECK_S = 5.0

log = logging.getLogger('comfreywind.vms')


class VmWatch:
    """Reads the list of VMs and owns the latest one; `read_started_s` is when its read began.

    A list with an entry that can't be read shows which VMs are up, and not which ones are gone.
    """

    def __init__(self, client: VmClient, scheduler_state: SchedulerState, clock: Clock) -> None:
        """Use the client of the VM service and the scheduler state of the term."""
        self._client = client
        self._state = scheduler_state
        self._clock = clock
        self.vms: dict[str, Vm] = {}
        self.read_started_s = float('-inf')
        self._complete = False
        self._complete_lists_count = 0
        self._last_listed: dict[str, int] = {}
        self._vm_by_target: dict[str, str] = {}
        self._read_requested = trio.Event()
        self._read_done = trio.Event()

    def request_read(self) -> None:
        """Have the list read soon, because an order was carried out."""
        self._read_requested.set()

    async def wait_for_read(self, limit_s: float) -> None:
        """Return after the next read of the list, or after the limit."""
        with trio.move_on_after(limit_s):
            await self._read_done.wait()

    async def run(self, needed: Callable[[], bool], on_runs_dropped: Callable[[], None]) -> None:
        """Read the list at an interval while `needed` returns True, until cancelled."""
        while True:
            if not needed():
                await trio.sleep(NEED_POLL_INTERVAL_S)
                continue
            self._read_requested = trio.Event()
            try:
                await self._read()
            except StoreUnavailableError as error:
                log.info('list of VMs not read, next attempt follows: %s', error)
            else:
                if self._drop_runs_on_dead_targets():
                    on_runs_dropped()
            await trio.sleep(MIN_INTERVAL_S)
            with trio.move_on_after(LIST_INTERVAL_S - MIN_INTERVAL_S):
                await self._read_requested.wait()

    def is_dead(self, target_id: str, since_s: float) -> bool:
        """Return whether a list read after `since_s` shows that the target is gone.

        Each incarnation of a VM has a target id of its own, and its runs end with it.
        """
        current = self._complete and self.read_started_s > since_s
        return current and target_id not in self._list_live_targets()

    def needs_live_check(self) -> bool:
        """Return whether a list should show that a target is live, to be able to show its end later."""
        now_s = self._clock.read_monotonic_s()
        records = self._state.targets.values()
        return any(record.doubt.needs_list(now_s, LIVE_CHECK_S) for record in records)

    def is_removed(self, name: str) -> bool:
        """Return whether the last complete lists lack the VM."""
        last_listed = self._last_listed.get(name, 0)
        return self._complete_lists_count - last_listed >= ABSENT_LISTS

    def get_list_age_s(self, now_s: float) -> float:
        """Return the age of the list in seconds."""
        return now_s - self.read_started_s

    async def _read(self) -> None:
        asked_s = self._clock.read_monotonic_s()
        listed = await self._client.read_vms()
        self.vms = {vm.name: vm for vm in listed.vms}
        self._vm_by_target.update({vm.target_id: vm.name for vm in listed.vms if vm.target_id})
        self._complete = listed.complete
        self._complete_lists_count += int(listed.complete)
        self._last_listed.update(dict.fromkeys(self.vms, self._complete_lists_count))
        self.read_started_s = asked_s
        self._read_done.set()
        self._read_done = trio.Event()

    def _list_live_targets(self) -> set[str]:
        return {vm.target_id for vm in self.vms.values() if vm.up}

    def _drop_runs_on_dead_targets(self) -> bool:
        live_targets = self._list_live_targets()
        for target_id, record in self._state.targets.items():
            record.doubt.record_list(target_id in live_targets, self.read_started_s)
        if not self._complete:
            return False
        dropped = False
        for target_id, record in self._state.targets.items():
            if target_id in live_targets or not record.silent:
                continue
            dropped = self._drop_runs(record, self._is_replaced(target_id)) or dropped
        return self._close_replaced_starts(live_targets) or dropped

    def _close_replaced_starts(self, live_targets: Collection[str]) -> bool:
        """Close the starts without a reply on targets that can't come back; return whether there were any.

        A target whose registration has expired and that has no runs is not known any more.
        """
        open_starts = self._state.open_starts
        closed = [
            target_id
            for target_id in open_starts.list_targets().difference(live_targets)
            if not self._is_heard(target_id) and self._is_replaced(target_id)
        ]
        for target_id in closed:
            open_starts.close_target(target_id)
        return bool(closed)

    def _is_heard(self, target_id: str) -> bool:
        record = self._state.targets.get(target_id)
        return record is not None and not record.silent

    def _drop_runs(self, record: TargetRecord, is_replaced: bool) -> bool:
        """Drop the runs of a target whose VM is down; return whether there were any."""
        if not record.runs:
            self._state.end_incarnation(record)
            return False
        is_ended = record.doubt.is_ended_by_list(self.read_started_s, record.heard_s)
        if not (is_ended or is_replaced):
            return False
        log.info('target %s: VM is down, %d runs lost', record.entry.target_id, len(record.runs))
        self._state.end_incarnation(record)
        return True

    def _is_replaced(self, target_id: str) -> bool:
        """Return whether the VM of a target has another target now, or is removed.

        A VM that is down names no target, and may come back with the same one.
        """
        name = self._vm_by_target.get(target_id)
        if name is None:
            return False
        vm = self.vms.get(name)
        return self.is_removed(name) if vm is None else vm.up and vm.target_id != target_id
