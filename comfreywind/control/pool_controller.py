"""Controls one pool while this entry holds its lease."""

import logging
from collections.abc import Collection, Iterator

import trio

from comfreywind.bundle.rules import Rules
from comfreywind.control.control_parts import ControlComponents
from comfreywind.control.lease_watch import LeaseWatch
from comfreywind.control.pool_lookup import get_pool_rules
from comfreywind.control.pool_row import make_pool_fields
from comfreywind.control.quiet_watch import QuietWatch
from comfreywind.control.rebooter import Rebooter
from comfreywind.control.snapshot_maker import make_snapshot, read_requested_counts
from comfreywind.control.vm_row import make_new_vm, make_vm_fields
from comfreywind.decisions.pools.holder import LeaseStep
from comfreywind.decisions.pools.pool_plan import PoolPlan, plan_pool
from comfreywind.decisions.pools.pool_snapshot import PoolSnapshot
from comfreywind.errors import PlatformError, RowConflictError
from comfreywind.platform.row_write import MISSING_VERSION, RowWrite
from comfreywind.platform.table_names import TABLE_BUDGETS, TABLE_CONTROL, TABLE_VMS
from comfreywind.platform.vm_entry import VmEntry

RELEASE_RETRY_S = 0.05

log = logging.getLogger('comfreywind.control')


class PoolController:
    """Takes, keeps or releases the control lease of a pool and, as holder, changes its VMs.

    Each cycle is decided from one snapshot of the change feed and committed on condition that the
    lease row still has its version in that snapshot. A write whose reply was lost therefore needs
    no repair: if it took effect, further writes conflict until the feed shows it.
    """

    def __init__(self, pool: str, components: ControlComponents) -> None:
        """Start without the lease."""
        self._pool = pool
        self._components = components
        self._lease = LeaseWatch(
            pool, components.name, components.incarnation, components.view, components.clock
        )
        self._rebooter = Rebooter(pool, components)
        self._quiet = QuietWatch(
            pool, components.view, components.health, components.timings.control_quiet_s
        )
        self._awaited_version = 0
        self._committed_s = float('-inf')

    def is_held(self) -> bool:
        """Return whether this entry holds the lease, as far as it knows."""
        return self._lease.is_held()

    async def tick(self, rules: Rules, listed: Collection[VmEntry]) -> None:
        """Run one control cycle; `listed` are the VMs of this pool on the VM list.

        What could not be done because the platform failed is decided again in a later cycle.
        """
        if self._is_view_behind():
            return
        step = self._lease.decide(self._components.members.list_alive(), self._components.timings)
        if step == LeaseStep.KEEP:
            await self._run_cycle(rules, listed)
        elif step != LeaseStep.NOTHING:
            await self._change_holder(step)

    async def release(self) -> None:
        """Release the lease if it is held, so that another entry can take it at once.

        A release that is decided before the feed shows this entry's own last write would conflict
        with it, so this method waits for the feed and retries after a conflict. The caller sets the
        timeout.
        """
        while self._is_view_behind() or self._lease.is_held():
            if not self._is_view_behind() and await self._change_holder(LeaseStep.RELEASE):
                return
            await trio.sleep(RELEASE_RETRY_S)

    def _is_view_behind(self) -> bool:
        return self._components.view.read_version(TABLE_CONTROL, self._pool) < self._awaited_version

    async def _change_holder(self, step: LeaseStep) -> bool:
        """Write the lease row; return False on a conflict, True if it may have taken effect."""
        if await self._commit([self._lease.make_write(step)]) is None:
            return False
        log.info('pool %s: sent control lease change: %s', self._pool, step.value)
        cause = f'{self._components.name}: {step.value} the control lease'
        self._components.decisions.record('control', f'pool/{self._pool}', cause)
        return True

    async def _run_cycle(self, rules: Rules, listed: Collection[VmEntry]) -> None:
        now_s = self._components.clock.read_monotonic_s()
        new_vm_writes = list(self._make_new_vm_writes(listed))
        if not new_vm_writes and self._quiet.is_quiet(now_s):
            await self._renew_if_due()
            return
        snapshot = self._make_snapshot(rules)
        plan = plan_pool(snapshot, read_requested_counts(self._components.view, self._pool))
        self._quiet.record_decision(plan, get_pool_rules(rules, self._pool).spare, now_s)
        writes = [
            *new_vm_writes,
            *self._make_vm_writes(plan),
            *self._make_pool_write(plan),
        ]
        if writes or self._is_renewal_due():
            outcome = await self._commit([self._lease.make_write(LeaseStep.KEEP), *writes])
            self._record_plan(plan, outcome)
        await self._rebooter.request_reboots(snapshot.vms)

    async def _renew_if_due(self) -> None:
        if self._is_renewal_due():
            await self._commit([self._lease.make_write(LeaseStep.KEEP)])

    def _make_snapshot(self, rules: Rules) -> PoolSnapshot:
        components = self._components
        pool = get_pool_rules(rules, self._pool)
        now_s = components.read_wall_s()
        vms = components.view.list_pool(self._pool)
        run_limit_s = max(other.max_run_s for other in rules.pools.values())
        run_limit_s += components.timings.run_margin_s
        return make_snapshot(
            pool,
            rules,
            components.view,
            components.health.read([vm.name for vm in vms]),
            components.drains.list_drained(vms, run_limit_s),
            now_s,
            components.timings,
        )

    def _make_new_vm_writes(self, listed: Collection[VmEntry]) -> Iterator[RowWrite]:
        view = self._components.view
        now_s = self._components.read_wall_s()
        for vm in listed:
            if not view.read_version(TABLE_VMS, vm.name):
                fields = make_vm_fields(make_new_vm(vm, now_s))
                yield RowWrite(TABLE_VMS, vm.name, MISSING_VERSION, fields)

    def _make_vm_writes(self, plan: PoolPlan) -> Iterator[RowWrite]:
        for change in plan.changes:
            name = change.before.name
            version = self._components.view.read_version(TABLE_VMS, name)
            fields = None if change.after is None else make_vm_fields(change.after)
            yield RowWrite(TABLE_VMS, name, version, fields)

    def _make_pool_write(self, plan: PoolPlan) -> Iterator[RowWrite]:
        fields = make_pool_fields(plan)
        if self._components.view.read_fields(TABLE_BUDGETS, self._pool) != fields:
            version = self._components.view.read_version(TABLE_BUDGETS, self._pool)
            yield RowWrite(TABLE_BUDGETS, self._pool, version, fields)

    def _is_renewal_due(self) -> bool:
        age_s = self._components.clock.read_monotonic_s() - self._committed_s
        return age_s >= self._components.timings.control_renew_s

    async def _commit(self, writes: list[RowWrite]) -> str | None:
        """Commit the writes; return `yes`, `unknown` if they may have taken effect, None if not."""
        try:
            versions = await self._components.tables.commit(writes)
        except RowConflictError as conflict:
            log.info(
                'pool %s: control write conflicts with a newer row, not applied: %s',
                self._pool,
                conflict,
            )
            return None
        except PlatformError as error:
            log.warning(
                'pool %s: control write failed, it may have taken effect: %s', self._pool, error
            )
            return 'unknown'
        self._awaited_version = versions[0]
        self._committed_s = self._components.clock.read_monotonic_s()
        return 'yes'

    def _record_plan(self, plan: PoolPlan, outcome: str | None) -> None:
        if outcome is None:
            return
        for change in plan.changes:
            before = change.before
            after = change.after
            self._components.decisions.record(
                change.kind,
                f'vm/{before.name}',
                change.cause,
                pool=before.pool,
                before=before.state.value,
                after='no row' if after is None else after.state.value,
                pool_after='' if after is None else (after.move_to or after.pool),
                written=outcome,
                **change.inputs,
            )
        self._record_pool(plan)

    def _record_pool(self, plan: PoolPlan) -> None:
        known = self._components.view.read_fields(TABLE_BUDGETS, self._pool)
        subject = f'pool/{self._pool}'
        figures = {
            'available': plan.budget.available,
            'required': plan.budget.required,
            'tolerated': plan.budget.tolerated,
            'stopping': plan.budget.stopping,
        }
        wave = plan.wave
        if known.get('wave', {}).get('state') != wave.state.value:
            self._components.decisions.record(
                'wave', subject, f'{wave.state.value}: {wave.cause}', due=wave.due, **figures
            )
        if known.get('wanted', {}) != plan.wanted:
            cause = 'the number of spare VMs wanted has changed'
            self._components.decisions.record(
                'spare', subject, cause, wanted=plan.wanted, **figures
            )
