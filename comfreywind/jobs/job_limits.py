"""What one job may hold, so that it can't take up the memory or the time of a whole node."""

from comfreywind.jobs.job import Job

# The ends of so many tasks fit into the row of a job's progress.
TASK_LIMIT = 5_000
STEP_LIMIT = 256
TEXT_LIMIT_CHARACTERS = 200
# Larger amounts than any VM or fleet has; sums and products of them stay exact.
AMOUNT_LIMIT = 10**9
# Milliseconds since 1970 up to the year 5138.
TIME_LIMIT_MS = 10**14


def describe_exceeded_limit(job: Job) -> str | None:
    """Return which field of a job is beyond which limit, or None when all are within."""
    if len(job.steps) > STEP_LIMIT:
        return f'steps: a job has at most {STEP_LIMIT}'
    task_count = sum(step.task_count for step in job.steps)
    if task_count > TASK_LIMIT:
        return f'steps: a job has at most {TASK_LIMIT} tasks'
    if task_count * job.count_occurrences() > TASK_LIMIT:
        return f'repeat_count: a job has at most {TASK_LIMIT} tasks over all its occurrences'
    return None
