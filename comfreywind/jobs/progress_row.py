"""Chooses the form in which the progress of a job fits into one row of the store."""

from dataclasses import dataclass, replace

from comfreywind.jobs.compact_progress import encode_compact
from comfreywind.jobs.job_codec import encode_progress
from comfreywind.jobs.progress import Progress

# The largest row of the store, unless the settings file tells another size.
DEFAULT_ROW_LIMIT_BYTES = 65_536
# Checkpoints differ in how well they compress, so fewer are kept than their mean size allows.
KEPT_CHECKPOINTS_MARGIN = 0.85


@dataclass(frozen=True, slots=True)
class ProgressRow:
    """The value of a row, and what of the progress was left out of it, or an empty text.

    `compact` marks the compressed format.
    """

    payload: bytes
    compact: bool
    omitted: str = ''


def make_progress_row(
    progress: Progress, limit_bytes: int = DEFAULT_ROW_LIMIT_BYTES
) -> ProgressRow:
    """Return the row for the progress, of at most `limit_bytes` if its done tasks fit.

    The plain format is used if it fits, because nodes of earlier versions can read it. The state and
    the done tasks are never left out, as a task must not run again once its end was noted. Without
    its checkpoint a task repeats work, without counts of crashes and failed runs it has more attempts;
    both only after a change of the holder.
    """
    plain = encode_progress(progress)
    if len(plain) <= limit_bytes:
        return ProgressRow(plain, compact=False)
    compact = encode_compact(progress)
    if len(compact) <= limit_bytes:
        return ProgressRow(compact, compact=True)
    return _reduce(progress, len(compact), limit_bytes)


def _reduce(progress: Progress, whole_bytes: int, limit_bytes: int) -> ProgressRow:
    """Leave out checkpoints, then counts of crashes, then failed runs, until the rest fits."""
    bare = replace(progress, checkpoints={})
    payload = encode_compact(bare)
    if len(payload) < limit_bytes:
        fewer = _drop_checkpoints(progress, whole_bytes, len(payload), limit_bytes)
        omitted = f'{len(progress.checkpoints) - len(fewer.checkpoints)} checkpoints'
        fewer_payload = encode_compact(fewer)
        if len(fewer_payload) <= limit_bytes:
            return ProgressRow(fewer_payload, True, omitted)
    omitted = 'all checkpoints'
    if len(payload) > limit_bytes:
        payload = encode_compact(replace(bare, crashes={}))
        omitted = 'all checkpoints and counts of crashes'
    if len(payload) > limit_bytes:
        payload = encode_compact(replace(bare, crashes={}, failures={}))
        omitted = 'all checkpoints, counts of crashes and failed runs'
    return ProgressRow(payload, True, omitted)


def _drop_checkpoints(
    progress: Progress, whole_bytes: int, bare_bytes: int, limit_bytes: int
) -> Progress:
    """Return the progress with as many of the checkpoints as are likely to fit, short ones first."""
    ratio = KEPT_CHECKPOINTS_MARGIN * (limit_bytes - bare_bytes) / (whole_bytes - bare_bytes)
    kept_count = int(len(progress.checkpoints) * ratio)
    shortest = sorted(progress.checkpoints.items(), key=_get_text_length)
    return replace(progress, checkpoints=dict(shortest[:kept_count]))


def _get_text_length(checkpoint: tuple[tuple[int, int, int], str]) -> int:
    return len(checkpoint[1])
