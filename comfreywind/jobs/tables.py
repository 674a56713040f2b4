"""Comfreywind's tables in the platform's store, and the partitions that their rows are spread over.

The store runs the transactions of a partition one after another, across all tables. The partition
with the empty name is left to the platform: targets register there many times a second.
"""

TABLE_INTAKE = 'comfreywind-intake'
TABLE_PROGRESS = 'comfreywind-progress'
TABLE_TERM = 'comfreywind-term'
TABLE_NODES = 'comfreywind-nodes'
# Nodes of earlier versions can't read rows of the table before with another field.
TABLE_NODE_DATA_CENTRES = 'comfreywind-node-zones'
NODES_PARTITION = 'nodes'

# A partition of its own, so that a renewal of the term never waits for another write.
TERM_PARTITION = 'term'
TERM_KEY = 'holder'
HOLDER_PARTITION = 'holder'
TARGET_REGISTRY_KEY = 'roster'
ORDER_RESERVATIONS_KEY = 'orders'
OPEN_STARTS_KEY = 'open-starts'
CANCEL_SUFFIX = ':cancel'
# Callers submit up to 60 jobs/s, each in its own transaction. A store that is 100 times slower than
# usual runs two transactions/s in a partition, so 32 partitions just take that rate.
INTAKE_PARTITIONS = tuple(f'i{number:02d}' for number in range(32))
# Fewer are enough: the holder writes the progress of many jobs in one transaction per partition.
PROGRESS_PARTITIONS = tuple(f'p{number}' for number in range(4))


def compute_intake_partition(job_id: str) -> str:
    """Return the partition of the row of an accepted job; the id is hexadecimal."""
    return INTAKE_PARTITIONS[int(job_id, 16) % len(INTAKE_PARTITIONS)]


def compute_progress_partition(job_id: str) -> str:
    """Return the partition of a job's progress row and of its cancellation marker."""
    return PROGRESS_PARTITIONS[int(job_id, 16) % len(PROGRESS_PARTITIONS)]
