"""A job as the holder knows it."""

from dataclasses import dataclass, field

from comfreywind.decisions.scheduling.work_order import (
    compute_critical_path_ms,
    compute_objective_ms,
)
from comfreywind.jobs.job import Job
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.run_record import RunRecord


@dataclass(slots=True)
class JobRecord:
    """An open or finished job; `waiting` holds the tasks whose turn has come, in order.

    `settled` is false while a run of an earlier holder may exist that this one has not seen.
    """

    job: Job
    progress: Progress
    progress_version: int
    settled: bool
    excess: bool = False
    waiting: dict[TaskKey, None] = field(default_factory=dict)
    runs: dict[TaskKey, RunRecord] = field(default_factory=dict)
    last_run_ids: dict[TaskKey, int] = field(default_factory=dict)
    failed_on: dict[TaskKey, set[str]] = field(default_factory=dict)
    restarts: dict[TaskKey, int] = field(default_factory=dict)
    unlocked: set[tuple[int, int]] = field(default_factory=set)
    left_in_step: dict[tuple[int, int], int] = field(default_factory=dict)
    unlock_due: bool = True
    objective_ms: float = 0
    remaining_ms: float = 0

    def __post_init__(self) -> None:
        """Work out what is left of each step."""
        for occurrence in range(self.job.count_occurrences()):
            for number, step in enumerate(self.job.steps):
                self.left_in_step[occurrence, number] = step.task_count
        for occurrence, number, _ in self.progress.done:
            self.left_in_step[occurrence, number] -= 1
        self.objective_ms = compute_objective_ms(self.job)
        self.update_remaining()

    @property
    def open(self) -> bool:
        """Return whether work may still be started."""
        return not self.progress.state.final

    def note_done(self, key: TaskKey) -> bool:
        """Count a task as done; return False when it was done before."""
        task = (key.occurrence, key.step, key.number)
        if task in self.progress.done:
            return False
        self.progress.done.add(task)
        self.progress.checkpoints.pop(task, None)
        self.left_in_step[key.occurrence, key.step] -= 1
        if not self.left_in_step[key.occurrence, key.step]:
            self.unlock_due = True
            self.update_remaining()
        return True

    def join(self, stored: Progress) -> None:
        """Take in ends and failures that the store holds; both only ever grow."""
        for occurrence, step, number in stored.done - self.progress.done:
            self.progress.done.add((occurrence, step, number))
            self.left_in_step[occurrence, step] -= 1
            self.unlock_due = True
            key = TaskKey(self.job.job_id, occurrence, step, number)
            self.waiting.pop(key, None)
        for task, run_ids in stored.failures.items():
            self.progress.failures.setdefault(task, set()).update(run_ids)

    def has_task(self, key: TaskKey) -> bool:
        """Return whether the job has such a task; targets may list anything."""
        known = (key.occurrence, key.step) in self.left_in_step
        return known and 0 <= key.number < self.job.steps[key.step].task_count

    def is_done(self, key: TaskKey) -> bool:
        """Return whether an end `done` of the task is known."""
        return (key.occurrence, key.step, key.number) in self.progress.done

    def may_wait(self, key: TaskKey) -> bool:
        """Return whether the task is to be started and is not yet in `waiting`.

        The tasks of a step come into `waiting` with the step's turn, not before.
        """
        if not self.open or (key.occurrence, key.step) not in self.unlocked:
            return False
        return not self.is_done(key) and key not in self.runs and key not in self.waiting

    def is_complete(self) -> bool:
        """Return whether all tasks of all occurrences are done."""
        return not any(self.left_in_step.values())

    def find_unlocked(self, now_ms: float) -> list[tuple[int, int]]:
        """Return the steps whose turn has come and whose tasks are not yet in `waiting`."""
        unlocked: list[tuple[int, int]] = []
        if not self.unlock_due:
            return unlocked
        # An occurrence becomes due with time, not with an event.
        self.unlock_due = bool(self.job.occurrence_count)
        for step_key in self.left_in_step:
            if step_key in self.unlocked or not self.left_in_step[step_key]:
                continue
            occurrence, number = step_key
            due = self.job.find_due_ms(occurrence) <= now_ms
            earlier = self.job.steps[number].after
            if due and not any(self.left_in_step[occurrence, step] for step in earlier):
                unlocked.append(step_key)
        return unlocked

    def list_represented(self, key: TaskKey) -> list[TaskKey]:
        """Return the tasks for which an end of this one stands: a gang ends as one."""
        step = self.job.steps[key.step]
        if not step.gang:
            return [key]
        return [key._replace(number=number) for number in range(step.task_count)]

    def list_broken_gang_runs(self) -> list[RunRecord]:
        """Return the runs of gangs of which other members wait to be started."""
        waiting = {(key.occurrence, key.step) for key in self.waiting}
        return [
            run
            for key, run in self.runs.items()
            if (key.occurrence, key.step) in waiting and self.job.steps[key.step].gang
        ]

    def find_checkpoint(self, key: TaskKey) -> str:
        """Return the checkpoint that a start carries; the members of a gang share one."""
        step = self.job.steps[key.step]
        if not step.checkpointing:
            return ''
        return self.progress.checkpoints.get(self._name_checkpoint(key), '')

    def note_checkpoint(self, key: TaskKey, checkpoint: str) -> None:
        """Keep the checkpoint of a run that has ended."""
        if checkpoint and self.job.steps[key.step].checkpointing:
            self.progress.checkpoints[self._name_checkpoint(key)] = checkpoint

    def update_remaining(self) -> None:
        """Estimate the longest chain of work that is left."""
        last = self.job.count_occurrences() - 1
        done = frozenset(
            number for number in range(len(self.job.steps)) if not self.left_in_step[last, number]
        )
        self.remaining_ms = compute_critical_path_ms(self.job.steps, done)

    def _name_checkpoint(self, key: TaskKey) -> tuple[int, int, int]:
        number = 0 if self.job.steps[key.step].gang else key.number
        return (key.occurrence, key.step, number)
