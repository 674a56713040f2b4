"""Revokes start orders that may still be carried out in an evacuated data centre."""

from collections.abc import Collection

from comfreywind.scheduling.run_record import RunState
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_record import TargetRecord

UNANSWERED_STATES = frozenset((RunState.STARTING, RunState.UNCONFIRMED))


def revoke_unanswered_starts(
    scheduler_state: SchedulerState, data_centres: Collection[str]
) -> list[TargetRecord]:
    """Raise the fence of each target there that has a start order without a reply.

    Such an order may be carried out up to 12 s later. A target that has replied to a call with the
    raised fence refuses it. Returns the targets, which have to be polled.
    """
    open_targets = {known.target_id for known in scheduler_state.open_starts.by_key.values()}
    revoked = [
        record
        for target_id, record in scheduler_state.targets.items()
        if record.entry.data_centre in data_centres
        and record.doubt.settled
        and (target_id in open_targets or _has_unanswered_start(record))
    ]
    for record in revoked:
        record.raise_fence()
    return revoked


def _has_unanswered_start(record: TargetRecord) -> bool:
    return any(run.state in UNANSWERED_STATES for run in record.runs.values())
