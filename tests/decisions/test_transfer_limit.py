"""How long a call may take whose request or answer is large."""

import pytest

from comfreywind.decisions.transfer_limit import (
    LEAST_BULK_READS,
    MOST_BULK_READS,
    PART_BYTES,
    SENDING_BYTES_PER_S,
    CallProgress,
    choose_bulk_reads,
)

TIMEOUT_S = 1.5


def start_call(is_bulk_read: bool = True, request_bytes: int = 0) -> CallProgress:
    """Return a call that was sent at second 0."""
    call = CallProgress(is_bulk_read)
    call.start(0, TIMEOUT_S, request_bytes)
    return call


@pytest.mark.parametrize(
    ('is_bulk_read', 'arrivals', 'deadline_s'),
    [
        pytest.param(True, [], TIMEOUT_S, id='nothing arrives'),
        pytest.param(True, [(PART_BYTES, 1)], 1 + TIMEOUT_S, id='a part'),
        pytest.param(True, [(PART_BYTES - 1, 1)], TIMEOUT_S, id='less than a part'),
        pytest.param(
            True, [(PART_BYTES - 1, 1), (1, 1.2)], 1.2 + TIMEOUT_S, id='a part in two pieces'
        ),
        pytest.param(True, [(PART_BYTES, 1), (1, 2)], 1 + TIMEOUT_S, id='a trickle'),
        pytest.param(
            True, [(PART_BYTES, second) for second in range(60)], 59 + TIMEOUT_S, id='steady'
        ),
        pytest.param(False, [(PART_BYTES, 1)], TIMEOUT_S, id='no bulk read'),
    ],
)
def test_deadline(is_bulk_read: bool, arrivals: list[tuple[int, float]], deadline_s: float) -> None:
    """Moves the deadline of a bulk read on with each part, and no other."""
    call = start_call(is_bulk_read)
    for size_bytes, now_s in arrivals:
        call.note_answer(size_bytes, now_s)
    assert call.deadline_s == pytest.approx(deadline_s)


@pytest.mark.parametrize(
    ('request_bytes', 'deadline_s'),
    [
        (PART_BYTES, TIMEOUT_S),
        (PART_BYTES + SENDING_BYTES_PER_S, 1 + TIMEOUT_S),
    ],
)
def test_deadline_of_large_request(request_bytes: int, deadline_s: float) -> None:
    """Gives a large request the time that its bytes take."""
    assert start_call(request_bytes=request_bytes).deadline_s == deadline_s


def test_progress_begins_anew() -> None:
    """Counts the bytes of the present answer only."""
    call = start_call()
    call.note_answer(3 * PART_BYTES, 1)
    call.start(10, TIMEOUT_S, 0)
    assert call.answered_bytes == 0
    call.note_answer(PART_BYTES, 11)
    assert call.deadline_s == 11 + TIMEOUT_S


@pytest.mark.parametrize(
    ('link_mbps', 'reads'),
    [(0, LEAST_BULK_READS), (5, LEAST_BULK_READS), (10, 9), (1000, MOST_BULK_READS)],
)
def test_bulk_reads_of_link(link_mbps: float, reads: int) -> None:
    """Lets the answers of bulk reads take half a second of the link at most, as far as possible."""
    assert choose_bulk_reads(link_mbps) == reads
