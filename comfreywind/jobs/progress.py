"""The stored progress of a job."""

from dataclasses import dataclass, field

from comfreywind.jobs.job_state import JobState


@dataclass(slots=True)
class Progress:
    """State of a job, its completed tasks, failed runs and checkpoints.

    Tasks are identified by (occurrence, step, number). `failures` maps a task to the ids of its
    failed runs. Ids, not a count, because a target may report the same end to a later holder again.
    `crashes` counts for which crashes of targets a task was blamed.

    The end of a run may be acknowledged to its target only once it is stored here: the target drops
    acknowledged ends, and a later holder learns of an end that is not stored from the target alone.
    """

    state: JobState = JobState.QUEUED
    done: set[tuple[int, int, int]] = field(default_factory=set)
    failures: dict[tuple[int, int, int], set[int]] = field(default_factory=dict)
    checkpoints: dict[tuple[int, int, int], str] = field(default_factory=dict)
    crashes: dict[tuple[int, int, int], int] = field(default_factory=dict)
