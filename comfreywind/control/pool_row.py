"""Makes the values of the rows in the table `budgets`."""

from typing import Any

from comfreywind.decisions.pools.pool_plan import PoolPlan


def make_pool_fields(plan: PoolPlan) -> dict[str, Any]:
    """Return the value of the pool's row: budget, planned stops, borrowed VMs, wanted VMs, wave."""
    budget = plan.budget
    return {
        'size': budget.size,
        'required': budget.required,
        'available': budget.available,
        'tolerated': budget.tolerated,
        'margin': budget.margin,
        'stops': sorted(vm.name for vm in plan.vms if vm.stopping),
        'borrowed': sorted(vm.name for vm in plan.vms if vm.borrowed),
        'wanted': plan.wanted,
        'wave': {
            'state': plan.wave.state.value,
            'cause': plan.wave.cause,
            'domain': plan.wave.domain,
            'due': plan.wave.due,
        },
    }
