"""Pools for tests of the decisions and for the models."""

from dataclasses import replace
from typing import Any

from comfreywind.decisions.pools.pool_policy import PoolPolicy
from comfreywind.decisions.pools.pool_snapshot import PoolSnapshot
from comfreywind.decisions.pools.pool_vm import PoolVm
from comfreywind.decisions.pools.vm_health import VmHealth

NOW_S = 1000.0
POLICY = PoolPolicy(
    minimum_available_ratio=0.5,
    tolerate='none',
    spare=False,
    maintenance_enabled=True,
    maintenance_period_s=500,
    maintenance_lead_s=100,
    spare_hold_s=60,
    doubt_s=1,
    suspect_s=10,
    reboot_limit_s=30,
    retire_s=100,
)
SPARE_POLICY = replace(POLICY, spare=True)


def make_vms(prefix: str, count: int, vms_per_rack: int = 1, **fields: Any) -> tuple[PoolVm, ...]:
    """Return VMs of the pool `<prefix>`, named `<prefix>-<index>`, due for maintenance, in racks of the given size."""
    return tuple(
        PoolVm(
            name=f'{prefix}-{index}',
            **{
                'pool': prefix,
                'home_pool': prefix,
                'rack': f'rack-{index // vms_per_rack}',
                'data_centre': 'dc-1',
                **fields,
            },
        )
        for index in range(count)
    )


def make_snapshot(vms: tuple[PoolVm, ...], **fields: Any) -> PoolSnapshot:
    """Return a snapshot of the pool `crossings` in which all VMs work."""
    health = {vm.name: make_health(vm.incarnation) for vm in vms}
    return PoolSnapshot(
        **{
            'name': 'crossings',
            'now_s': NOW_S,
            'policy': POLICY,
            'vms': vms,
            **fields,
            'health': {**health, **fields.get('health', {})},
        }
    )


def make_health(incarnation: int = 1, works: bool = True, unchanged_s: float = 100) -> VmHealth:
    """Return the health of a VM that has worked, or failed, for the time."""
    return VmHealth(works, unchanged_s, listed=True, incarnation=incarnation)
