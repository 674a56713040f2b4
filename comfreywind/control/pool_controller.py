"""The control work of one pool."""

import logging
from collections.abc import Collection, Iterator

import trio

from comfreywind.bundle.rules import Rules
from comfreywind.control.control_parts import ControlParts
from comfreywind.control.lease_watch import LeaseWatch
from comfreywind.control.pool_lookup import find_pool_rules
from comfreywind.control.pool_row import make_pool_fields
from comfreywind.control.quiet_watch import QuietWatch
from comfreywind.control.rebooter import Rebooter
from comfreywind.control.snapshot_maker import make_snapshot, read_asked
from comfreywind.control.vm_row import make_first_vm, make_vm_fields
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
    """Holds the control lease of a pool when it should and does one step of the work a tick.

    Each step is decided from one state of the change feed and committed on condition that the
    lease row still has the version of that state. A write whose reply was lost therefore needs no
    repair: either the feed shows it, or the next write fails until the feed does.
    """

    def __init__(self, pool: str, parts: ControlParts) -> None:
        """Start without the lease."""
        self._pool = pool
        self._parts = parts
        self._lease = LeaseWatch(pool, parts.name, parts.incarnation, parts.view, parts.clock)
        self._rebooter = Rebooter(pool, parts)
        self._quiet = QuietWatch(pool, parts.view, parts.health, parts.timings.control_quiet_s)
        self._awaited_version = 0
        self._committed_s = float('-inf')

    def is_held(self) -> bool:
        """Return whether this entry holds the lease, as far as it knows."""
        return self._lease.is_held()

    async def tick(self, rules: Rules, listed: Collection[VmEntry]) -> None:
        """Do what is due, with the VMs that the list shows in this pool.

        Failures of the platform leave work for a later tick.
        """
        if self._is_behind():
            return
        step = self._lease.decide(self._parts.members.list_alive(), self._parts.timings)
        if step == LeaseStep.KEEP:
            await self._work(rules, listed)
        elif step != LeaseStep.NOTHING:
            await self._change_holder(step)

    async def release(self) -> None:
        """Give up the lease if it is held, so that another entry can take it at once.

        A release from a state that lacks this entry's own last write would conflict with it, so it
        waits for the change feed and is repeated after a conflict. The caller bounds the time.
        """
        while self._is_behind() or self._lease.is_held():
            if not self._is_behind() and await self._change_holder(LeaseStep.RELEASE):
                return
            await trio.sleep(RELEASE_RETRY_S)

    def _is_behind(self) -> bool:
        return self._parts.view.read_version(TABLE_CONTROL, self._pool) < self._awaited_version

    async def _change_holder(self, step: LeaseStep) -> bool:
        """Write the step and return whether it took effect or may have."""
        if await self._commit([self._lease.make_write(step)]) is None:
            return False
        log.info('control of pool %s: %s', self._pool, step.value)
        cause = f'{self._parts.name}: {step.value} the control lease'
        self._parts.decisions.record('control', f'pool/{self._pool}', cause)
        return True

    async def _work(self, rules: Rules, listed: Collection[VmEntry]) -> None:
        now_s = self._parts.clock.read_monotonic_s()
        first_rows = list(self._make_first_rows(listed))
        if not first_rows and self._quiet.is_quiet(now_s):
            await self._renew()
            return
        snapshot = self._make_snapshot(rules)
        plan = plan_pool(snapshot, read_asked(self._parts.view, self._pool))
        self._quiet.note(plan, find_pool_rules(rules, self._pool).spare, now_s)
        writes = [
            *first_rows,
            *self._make_vm_writes(plan),
            *self._make_pool_write(plan),
        ]
        if writes or self._is_renewal_due():
            outcome = await self._commit([self._lease.make_write(LeaseStep.KEEP), *writes])
            self._record(plan, outcome)
        await self._rebooter.call_reboots(snapshot.vms)

    async def _renew(self) -> None:
        if self._is_renewal_due():
            await self._commit([self._lease.make_write(LeaseStep.KEEP)])

    def _make_snapshot(self, rules: Rules) -> PoolSnapshot:
        parts = self._parts
        pool = find_pool_rules(rules, self._pool)
        now_s = parts.read_wall_s()
        vms = parts.view.list_pool(self._pool)
        run_limit_s = max(other.max_run_s for other in rules.pools.values())
        run_limit_s += parts.timings.run_margin_s
        return make_snapshot(
            pool,
            rules,
            parts.view,
            parts.health.read([vm.name for vm in vms]),
            parts.drains.find_drained(vms, run_limit_s),
            now_s,
            parts.timings,
        )

    def _make_first_rows(self, listed: Collection[VmEntry]) -> Iterator[RowWrite]:
        view = self._parts.view
        now_s = self._parts.read_wall_s()
        for vm in listed:
            if not view.read_version(TABLE_VMS, vm.name):
                fields = make_vm_fields(make_first_vm(vm, now_s))
                yield RowWrite(TABLE_VMS, vm.name, MISSING_VERSION, fields)

    def _make_vm_writes(self, plan: PoolPlan) -> Iterator[RowWrite]:
        for change in plan.changes:
            name = change.before.name
            version = self._parts.view.read_version(TABLE_VMS, name)
            fields = None if change.after is None else make_vm_fields(change.after)
            yield RowWrite(TABLE_VMS, name, version, fields)

    def _make_pool_write(self, plan: PoolPlan) -> Iterator[RowWrite]:
        fields = make_pool_fields(plan)
        if self._parts.view.read_fields(TABLE_BUDGETS, self._pool) != fields:
            version = self._parts.view.read_version(TABLE_BUDGETS, self._pool)
            yield RowWrite(TABLE_BUDGETS, self._pool, version, fields)

    def _is_renewal_due(self) -> bool:
        age_s = self._parts.clock.read_monotonic_s() - self._committed_s
        return age_s >= self._parts.timings.control_renew_s

    async def _commit(self, writes: list[RowWrite]) -> str | None:
        """Commit and return whether the writes took effect: `yes`, `unknown` or None for no."""
        try:
            versions = await self._parts.tables.commit(writes)
        except RowConflictError as conflict:
            log.info('pool %s: %s', self._pool, conflict)
            return None
        except PlatformError as error:
            log.warning('pool %s: a write got no answer: %s', self._pool, error)
            return 'unknown'
        self._awaited_version = versions[0]
        self._committed_s = self._parts.clock.read_monotonic_s()
        return 'yes'

    def _record(self, plan: PoolPlan, outcome: str | None) -> None:
        if outcome is None:
            return
        for change in plan.changes:
            before = change.before
            after = change.after
            self._parts.decisions.record(
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
        known = self._parts.view.read_fields(TABLE_BUDGETS, self._pool)
        subject = f'pool/{self._pool}'
        figures = {
            'available': plan.budget.available,
            'required': plan.budget.required,
            'tolerated': plan.budget.tolerated,
            'stopping': plan.budget.stopping,
        }
        wave = plan.wave
        if known.get('wave', {}).get('state') != wave.state.value:
            self._parts.decisions.record(
                'wave', subject, f'{wave.state.value}: {wave.cause}', due=wave.due, **figures
            )
        if known.get('wanted', {}) != plan.wanted:
            cause = 'the number of spare VMs wanted has changed'
            self._parts.decisions.record('spare', subject, cause, wanted=plan.wanted, **figures)
