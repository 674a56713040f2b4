"""The holder's in-memory record of a job."""

from dataclasses import dataclass, field

from comfreywind.decisions.scheduling.work_order import (
    compute_critical_path_ms,
    compute_objective_ms,
)
from comfreywind.jobs.job import Job
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.advice import StepAdvice
from comfreywind.scheduling.run_record import RunRecord
from comfreywind.scheduling.unlock_queue import UnlockQueue


@dataclass(slots=True)
class JobRecord:
    """An open or closed job with the state of its tasks.

    `waiting` holds the tasks that are ready to start, in order. `unlocked` are the steps, as pairs
    of occurrence and step number, whose tasks became ready, and `open_tasks_by_step` counts the
    tasks of each step that are not done. `unlock_queue` tells which steps may be unlockable.
    `suspects` are tasks that may crash their target. `reconciled` is false while a run of an earlier
    holder may exist that this holder does not know. `advice` holds the answers of the advice
    service, by occurrence and step number.
    """

    job: Job
    progress: Progress
    progress_version: int
    reconciled: bool
    excess: bool = False
    waiting: dict[TaskKey, None] = field(default_factory=dict)
    runs: dict[TaskKey, RunRecord] = field(default_factory=dict)
    last_run_ids: dict[TaskKey, int] = field(default_factory=dict)
    failed_on: dict[TaskKey, set[str]] = field(default_factory=dict)
    restarts: dict[TaskKey, int] = field(default_factory=dict)
    suspects: set[TaskKey] = field(default_factory=set)
    unlocked: set[tuple[int, int]] = field(default_factory=set)
    open_tasks_by_step: dict[tuple[int, int], int] = field(default_factory=dict)
    advice: dict[tuple[int, int], StepAdvice] = field(default_factory=dict)
    unlock_queue: UnlockQueue = field(init=False)
    objective_ms: float = 0
    remaining_ms: float = 0

    def __post_init__(self) -> None:
        """Derive the counts and durations of the remaining work from the progress."""
        self.unlock_queue = UnlockQueue(self.job)
        for occurrence in range(self.job.count_occurrences()):
            for number, step in enumerate(self.job.steps):
                self.open_tasks_by_step[occurrence, number] = step.task_count
        for occurrence, number, _ in self.progress.done:
            self.open_tasks_by_step[occurrence, number] -= 1
        # Which of these tasks were beside the one at fault is not stored.
        self.suspects.update(TaskKey(self.job.job_id, *task) for task in self.progress.crashes)
        self.objective_ms = compute_objective_ms(self.job)
        self.update_remaining()

    @property
    def open(self) -> bool:
        """Return whether the job is neither complete nor failed nor cancelled."""
        return not self.progress.state.final

    def mark_done(self, key: TaskKey) -> bool:
        """Mark a task as done; return False when it was done before."""
        task = (key.occurrence, key.step, key.number)
        if task in self.progress.done:
            return False
        self.progress.done.add(task)
        self.progress.checkpoints.pop(task, None)
        self.progress.crashes.pop(task, None)
        self.open_tasks_by_step[key.occurrence, key.step] -= 1
        if not self.open_tasks_by_step[key.occurrence, key.step]:
            self.unlock_queue.add(key.occurrence)
            self.update_remaining()
        return True

    def merge(self, stored: Progress) -> None:
        """Merge stored progress: done tasks and failures are only ever added."""
        for occurrence, step, number in stored.done - self.progress.done:
            self.progress.done.add((occurrence, step, number))
            self.open_tasks_by_step[occurrence, step] -= 1
            self.unlock_queue.add(occurrence)
            key = TaskKey(self.job.job_id, occurrence, step, number)
            self.waiting.pop(key, None)
        for task, run_ids in stored.failures.items():
            self.progress.failures.setdefault(task, set()).update(run_ids)
        for task, count in stored.crashes.items():
            self.progress.crashes[task] = max(count, self.progress.crashes.get(task, 0))

    def has_task(self, key: TaskKey) -> bool:
        """Return whether the job has the task; a target may report keys that don't exist."""
        known = (key.occurrence, key.step) in self.open_tasks_by_step
        return known and 0 <= key.number < self.job.steps[key.step].task_count

    def is_done(self, key: TaskKey) -> bool:
        """Return whether a run of the task has ended as `done`."""
        return (key.occurrence, key.step, key.number) in self.progress.done

    def needs_start(self, key: TaskKey) -> bool:
        """Return whether the task has to be started and is not in `waiting` yet.

        The tasks of a step enter `waiting` when the step is unlocked, not before.
        """
        if not self.open or (key.occurrence, key.step) not in self.unlocked:
            return False
        return not self.is_done(key) and key not in self.runs and key not in self.waiting

    def is_complete(self) -> bool:
        """Return whether all tasks of all occurrences are done."""
        return not any(self.open_tasks_by_step.values())

    def list_unlockable(self, now_ms: float) -> list[tuple[int, int]]:
        """Return steps that are due, have no open predecessors and are not unlocked yet.

        Some may be left for a later call.
        """
        return [
            (occurrence, number)
            for occurrence in self.unlock_queue.take(now_ms)
            for number in range(len(self.job.steps))
            if self._is_unlockable(occurrence, number)
        ]

    def list_tasks_sharing_end(self, key: TaskKey) -> list[TaskKey]:
        """Return the tasks that end with this one: all members of a gang, or the task alone."""
        step = self.job.steps[key.step]
        if not step.gang:
            return [key]
        return [key._replace(number=number) for number in range(step.task_count)]

    def list_broken_gang_runs(self) -> list[RunRecord]:
        """Return the runs of gang members while other members of the gang wait for a start."""
        waiting = {(key.occurrence, key.step) for key in self.waiting}
        return [
            run
            for key, run in self.runs.items()
            if (key.occurrence, key.step) in waiting and self.job.steps[key.step].gang
        ]

    def get_checkpoint(self, key: TaskKey) -> str:
        """Return the checkpoint to start the task from; the members of a gang share one."""
        step = self.job.steps[key.step]
        if not step.checkpointing:
            return ''
        return self.progress.checkpoints.get(self._get_checkpoint_key(key), '')

    def record_checkpoint(self, key: TaskKey, checkpoint: str) -> None:
        """Record the checkpoint of a run that has ended."""
        if checkpoint and self.job.steps[key.step].checkpointing:
            self.progress.checkpoints[self._get_checkpoint_key(key)] = checkpoint

    def discard_ticket(self, key: TaskKey, target_id: str, ticket: str) -> None:
        """Discard a ticket that a target has refused for a task."""
        advice = self.advice.get((key.occurrence, key.step))
        if advice is not None:
            advice.discard_ticket(target_id, ticket)

    def get_crash_count(self, key: TaskKey) -> int:
        """Return for how many crashes of targets the task was blamed."""
        return self.progress.crashes.get((key.occurrence, key.step, key.number), 0)

    def set_crash_count(self, key: TaskKey, count: int) -> None:
        """Record for how many crashes the task was blamed; a count of 0 clears it of suspicion."""
        task = (key.occurrence, key.step, key.number)
        self.progress.crashes[task] = count
        if not count:
            del self.progress.crashes[task]
            self.suspects.discard(key)

    def update_remaining(self) -> None:
        """Update the estimate of the longest chain of remaining work in the last occurrence."""
        last = self.job.count_occurrences() - 1
        done = frozenset(
            number
            for number in range(len(self.job.steps))
            if not self.open_tasks_by_step[last, number]
        )
        self.remaining_ms = compute_critical_path_ms(self.job.steps, done)

    def _get_checkpoint_key(self, key: TaskKey) -> tuple[int, int, int]:
        number = 0 if self.job.steps[key.step].gang else key.number
        return (key.occurrence, key.step, number)

    def _is_unlockable(self, occurrence: int, number: int) -> bool:
        if (occurrence, number) in self.unlocked or not self.open_tasks_by_step[occurrence, number]:
            return False
        earlier = self.job.steps[number].after
        return not any(self.open_tasks_by_step[occurrence, step] for step in earlier)
