"""Places that are kept free on targets for tasks that are about to be moved there."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from comfreywind.jobs.resources import Resources
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_record import TargetRecord

# A hold ends after this time even if its task has not been started, because what it waits for, such
# as the end of tasks on the target, may not come.
HOLD_LIMIT_S = 10.0


@dataclass(frozen=True, slots=True)
class PlaceHold:
    """A place for one task on a target, kept since a time on the holder's steady clock."""

    target: TargetRecord
    request: Resources
    since_s: float


class PlaceHolds:
    """Owns the holds; the capacity that they take is not free for other tasks."""

    def __init__(self, scheduler_state: SchedulerState) -> None:
        """Keep places on the targets of the scheduler state."""
        self._state = scheduler_state
        self.by_key: dict[TaskKey, PlaceHold] = {}

    def add(self, key: TaskKey, target: TargetRecord, request: Resources, now_s: float) -> None:
        """Keep a place for a task, in place of an earlier one."""
        self.release(key)
        self.by_key[key] = PlaceHold(target, request, now_s)
        target.held = target.held.add(request)

    def release(self, key: TaskKey) -> None:
        """Give the place of a task up, if it has one."""
        hold = self.by_key.pop(key, None)
        if hold is not None:
            hold.target.held = hold.target.held.subtract(hold.request)

    def renew(self, key: TaskKey, now_s: float) -> None:
        """Keep a place from now on for as long as a new one."""
        self.by_key[key] = replace(self.by_key[key], since_s=now_s)

    def get_target_id(self, key: TaskKey) -> str:
        """Return the target on which a place is kept for the task."""
        target = self.by_key[key].target
        return target.entry.target_id

    def release_ended(self) -> None:
        """Give up the places of tasks whose runs have ended, before they are planned.

        The members of a gang, which start together, are released together.
        """
        for key in list(self.by_key):
            job = self._state.jobs.get(key.job_id)
            if job is None or not job.open or self._has_ended(key):
                self.release(key)

    def drop_invalid(self, valid_targets: Iterable[str], now_s: float) -> None:
        """Give up the places on other targets, and those that have been kept for too long."""
        valid = frozenset(valid_targets)
        for key, hold in list(self.by_key.items()):
            if hold.target.entry.target_id not in valid or now_s - hold.since_s > HOLD_LIMIT_S:
                self.release(key)

    def has_room(self, hold: PlaceHold) -> bool:
        """Return whether the place is free now, and not only reserved on a target that is full."""
        return hold.request.fits(hold.target.free.add(hold.request))

    def _has_ended(self, key: TaskKey) -> bool:
        job = self._state.jobs[key.job_id]
        return not any(member in job.runs for member in job.list_tasks_sharing_end(key))
