"""A job that is being removed from the store."""

from dataclasses import dataclass


@dataclass(slots=True)
class Removal:
    """Versions of the tombstone and of the progress; `cleared` once the progress is gone."""

    job_id: str
    version: int
    progress_version: int
    cleared: bool = False
