"""Fleets whose maintenance waves take seconds."""

import copy
from typing import Any

from bench.fleet import Fleet
from bench.fleet_plan import DEFAULT_BUNDLE, FleetPlan

POOL = 'crossings'
QUICK_TIMINGS = {
    'drain_notice_s': 0.2,
    'feed_interval_s': 0.2,
    'vm_list_interval_s': 0.2,
    'fresh_s': 3,
    'session_ttl_s': 1,
    'control_interval_s': 0.2,
    'control_quiet_s': 0.3,
    'control_renew_s': 0.4,
    'control_ttl_s': 1.5,
    'control_handover_s': 3,
    'probe_timeout_s': 0.5,
    'doubt_s': 0.4,
    'suspect_s': 1.5,
    'reboot_retry_s': 0.5,
    'run_margin_s': 0.2,
    'decision_flush_s': 1,
}


def make_plan(
    count: int, vms_per_rack: int, period_s: float = 2, spares: int = 1, **fields: Any
) -> FleetPlan:
    """Return a plan with one pool in one data centre and some spare VMs.

    Required is half of the pool; further fields are those of the pool in the bundle.
    """
    bundle = copy.deepcopy(DEFAULT_BUNDLE)
    bundle['pools'][POOL].update(
        max_run_s=2, maintenance_period_s=period_s, maintenance_lead_s=0, **fields
    )
    bundle['pools']['reserve'].update(max_run_s=2, maintenance_enabled=False)
    return FleetPlan(
        executors_by_pool={POOL: count, 'reserve': spares},
        vms_per_rack=vms_per_rack,
        data_centres=('dc-1',),
        bundle=bundle,
        timings=dict(QUICK_TIMINGS),
        vm_list_lag_s=0.2,
        target_process_by_rack=True,
    )


def was_maintained(fleet: Fleet) -> bool:
    """Return whether each VM of the pool was rebooted at least once."""
    rows = fleet.read_table('vms')
    own = [rows[vm['name']] for vm in fleet.vms if vm['pool'] == POOL]
    return all(row['incarnation'] >= 2 for row in own)
