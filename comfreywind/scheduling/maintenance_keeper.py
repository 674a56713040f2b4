"""Carries out the maintenance waves that the operator asks for."""

import logging
from collections.abc import Callable, Collection

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.scheduling.handover import compute_earlier_lapse_s
from comfreywind.decisions.scheduling.maintenance import (
    WaveVm,
    choose_emptying,
    compute_maintenance_sort_key,
    count_rounds,
    is_blocked,
    may_go_down,
)
from comfreywind.errors import StoreUnavailableError
from comfreywind.jobs.maintenance_wave import MaintenanceWave
from comfreywind.jobs.vm import Vm
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange
from comfreywind.platform.vm_client import VmClient, VmOrderAnswer
from comfreywind.platform.wave_codec import encode_wave_state
from comfreywind.platform.wire import PREFIX_WAVE, TABLE_STATUS
from comfreywind.scheduling.maintenance_record import MaintenanceRecord
from comfreywind.scheduling.order_reservations import OrderReservations
from comfreywind.scheduling.orders import Order
from comfreywind.scheduling.rules_follower import RulesFollower
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_record import TargetRecord
from comfreywind.scheduling.term_keeper import HeldTerm, TermKeeper
from comfreywind.scheduling.vm_availability import (
    count_short_runs,
    evict_colocated,
    list_step_health,
)
from comfreywind.scheduling.vm_watch import VmWatch
from comfreywind.scheduling.wave_orders import WaveOrders

INTERVAL_S = 0.3
# Nothing is ordered by a list of VMs that is older.
LIST_AGE_LIMIT_S = 2.5
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
        self._orders: dict[int, WaveOrders] = {}
        self._emptying_since_s: dict[str, float] = {}
        self._record = MaintenanceRecord(rows)
        self._published_complete: dict[int, bool] = {}
        self._completed: dict[int, MaintenanceWave] = {}

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
            # The operator may have added VMs to a wave since it was complete.
            if self._orders.get(number) or self._completed.get(number) != wave
        ]

    async def _load(self) -> None:
        while True:
            try:
                return await self._record.load()
            except StoreUnavailableError as error:
                log.info('maintenance row not read, retrying: %s', error)
            await trio.sleep(INTERVAL_S)

    async def _advance_waves(self) -> None:
        now_s = self._clock.read_monotonic_s()
        stale = self._watch.get_list_age_s(now_s) > LIST_AGE_LIMIT_S
        if stale or not self._keeper.is_valid():
            return
        for wave in self._list_open():
            await self._advance_wave(wave, now_s)

    async def _advance_wave(self, wave: MaintenanceWave, now_s: float) -> None:
        orders = self._orders.setdefault(wave.wave, WaveOrders(self._watch))
        self._close_orders(orders, now_s)
        await self._record.store()
        due = [name for name in wave.vms if self._is_due(wave, name)]
        due_vms = [self._watch.vms[name] for name in due if name in self._watch.vms]
        self._mark_due(due_vms)
        await self._publish_wave(wave, complete=not due and self._record.is_stored())
        await self._empty_and_order(wave, due_vms, orders, now_s)

    def _is_due(self, wave: MaintenanceWave, name: str) -> bool:
        """Return whether the VM still exists and its maintenance has not begun.

        Only the confirmation of the VM service shows that it has: a VM may also go down, or come
        back as another target, because it has crashed.
        """
        return not (self._record.has_begun(wave.wave, name) or self._watch.is_removed(name))

    def _mark_due(self, due_vms: list[Vm]) -> None:
        for vm in due_vms:
            record = self._state.targets.get(vm.target_id)
            if record is not None:
                record.maintenance_due = True

    def _close_orders(self, orders: WaveOrders, now_s: float) -> None:
        for order in orders:
            vm = self._watch.vms.get(order.vm)
            if vm is not None and not (vm.up and vm.target_id == order.target_id):
                self._drop_target(order.target_id, now_s)
            if orders.is_closed(order, now_s):
                log.info('VM %s: maintenance done after %.1f s', order.vm, now_s - order.sent_s)
                orders.remove(order.vm)
                self._resume_work(order.target_id)

    def _drop_target(self, target_id: str, now_s: float) -> None:
        record = self._state.targets.get(target_id)
        if record is not None and record.runs:
            self._state.requeue_runs(record)
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
        self, wave: MaintenanceWave, due_vms: list[Vm], orders: WaveOrders, now_s: float
    ) -> None:
        waiting = [
            vm for vm in due_vms if orders.may_empty(vm) and self._reservations.may_reserve(vm.name)
        ]
        others = self._list_other_down_vms(wave)
        self._choose_emptying(wave, waiting, orders, others, now_s)
        left_s = self._rules.get_wave_end_s(wave.wave) - now_s
        unconfirmed = [vm.name for vm in due_vms if orders.needs_resending(vm, now_s)]
        ready = [vm for vm in self._sort_emptying(waiting, now_s) if self._is_ready(vm, left_s)]
        reserved = unconfirmed + [vm.name for vm in ready]
        if not reserved or not await self._reservations.reserve(reserved):
            return
        for vm in ready:
            if len((orders.names | others) - {vm.name}) < wave.limit:
                await self._order_if_empty(wave, vm, orders, left_s)
        # A list that was read during the reservation may lack some of these VMs.
        listed = [self._watch.vms[name] for name in unconfirmed if name in self._watch.vms]
        for vm in listed:
            await self._order(wave, vm, orders)
        await self._record.store()

    def _choose_emptying(
        self,
        wave: MaintenanceWave,
        waiting: list[Vm],
        orders: WaveOrders,
        others: set[str],
        now_s: float,
    ) -> None:
        """Begin to empty the next VMs; those that were ordered before go on in their new life."""
        restarted = {vm.name for vm in waiting if orders.is_restarted(vm)}
        for vm in waiting:
            if vm.name in restarted and vm.target_id not in self._emptying_since_s:
                self._start_emptying(vm, now_s)
        limit = max(0, wave.limit - len((orders.names | others) - restarted))
        wave_vms = self._describe_vms(waiting, now_s)
        for chosen in choose_emptying(wave_vms, self._count_vms_by_pool(), limit):
            self._start_emptying(self._watch.vms[chosen.name], now_s)

    def _sort_emptying(self, waiting: list[Vm], now_s: float) -> list[Vm]:
        """Return the VMs that are being emptied, in the order in which they are to go down."""
        sort_keys = {
            each.name: compute_maintenance_sort_key(each)
            for each in self._describe_vms(waiting, now_s)
        }
        emptying = [vm for vm in waiting if vm.target_id in self._emptying_since_s]
        return sorted(emptying, key=lambda vm: sort_keys[vm.name])

    def _describe_vms(self, vms: list[Vm], now_s: float) -> list[WaveVm]:
        due_targets = frozenset(vm.target_id for vm in vms)
        return [self._describe_vm(vm, now_s, due_targets) for vm in vms]

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
        self, wave: MaintenanceWave, vm: Vm, orders: WaveOrders, left_s: float
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
        return now_s - self._term.taken_s < compute_earlier_lapse_s(self._state.lease_limit_s)

    async def _order(self, wave: MaintenanceWave, vm: Vm, orders: WaveOrders) -> None:
        if not (self._keeper.is_valid() and self._reservations.may_send(vm.name)):
            return
        now_s = self._clock.read_monotonic_s()
        record = self._state.targets.get(vm.target_id)
        if record is not None:
            record.apply_vm_order()
        order = orders.begin_attempt(vm, now_s)
        answer = await self._vm_client.maintain(vm.name, wave.wave, self._node, self._term.epoch)
        log.info('VM %s: maintenance ordered in wave %d: %s', vm.name, wave.wave, answer)
        if answer is VmOrderAnswer.DONE:
            order.confirmed_s = self._clock.read_monotonic_s()
            self._record.add(wave.wave, vm.name)
            self._watch.request_read()
        elif answer is VmOrderAnswer.UNKNOWN:
            order.may_be_pending = True
        elif not order.may_be_pending:
            # An earlier attempt may be the reason of a refusal, so only the first one ends the order.
            orders.remove(vm.name)
            self._resume_work(vm.target_id)

    async def _publish_wave(self, wave: MaintenanceWave, complete: bool) -> None:
        """Write the state of the wave for the operator, when it has changed."""
        if self._published_complete.get(wave.wave) is not complete:
            await self._write_wave_state(wave, complete)
        if complete:
            self._completed[wave.wave] = wave

    async def _write_wave_state(self, wave: MaintenanceWave, complete: bool) -> None:
        change = RowChange(TABLE_STATUS, f'{PREFIX_WAVE}{wave.wave}', encode_wave_state(complete))
        await self._rows.commit('', [change])
        self._published_complete[wave.wave] = complete
        log.info('maintenance wave %d: %s', wave.wave, 'complete' if complete else 'in progress')
