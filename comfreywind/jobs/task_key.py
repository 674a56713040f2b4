"""Identifiers of tasks."""

from typing import NamedTuple


class TaskKey(NamedTuple):
    """Identifies a task of one occurrence of a job; `number` counts the tasks of a step from 0."""

    job_id: str
    occurrence: int
    step: int
    number: int

    def __str__(self) -> str:
        """Return `job.occurrence.step.number`."""
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.number}'


def parse_task_key(text: str) -> TaskKey:
    """Return the key in the form of `str(key)`; raise ValueError for any other text."""
    job_id, *numbers = text.split('.')
    occurrence, step, number = map(int, numbers)
    return TaskKey(job_id, occurrence, step, number)
