"""Returns the rules of a pool, including one that was removed from the bundle."""

from comfreywind.bundle.rules import PoolRules, Rules

# Placeholder for the limits of a removed pool; they are unused, since no queue sends work to it.
UNUSED_LIMIT = 1


def get_pool_rules(rules: Rules, pool: str) -> PoolRules:
    """Return the rules of the pool.

    A pool that still has VMs but is no longer in the bundle requires nothing and is not maintained,
    so it returns borrowed VMs to their home pools.
    """
    known = rules.pools.get(pool)
    if known is not None:
        return known
    return PoolRules(
        name=pool,
        max_run_s=UNUSED_LIMIT,
        minimum_available_ratio=0,
        tolerate='none',
        spare=False,
        slots_per_vm=UNUSED_LIMIT,
        connections_per_vm=UNUSED_LIMIT,
        maintenance_enabled=False,
        spare_hold_s=0,
    )
