"""Names what a task runs, for figures that tasks of one kind share."""

from comfreywind.jobs.job import Job


def get_image(job: Job, step_number: int) -> str:
    """Return the image of a step; a step without one is known by its queue and number."""
    return job.steps[step_number].image or f'{job.queue.name}/{step_number}'
