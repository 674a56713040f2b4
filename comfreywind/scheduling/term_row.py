"""The lease row of the term, with the figures that all nodes read from it, and the registry row."""

import math
from dataclasses import astuple, dataclass, field

import msgpack

from comfreywind.jobs.row_format import RowFormatError, wrap_row_errors

FIELD_TYPES = {'holder': str, 'epoch': int, 'renewal': int, 'pending': dict, 'refused': dict}
# Far above the terms that holders take; a longer one would keep all nodes from taking over.
MAX_TERM_S = 60


@dataclass(frozen=True, slots=True)
class TermRow:
    """The holder of the term, its epoch and the number of renewals.

    The epoch is the highest fence that orders of the term may carry.

    The term lasts `term_s` from the last renewal, which was not later than `renewed_ms` on the
    store's clock (0 when the holder did not know that clock). The holder's process started at
    `started_ms` on the store's clock. `pending` is a packed `PendingCount`, which a holder that has
    not counted yet takes over from the one before. `refused` are packed waits of the queues in which
    teams may be refused, see `queue_wait.py`.
    """

    holder: str
    epoch: int
    renewal: int = 0
    released: bool = False
    term_s: float = 0
    renewed_ms: float = 0
    pending: dict[str, int] = field(default_factory=dict)
    refused: dict[str, list[int]] = field(default_factory=dict)
    started_ms: float = 0


def encode_term(row: TermRow) -> bytes:
    """Return the payload of the lease row."""
    packed: bytes = msgpack.packb(astuple(row))
    return packed


def decode_term(payload: bytes) -> TermRow:
    """Return the lease row; raise RowFormatError when the payload can't be read."""
    with wrap_row_errors('row of the term'):
        row = TermRow(*msgpack.unpackb(payload))
        _check_term(row)
    return row


def _check_term(row: TermRow) -> None:
    """Raise RowFormatError for a field of another type, or a term that no holder would take."""
    for name, kind in FIELD_TYPES.items():
        if not isinstance(getattr(row, name), kind):
            raise RowFormatError(f'row of the term: {name} must be of type {kind.__name__}')
    times_are_finite = all(map(math.isfinite, (row.term_s, row.renewed_ms, row.started_ms)))
    if not times_are_finite or not 0 <= row.term_s <= MAX_TERM_S:
        raise RowFormatError(f'row of the term: a term lasts up to {MAX_TERM_S} s')


def encode_registry(target_ids: frozenset[str]) -> bytes:
    """Return the payload of the registry row, which names the targets that may have runs."""
    packed: bytes = msgpack.packb(sorted(target_ids))
    return packed


def decode_registry(payload: bytes | None) -> frozenset[str]:
    """Return the ids in the registry row; raise RowFormatError when the payload can't be read."""
    if not payload:
        return frozenset()
    with wrap_row_errors('row of the roster'):
        target_ids = frozenset(msgpack.unpackb(payload))
    if not all(isinstance(target_id, str) for target_id in target_ids):
        raise RowFormatError('row of the roster: target ids must be strings')
    return target_ids
