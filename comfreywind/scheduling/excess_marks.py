"""Marks the jobs of teams beyond their share, which go after those of other teams."""

from collections.abc import Mapping

from comfreywind.scheduling.queue_wait import QueueWait
from comfreywind.scheduling.scheduler_state import SchedulerState


def mark_excess(state: SchedulerState, waits: Mapping[str, QueueWait]) -> None:
    """Mark the jobs that have not begun of the teams that are listed in the waits of their queue.

    Among jobs that can be on time the order of work puts marked ones last, so a team within its
    share does not wait for the backlog of another. Jobs that have begun keep their place, because
    work on them would be lost.
    """
    for record in state.open_jobs.values():
        wait = waits.get(record.job.queue.name)
        beyond = wait is not None and record.job.team in wait.team_waits_s
        record.excess = beyond and not (record.runs or record.progress.done)
