"""Describes a target for the choice of a place."""

from comfreywind.decisions.scheduling.placement import TargetCapacity
from comfreywind.scheduling.target_record import TargetRecord


def describe_capacity(target: TargetRecord) -> TargetCapacity:
    """Return what decides whether a task is placed on the target."""
    return TargetCapacity(
        target.entry.target_id,
        target.free,
        target.entry.labels,
        serving=any(run.tail_latency_limit_ms for run in target.runs.values()),
        maintenance_due=target.maintenance_due,
    )
