"""Until when a call may go on while answers fill the link."""

import pytest

from comfreywind.decisions.transfer_limit import (
    PART_BYTES,
    SENDING_BYTES_PER_S,
    SILENCE_LIMIT_S,
    CallProgress,
    compute_deadline_s,
)

TIMEOUT_S = 1.5


def start_call(
    started_s: float = 0, request_bytes: int = 0, is_bulk_read: bool = True
) -> CallProgress:
    """Return a call that was sent at a time."""
    call = CallProgress(is_bulk_read)
    call.start(started_s, TIMEOUT_S, request_bytes)
    return call


@pytest.mark.parametrize(
    ('call', 'last_part_s', 'deadline_s'),
    [
        pytest.param(start_call(), None, TIMEOUT_S, id='nothing arrives'),
        pytest.param(start_call(), 1, 1 + TIMEOUT_S, id='others arrive'),
        pytest.param(start_call(), 60, SILENCE_LIMIT_S, id='others arrive for long'),
        pytest.param(start_call(9), 1, 9 + TIMEOUT_S, id='others had arrived before'),
        pytest.param(start_call(is_bulk_read=False), 1, TIMEOUT_S, id='small answer expected'),
        pytest.param(
            start_call(request_bytes=SENDING_BYTES_PER_S), None, 1 + TIMEOUT_S, id='large request'
        ),
    ],
)
def test_deadline(call: CallProgress, last_part_s: float | None, deadline_s: float) -> None:
    """Extends a bulk read while others fill the link, and not beyond a silence of its own."""
    assert compute_deadline_s(call, last_part_s) == deadline_s


def test_deadline_of_steady_transfer() -> None:
    """Has no limit on the whole time of an answer that arrives steadily."""
    call = start_call()
    for second in range(1, 61):
        assert call.note_answer(PART_BYTES, second)
        assert compute_deadline_s(call, second) == second + TIMEOUT_S


def test_trickle_is_no_progress() -> None:
    """Counts no bytes as progress before they make up a part of a large answer."""
    call = start_call()
    assert not call.note_answer(PART_BYTES - 1, 1)
    assert compute_deadline_s(call, None) == TIMEOUT_S
    assert call.note_answer(1, 1)
