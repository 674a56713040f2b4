"""Carries out the maintenance waves that the operator asks for."""

import logging
from collections.abc import Callable, Collection

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.scheduling.maintenance import (
    WaveVm,
    choose_emptying,
    compute_maintenance_sort_key,
    count_rounds,
    is_blocked,
    may_go_down,
)
from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.jobs.maintenance_wave import MaintenanceWave
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.tables import HOLDER_PARTITION, TABLE_TERM
from comfreywind.jobs.vm import Vm
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.platform.vm_client import VmClient, VmOrderAnswer
from comfreywind.platform.wave_codec import encode_wave_state
from comfreywind.platform.wire import PREFIX_WAVE, TABLE_STATUS
from comfreywind.scheduling.maintenance_row import (
    MAINTENANCE_KEY,
    decode_maintenance,
    encode_maintenance,
)
from comfreywind.scheduling.order_reservations import OrderReservations
from comfreywind.scheduling.orders import Order
from comfreywind.scheduling.rules_follower import RulesFollower
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_link import EARLIER_RUNS_LAPSE_S
from comfreywind.scheduling.target_record import TargetRecord
from comfreywind.scheduling.term_keeper import HeldTerm, TermKeeper
from comfreywind.scheduling.vm_availability import (
    count_short_runs,
    evict_colocated,
    list_step_health,
)
from comfreywind.scheduling.vm_order import VmOrder
from comfreywind.scheduling.vm_watch import VmWatch

INTERVAL_S = 0.3
# Nothing is ordered by a list of VMs that is older.
LIST_AGE_LIMIT_S = 2.5
# An order without an answer is sent again after this time; the service carries it out only once.
RESEND_AFTER_S = 1.3
# The service also answers 200 when the maintenance of the VM was done before. That is the case when
# the VM is still up as the same target after this time.
ALREADY_DONE_S = 2.0
NO_TARGETS: frozenset[str] = frozenset()

log = logging.getLogger('comfreywind.upkeep')


class MaintenanceKeeper:
    """The task of the holder for maintenance waves; it owns the orders in progress."""

    def __init__(
        self,
        term: HeldTerm,
        node: str,
        reservations: OrderReservations,
        rows: RowsClient,
        vm_client: VmClient,
        watch: VmWatch,
        rules: RulesFollower,
        keeper: TermKeeper,
        scheduler_state: SchedulerState,
        clock: Clock,
        publish: Callable[[list[Order]], None],
    ) -> None:
        """Use the components of the holder; `publish` sends orders and triggers a new plan."""
        self._term = term
        self._node = node
        self._reservations = reservations
        self._rows = rows
        self._vm_client = vm_client
        self._watch = watch
        self._rules = rules
        self._keeper = keeper
        self._state = scheduler_state
        self._clock = clock
        self._publish = publish
        self._orders: dict[int, dict[str, VmOrder]] = {}
        self._emptying_since_s: dict[str, float] = {}
        self._done: dict[int, set[str]] = {}
        self._done_version = 0
        self._stored_count = 0
        self._published_complete: dict[int, bool] = {}

    async def run(self) -> None:
        """Carry out the open waves until cancelled."""
        await self._load()
        while True:
            # A new list shows which VMs have gone down, so that their tasks start elsewhere.
            await self._watch.wait_for_read(INTERVAL_S)
            try:
                await self._advance_waves()
            except StoreUnavailableError as error:
                log.info('maintenance waves paused, next attempt follows: %s', error)

    def is_busy(self) -> bool:
        """Return whether a wave isn't complete, so that a fresh list of VMs is needed."""
        return bool(self._list_open())

    def _list_open(self) -> list[MaintenanceWave]:
        return [
            wave
            for number, wave in self._rules.waves.items()
            if self._orders.get(number) or not self._published_complete.get(number, False)
        ]

    async def _load(self) -> None:
        while True:
            try:
                row = await self._rows.read_row(TABLE_TERM, HOLDER_PARTITION, MAINTENANCE_KEY)
            except StoreUnavailableError as error:
                log.info('maintenance row not read, retrying: %s', error)
                await trio.sleep(INTERVAL_S)
            else:
                self._done = _read_done(row)
                self._done_version = row.version
                self._stored_count = sum(map(len, self._done.values()))
                return

    async def _advance_waves(self) -> None:
        now_s = self._clock.read_monotonic_s()
        stale = self._watch.get_list_age_s(now_s) > LIST_AGE_LIMIT_S
        if stale or not self._keeper.is_valid():
            return
        for wave in self._list_open():
            await self._advance_wave(wave, now_s)

    async def _advance_wave(self, wave: MaintenanceWave, now_s: float) -> None:
        done = self._done.setdefault(wave.wave, set())
        orders = self._orders.setdefault(wave.wave, {})
        self._complete_orders(orders, done, now_s)
        await self._store_done()
        due_vms = [
            self._watch.vms[name]
            for name in wave.vms
            if name in self._watch.vms and name not in done
        ]
        self._mark_due(due_vms)
        await self._publish_wave(wave, complete=not due_vms)
        await self._empty_and_order(wave, due_vms, orders, now_s)

    def _mark_due(self, due_vms: list[Vm]) -> None:
        for vm in due_vms:
            record = self._state.targets.get(vm.target_id)
            if record is not None:
                record.maintenance_due = True

    def _complete_orders(self, orders: dict[str, VmOrder], done: set[str], now_s: float) -> None:
        for name, order in list(orders.items()):
            vm = self._watch.vms.get(name)
            if vm is None:
                del orders[name]
                continue
            if not vm.up or vm.target_id != order.target_id:
                self._drop_target(order.target_id, now_s)
            if self._is_done(vm, order, now_s):
                log.info('VM %s: maintenance done after %.1f s', name, now_s - order.sent_s)
                done.add(name)
                del orders[name]
                self._resume_work(order.target_id)

    def _is_done(self, vm: Vm, order: VmOrder, now_s: float) -> bool:
        if not vm.up:
            return False
        if vm.target_id != order.target_id:
            return True
        return order.confirmed_s is not None and now_s - order.confirmed_s > ALREADY_DONE_S

    def _drop_target(self, target_id: str, now_s: float) -> None:
        record = self._state.targets.get(target_id)
        if record is not None and record.runs:
            self._state.requeue_runs(record, now_s)
            self._publish([])
        if record is not None:
            record.leaving = True

    def _resume_work(self, target_id: str) -> None:
        record = self._state.targets.get(target_id)
        if record is not None:
            record.maintenance_due = False
            record.revert_vm_order()
        self._emptying_since_s.pop(target_id, None)

    async def _empty_and_order(
        self, wave: MaintenanceWave, due_vms: list[Vm], orders: dict[str, VmOrder], now_s: float
    ) -> None:
        waiting = [
            vm
            for vm in due_vms
            if vm.name not in orders and self._reservations.may_reserve(vm.name)
        ]
        due_targets = frozenset(vm.target_id for vm in waiting)
        wave_vms = [self._describe_vm(vm, now_s, due_targets) for vm in waiting]
        others = self._list_other_down_vms(wave)
        emptying_limit = max(0, wave.limit - len(orders.keys() | others))
        for chosen in choose_emptying(wave_vms, self._count_vms_by_pool(), emptying_limit):
            self._start_emptying(self._watch.vms[chosen.name], now_s)
        left_s = self._rules.get_wave_end_s(wave.wave) - now_s
        unconfirmed = [
            order.vm
            for order in orders.values()
            if order.confirmed_s is None and now_s - order.sent_s > RESEND_AFTER_S
        ]
        emptying = [vm for vm in waiting if vm.target_id in self._emptying_since_s]
        sort_keys = {each.name: compute_maintenance_sort_key(each) for each in wave_vms}
        emptying.sort(key=lambda vm: sort_keys[vm.name])
        ready = [vm for vm in emptying if self._is_ready(vm, left_s)]
        reserved = unconfirmed + [vm.name for vm in ready]
        if not reserved or not await self._reservations.reserve(reserved):
            return
        for vm in ready:
            if len(orders.keys() | others) < wave.limit:
                await self._order_if_empty(wave, vm, orders, left_s)
        # A list that was read during the reservation may lack some of these VMs.
        listed = [self._watch.vms[name] for name in unconfirmed if name in self._watch.vms]
        for vm in listed:
            await self._order(wave, vm, orders)
        await self._store_done()

    def _list_other_down_vms(self, wave: MaintenanceWave) -> set[str]:
        """Return the VMs in maintenance, and those that an earlier holder may have ordered."""
        listed = self._watch.vms
        return {
            name
            for name in wave.vms
            if (name in listed and listed[name].in_maintenance)
            or not self._reservations.may_reserve(name)
        }

    def _is_ready(self, vm: Vm, left_s: float) -> bool:
        """Return whether a VM that is being emptied may go down; evict tasks that block it."""
        now_s = self._clock.read_monotonic_s()
        wave_vm = self._describe_vm(vm, now_s)
        if wave_vm.blocked:
            self._evict(vm, now_s)
        return may_go_down(wave_vm, left_s)

    async def _order_if_empty(
        self, wave: MaintenanceWave, vm: Vm, orders: dict[str, VmOrder], left_s: float
    ) -> None:
        # During the reservation the VM may have got work, and its steps further unavailable tasks.
        if may_go_down(self._describe_vm(vm, self._clock.read_monotonic_s()), left_s):
            await self._order(wave, vm, orders)

    def _count_vms_by_pool(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for vm in self._watch.vms.values():
            counts[vm.pool] = counts.get(vm.pool, 0) + 1
        return counts

    def _evict(self, vm: Vm, now_s: float) -> None:
        record = self._state.targets.get(vm.target_id)
        if record is not None and self._keeper.is_valid():
            self._publish(evict_colocated(self._state, record, now_s))

    def _start_emptying(self, vm: Vm, now_s: float) -> None:
        record = self._state.targets.get(vm.target_id)
        if record is not None:
            record.emptying = True
        self._emptying_since_s[vm.target_id] = now_s

    def _describe_vm(
        self, vm: Vm, now_s: float, due_targets: Collection[str] = NO_TARGETS
    ) -> WaveVm:
        record = self._state.targets.get(vm.target_id)
        since_s = self._emptying_since_s.get(vm.target_id)
        work = 0 if record is None else count_short_runs(self._state, record)
        health = [] if record is None else list_step_health(self._state, record)
        return WaveVm(
            name=vm.name,
            pool=vm.pool,
            up=vm.up,
            emptying=since_s is not None,
            emptying_for_s=0 if since_s is None else now_s - since_s,
            work=work,
            blocked=self._may_have_unknown_runs(record, now_s) or is_blocked(vm.target_id, health),
            serves=any(step.limit for step in health),
            rounds=count_rounds(due_targets, health),
        )

    def _may_have_unknown_runs(self, record: TargetRecord | None, now_s: float) -> bool:
        """Return whether the target may have runs of an earlier holder not known to this one."""
        if record is None or record.reported:
            return False
        return now_s - self._term.taken_s < EARLIER_RUNS_LAPSE_S

    async def _order(self, wave: MaintenanceWave, vm: Vm, orders: dict[str, VmOrder]) -> None:
        if not (self._keeper.is_valid() and self._reservations.may_send(vm.name)):
            return
        now_s = self._clock.read_monotonic_s()
        record = self._state.targets.get(vm.target_id)
        if record is not None:
            record.apply_vm_order()
        order = orders.setdefault(vm.name, VmOrder(vm.name, vm.target_id, now_s))
        order.sent_s = now_s
        answer = await self._vm_client.maintain(vm.name, wave.wave, self._node, self._term.epoch)
        log.info('VM %s: maintenance ordered in wave %d: %s', vm.name, wave.wave, answer)
        if answer is VmOrderAnswer.DONE:
            order.confirmed_s = self._clock.read_monotonic_s()
            # The maintenance has begun; a later holder must not order it again.
            self._done[wave.wave].add(vm.name)
            self._watch.request_read()
        elif answer is VmOrderAnswer.REFUSED:
            del orders[vm.name]
            self._resume_work(vm.target_id)

    async def _store_done(self) -> None:
        """Store the VMs whose maintenance is done or has begun, when there are more of them."""
        count = sum(map(len, self._done.values()))
        if count == self._stored_count:
            return
        change = RowChange(
            TABLE_TERM, MAINTENANCE_KEY, encode_maintenance(self._done), self._done_version
        )
        try:
            self._done_version = await self._rows.commit(HOLDER_PARTITION, [change])
        except RowsChangedError as error:
            for row in error.rows:
                self._done_version = row.version
        else:
            self._stored_count = count

    async def _publish_wave(self, wave: MaintenanceWave, complete: bool) -> None:
        """Write the state of the wave for the operator, when it has changed."""
        if self._published_complete.get(wave.wave) is complete:
            return
        change = RowChange(TABLE_STATUS, f'{PREFIX_WAVE}{wave.wave}', encode_wave_state(complete))
        await self._rows.commit('', [change])
        self._published_complete[wave.wave] = complete
        log.info('maintenance wave %d: %s', wave.wave, 'complete' if complete else 'in progress')


def _read_done(row: StoredRow) -> dict[int, set[str]]:
    """Return the VMs done by wave.

    Without a readable row all VMs count as due. That is safe, because the VM service doesn't carry
    out a maintenance again that is done.
    """
    try:
        return decode_maintenance(row.payload)
    except RowFormatError as error:
        log.warning('maintenance row unreadable, so all VMs of the waves are due: %s', error)
        return {}
