"""The ends of one incarnation of a target whose effects may not be stored yet."""

from collections.abc import Container


class UnstoredEnds:
    """Which job each end belongs to, by the number of the end."""

    def __init__(self) -> None:
        """Begin with no ends."""
        self._job_ids: dict[int, str] = {}

    def add(self, number: int, job_id: str) -> None:
        """Add an end that a report has listed; numbers rise."""
        self._job_ids[number] = job_id

    def settle(self, last_number: int, unstored_jobs: Container[str]) -> int:
        """Return up to which end all are stored, if those up to `last_number` are but for some jobs.

        Ends are acknowledged by their highest number, so an end that is not stored holds back those
        after it, and none before it.
        """
        for number, job_id in self._job_ids.items():
            if number <= last_number and job_id in unstored_jobs:
                last_number = number - 1
                break
        self._job_ids = {
            number: job_id for number, job_id in self._job_ids.items() if number > last_number
        }
        return last_number
