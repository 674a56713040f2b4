"""Conditional writes of which answers are lost, late, refused or in conflict."""

from collections.abc import Sequence
from typing import cast

import pytest
import trio

from comfreywind.errors import RowsChangedError, StoreRefusedError, StoreUnavailableError
from comfreywind.http.client import Permit
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.repeated_write import ATTEMPTS_LIMIT, REPEAT_AFTER_S, RepeatedWrite, WriteOutcome
from tests.helpers.trio_clock import TrioClock

CALL_TIMEOUT_S = 1.5


class ScriptedRows:
    """Answers each commit as the script says; the row has the payload of the one that took effect.

    `done` answers at once and `slow` after `delay_s`, `lost` writes and `dropped` does nothing, both
    without an answer; `refused` and `reset` fail at once.
    """

    def __init__(self, *script: str, delay_s: float = 0, commit_took_s: float = 0) -> None:
        """Start with a row at version 1."""
        self.commit_took_s = commit_took_s
        self.sent_s: list[float] = []
        self.version = 1
        self.payload: bytes | None = b'before'
        self._script = list(script)
        self._delay_s = delay_s

    async def commit(
        self, partition: str, changes: Sequence[RowChange], permit: Permit | None
    ) -> int:
        """Do the next step of the script."""
        self.sent_s.append(trio.current_time())
        step = self._script.pop(0)
        if step == 'refused':
            raise StoreRefusedError('status 503')
        if step == 'reset':
            raise StoreUnavailableError('reset')
        if step != 'dropped':
            self._write(changes[0])
        if step in {'lost', 'dropped'}:
            await trio.sleep(CALL_TIMEOUT_S)
            raise StoreUnavailableError('no reply')
        version = self.version
        await trio.sleep(self._delay_s if step == 'slow' else 0)
        return version

    def _write(self, change: RowChange) -> None:
        if change.expected_version != self.version:
            raise RowsChangedError((StoredRow('table', 'part', 'key', self.payload, self.version),))
        self.version += 1
        self.payload = change.payload


async def write(rows: ScriptedRows) -> WriteOutcome:
    """Write a payload that tells when it was sent."""

    def make_change(sent_s: float) -> RowChange:
        return RowChange('table', 'key', str(sent_s).encode(), 1)

    return await RepeatedWrite(cast('RowsClient', rows), 'part', make_change, TrioClock()).run()


@pytest.mark.parametrize(
    ('script', 'taken', 'limit_s'),
    [
        (('done',), 0, 0.01),
        (('lost', 'done'), 0, REPEAT_AFTER_S + 0.01),
        (('dropped', 'done'), 1, REPEAT_AFTER_S + 0.01),
        (('lost', 'dropped', 'done'), 0, 2 * REPEAT_AFTER_S + 0.01),
        (('dropped', 'dropped', 'done'), 2, 2 * REPEAT_AFTER_S + 0.01),
        (('slow', 'done'), 0, REPEAT_AFTER_S + 0.01),
    ],
)
async def test_answer_of_an_attempt(
    autojump_clock: trio.testing.MockClock, script: tuple[str, ...], taken: int, limit_s: float
) -> None:
    """Returns the attempt that took effect soon after an answer was lost."""
    rows = ScriptedRows(*script, delay_s=1)
    started_s = trio.current_time()
    outcome = await write(rows)
    assert trio.current_time() - started_s <= limit_s
    assert outcome.attempt.sent_s == rows.sent_s[taken]
    assert outcome.attempt.payload == rows.payload
    assert outcome.version == rows.version


@pytest.mark.parametrize(
    ('script', 'error', 'limit_s'),
    [
        (('refused',), StoreRefusedError, 0.01),
        (('reset',), StoreUnavailableError, 0.01),
        (('dropped',) * ATTEMPTS_LIMIT, StoreUnavailableError, 2.3),
        (('dropped', 'refused', 'refused'), StoreUnavailableError, 2.3),
        (('refused', 'dropped'), StoreRefusedError, 0.01),
    ],
)
async def test_no_answer(
    autojump_clock: trio.testing.MockClock,
    script: tuple[str, ...],
    error: type[Exception],
    limit_s: float,
) -> None:
    """Tells a write that was refused from one that may have taken effect."""
    started_s = trio.current_time()
    with pytest.raises(error) as raised:
        await write(ScriptedRows(*script))
    assert type(raised.value) is error
    assert trio.current_time() - started_s <= limit_s


async def test_conflict_with_another_writer(autojump_clock: trio.testing.MockClock) -> None:
    """Reports a conflict with a row of another writer, after which no attempt can take effect."""
    rows = ScriptedRows('dropped', 'done')
    rows.version = 7
    with pytest.raises(RowsChangedError):
        await write(rows)


async def test_slow_store_is_not_called_twice(autojump_clock: trio.testing.MockClock) -> None:
    """Sends one write to a store that was as slow before."""
    rows = ScriptedRows('slow', delay_s=0.6, commit_took_s=0.5)
    await write(rows)
    assert len(rows.sent_s) == 1
