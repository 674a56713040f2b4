"""The number of accepted jobs by queue of which no task has started, and how recent it is."""

from collections.abc import Mapping
from dataclasses import dataclass

# The name under which the time of a count is stored beside the queues; no queue has an empty name.
# Nodes of earlier versions look up their queues only, so that they can read the count as well.
COUNTED_MS_NAME = ''


@dataclass(frozen=True, slots=True)
class PendingCount:
    """A count over all jobs that were accepted until `counted_ms` on the store's clock.

    `counted_ms` is 0 when that is unknown.
    """

    jobs_by_queue: Mapping[str, int]
    counted_ms: float

    def pack(self) -> dict[str, int]:
        """Return the count as it is stored in the lease row of the term."""
        return {**self.jobs_by_queue, COUNTED_MS_NAME: int(self.counted_ms)}


def unpack_pending_count(pending: Mapping[str, int], renewed_ms: float) -> PendingCount:
    """Return the count in a lease row that was last renewed at `renewed_ms`.

    Holders of earlier versions store no time; their count is as old as the renewal.
    """
    jobs_by_queue = {name: count for name, count in pending.items() if name != COUNTED_MS_NAME}
    return PendingCount(jobs_by_queue, pending.get(COUNTED_MS_NAME, renewed_ms))
