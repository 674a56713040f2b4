"""Tables of our own in the platform's store, and the parts that their rows are spread over.

A part, whatever the table, takes transactions one after another. The empty part is the platform's:
targets register there many times a second.
"""

TABLE_INTAKE = 'comfreywind-intake'
TABLE_PROGRESS = 'comfreywind-progress'
TABLE_TERM = 'comfreywind-term'

# The renewals of the term wait for no other write.
TERM_PART = 'term'
TERM_KEY = 'holder'
HOLDER_PART = 'holder'
REGISTRY_KEY = 'roster'
ORDERS_KEY = 'orders'
CANCEL_SUFFIX = ':cancel'
# A store that is 100 times slower takes two transactions a second in a part: callers hand in up to
# sixty jobs a second, each a transaction of its own.
INTAKE_PARTS = tuple(f'i{number:02d}' for number in range(32))
# The holder writes the progress of many jobs in one transaction of each part.
PROGRESS_PARTS = tuple(f'p{number}' for number in range(4))


def find_intake_part(job_id: str) -> str:
    """Return the part that holds an accepted job; the id is hexadecimal."""
    return INTAKE_PARTS[int(job_id, 16) % len(INTAKE_PARTS)]


def find_progress_part(job_id: str) -> str:
    """Return the part that holds the progress of a job, and the mark of its cancelling."""
    return PROGRESS_PARTS[int(job_id, 16) % len(PROGRESS_PARTS)]
