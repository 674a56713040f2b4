"""Converts between rows of the table `vms` and `PoolVm`."""

from dataclasses import asdict
from typing import Any

from comfreywind.decisions.pools.pool_vm import PoolVm, VmState
from comfreywind.platform.row import Row
from comfreywind.platform.vm_entry import VmEntry


def parse_vm_row(row: Row) -> PoolVm:
    """Return the VM in the row, which must not be deleted."""
    fields = row.value or {}
    return PoolVm(
        name=row.key,
        state=VmState(fields['state']),
        incarnation=int(fields['incarnation']),
        move_to=fields['move_to'],
        pool=str(fields['pool']),
        home_pool=str(fields['home_pool']),
        rack=str(fields['rack']),
        data_centre=str(fields['data_centre']),
        since_s=float(fields['since_s']),
        pool_since_s=float(fields['pool_since_s']),
        last_maintained_s=float(fields['last_maintained_s']),
    )


def make_vm_fields(vm: PoolVm) -> dict[str, Any]:
    """Return the value of the VM's row."""
    fields = asdict(vm)
    fields.pop('name')
    return {**fields, 'state': vm.state.value}


def make_new_vm(listed: VmEntry, now_s: float) -> PoolVm:
    """Return the VM for its first row; its maintenance period starts now."""
    return PoolVm(
        name=listed.name,
        pool=listed.pool,
        home_pool=listed.pool,
        rack=listed.rack,
        data_centre=listed.data_centre,
        incarnation=listed.incarnation,
        since_s=now_s,
        pool_since_s=now_s,
        last_maintained_s=now_s,
    )
