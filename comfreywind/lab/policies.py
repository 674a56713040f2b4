"""The policies that the lab knows by name."""

from comfreywind.decisions.scheduling.pool_policy import PoolPolicy
from comfreywind.decisions.scheduling.work_order import JobUrgency
from comfreywind.lab.lab_policy import LabPolicy


def find_arrival_turn(standing: JobUrgency, now_ms: float) -> tuple[float, ...]:
    """Return the sort key of first in, first out."""
    return (standing.accepted_ms,)


POLICIES = {
    policy.name: policy
    for policy in (
        LabPolicy('usual', PoolPolicy()),
        # The policy before 2026-12-04: six VMs at a time, no base.
        LabPolicy(
            'earlier',
            PoolPolicy(arrival_limit=6, base_part=0, shrink_after_s=2.5),
        ),
        LabPolicy('arrival-order', PoolPolicy(), find_arrival_turn),
        LabPolicy('naive', None, find_arrival_turn),
    )
}
