"""The state of the removal of a job from the store."""

from dataclasses import dataclass


@dataclass(slots=True)
class Removal:
    """A job whose accepted row was replaced by a tombstone.

    `version` is the version of the tombstone and `progress_version` that of the progress row, or 0
    without one. `cleared` is set once progress and cancel marker are removed.
    """

    job_id: str
    version: int
    progress_version: int
    cleared: bool = False
