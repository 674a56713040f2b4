"""What is kept of a job's progress."""

from dataclasses import dataclass, field

from comfreywind.jobs.job_state import JobState


@dataclass(slots=True)
class Progress:
    """State, ends and checkpoints of a job; tasks are named by (occurrence, step, number).

    `failures` holds the ids of the runs that failed: an end may be seen again by a later holder.

    Only ends that the store holds may be acknowledged to a target, because a later holder of the
    pool learns of the others from the target alone.
    """

    state: JobState = JobState.QUEUED
    done: set[tuple[int, int, int]] = field(default_factory=set)
    failures: dict[tuple[int, int, int], set[int]] = field(default_factory=dict)
    checkpoints: dict[tuple[int, int, int], str] = field(default_factory=dict)
