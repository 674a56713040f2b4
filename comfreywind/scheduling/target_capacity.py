"""Describes a target for the choice of a place."""

from comfreywind.decisions.scheduling.placement import TargetCapacity
from comfreywind.jobs.resources import Resources
from comfreywind.scheduling.target_record import TargetRecord


def describe_capacity(
    target: TargetRecord, now_s: float, free: Resources | None = None
) -> TargetCapacity:
    """Return what decides about a place on the target; `free` replaces what is free there now."""
    return TargetCapacity(
        target.entry.target_id,
        target.free if free is None else free,
        target.entry.labels,
        serving=any(run.tail_latency_limit_ms for run in target.runs.values()),
        maintenance_due=target.maintenance_due,
        cold=now_s < target.cold_until_s,
    )
