"""Tables of our own in the platform's store, and the parts that jobs are spread over."""

TABLE_INTAKE = 'comfreywind-intake'
TABLE_PROGRESS = 'comfreywind-progress'
TABLE_TERM = 'comfreywind-term'

TERM_PART = ''
TERM_KEY = 'holder'
ROSTER_KEY = 'roster'
ORDERS_KEY = 'orders'
CANCEL_SUFFIX = ':cancel'
# A part takes 200 transactions a second (part_writes_s); four carry the 800 that the store takes.
PART_COUNT = 4
JOB_PARTS = tuple(f'p{number}' for number in range(PART_COUNT))


def find_part(job_id: str) -> str:
    """Return the part that holds the rows of a job; the id is hexadecimal."""
    return JOB_PARTS[int(job_id, 16) % PART_COUNT]
