"""The row by which a holder has its term, with the figures that all nodes read from it."""

from dataclasses import astuple, dataclass, field

import msgpack

from comfreywind.jobs.row_format import RowFormatError, reading_row


@dataclass(frozen=True, slots=True)
class TermRow:
    """Holder, epoch and renewal count; `pending` counts the jobs of each queue not begun.

    The term lasts `term_s` from the renewal, which was not after `renewed_ms` on the store's clock
    (0 when the holder did not know that clock). The holder's process started at `started_ms` there.
    `refused` holds the queues that take no jobs now, with the seconds until a retry can help.
    """

    holder: str
    epoch: int
    renewal: int = 0
    released: bool = False
    term_s: float = 0
    renewed_ms: float = 0
    pending: dict[str, int] = field(default_factory=dict)
    refused: dict[str, float] = field(default_factory=dict)
    started_ms: float = 0


def encode_term(row: TermRow) -> bytes:
    """Return the value of the row."""
    packed: bytes = msgpack.packb(astuple(row))
    return packed


def decode_term(payload: bytes) -> TermRow:
    """Return the row; raise RowFormatError when it can't be read."""
    with reading_row('row of the term'):
        row = TermRow(*msgpack.unpackb(payload))
    if not isinstance(row.epoch, int) or not isinstance(row.renewal, int):
        raise RowFormatError('row of the term: epoch and renewal are whole numbers')
    return row


def encode_registry(target_ids: frozenset[str]) -> bytes:
    """Return the row that names the targets which may have runs."""
    packed: bytes = msgpack.packb(sorted(target_ids))
    return packed


def decode_registry(payload: bytes | None) -> frozenset[str]:
    """Return the targets that may have runs; raise RowFormatError when the row can't be read."""
    if not payload:
        return frozenset()
    with reading_row('row of the roster'):
        target_ids = frozenset(msgpack.unpackb(payload))
    if not all(isinstance(target_id, str) for target_id in target_ids):
        raise RowFormatError('row of the roster: ids of targets are texts')
    return target_ids
