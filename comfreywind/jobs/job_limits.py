"""Limits on the size of one job, so that it can't exhaust the memory or processor of a node."""

from comfreywind.jobs.job import Job

# Tasks of one job over all occurrences. That this many have ended fits into the one row that stores a
# job's progress, whatever their steps and occurrences are (`progress_row.py`).
TASK_LIMIT = 5_000
STEP_LIMIT = 256
TEXT_LIMIT_CHARACTERS = 200
# Bounds amounts of resources, durations and counts in a request. It is above the amounts of any VM
# or fleet, and small enough for sums and products to stay exact.
AMOUNT_LIMIT = 10**9
# Milliseconds since 1970 up to the year 5138.
TIME_LIMIT_MS = 10**14


def describe_exceeded_limit(job: Job) -> str | None:
    """Return which field exceeds which limit, or None when all are within their limits."""
    if len(job.steps) > STEP_LIMIT:
        return f'steps: a job has at most {STEP_LIMIT}'
    task_count = sum(step.task_count for step in job.steps)
    if task_count > TASK_LIMIT:
        return f'steps: a job has at most {TASK_LIMIT} tasks'
    if task_count * job.count_occurrences() > TASK_LIMIT:
        return f'repeat_count: a job has at most {TASK_LIMIT} tasks over all its occurrences'
    return None
