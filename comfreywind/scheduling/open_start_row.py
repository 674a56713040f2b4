"""The row of start orders without a reply, which the next holder reads."""

import msgpack

from comfreywind.decisions.scheduling.open_start import OpenStart
from comfreywind.jobs.row_format import RowFormatError, wrap_row_errors
from comfreywind.jobs.task_key import TaskKey, parse_task_key

# Of a task whose starts stay unanswered again and again, the latest are stored.
RUN_IDS_LIMIT = 4

StoredStarts = frozenset[tuple[TaskKey, str, frozenset[int]]]


def describe_open_starts(open_starts: dict[TaskKey, OpenStart]) -> StoredStarts:
    """Return what the row tells of open starts: tasks, their targets and latest run ids."""
    return frozenset(
        (key, known.target_id, frozenset(sorted(known.run_ids)[-RUN_IDS_LIMIT:]))
        for key, known in open_starts.items()
    )


def choose_stored_starts(open_starts: dict[TaskKey, OpenStart], limit: int) -> StoredStarts:
    """Return what the row tells of at most `limit` open starts, those sent last."""
    latest = sorted(open_starts.items(), key=lambda pair: pair[1].sent_s)[-limit:]
    return describe_open_starts(dict(latest))


def encode_open_starts(stored: StoredStarts) -> bytes:
    """Return the payload of the row."""
    packed: bytes = msgpack.packb(
        [(str(key), target_id, sorted(run_ids)) for key, target_id, run_ids in sorted(stored)]
    )
    return packed


def decode_open_starts(payload: bytes | None) -> StoredStarts:
    """Return the open starts of a row; raise RowFormatError when the payload can't be read."""
    if not payload:
        return frozenset()
    with wrap_row_errors('row of open starts'):
        stored = frozenset(
            (parse_task_key(key), target_id, frozenset(run_ids))
            for key, target_id, run_ids in msgpack.unpackb(payload)
        )
    for _, target_id, run_ids in stored:
        if not isinstance(target_id, str) or not all(isinstance(one, int) for one in run_ids):
            raise RowFormatError('row of open starts: expected target ids and run ids')
    return stored
