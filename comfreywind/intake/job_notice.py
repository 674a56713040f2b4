"""The notice of an accepted job that a node sends to the holder of the term."""

import msgpack

from comfreywind.jobs.row_format import RowFormatError, wrap_row_errors
from comfreywind.jobs.tables import TABLE_INTAKE, compute_intake_partition
from comfreywind.platform.stored_row import StoredRow

# Tells notices from callers' requests that were handed over, on the same port.
NOTICE_HEADER = (b'comfreywind-message', b'accepted-job')


def encode_notice(row: StoredRow) -> bytes:
    """Return the notice of a job, which is its row as it is in the store."""
    packed: bytes = msgpack.packb([row.key, row.version, row.payload])
    return packed


def decode_notice(body: bytes) -> StoredRow:
    """Return the row of the job; raise RowFormatError for another format."""
    with wrap_row_errors('notice of an accepted job'):
        job_id, version, payload = msgpack.unpackb(body)
        partition = compute_intake_partition(job_id)
        if not isinstance(version, int) or not isinstance(payload, bytes):
            raise RowFormatError('notice of an accepted job: expected a version and a payload')
    return StoredRow(TABLE_INTAKE, partition, job_id, payload, version)
