"""One malformed message or unexpected error took a whole process down.

It could happen here: a target that listed the end of a task that a known job does not have ended the
holder with an IndexError, and each later holder as well, because the target listed it again.
"""

from typing import Any

import pytest
import trio

from comfreywind.errors import TargetSilentError
from comfreywind.http.client import HttpReply
from comfreywind.jobs.run_report import RunOutcome
from comfreywind.jobs.task_key import TaskKey
from comfreywind.metrics import NoMetrics
from comfreywind.platform.stored_row import RowPage, StoredRow
from comfreywind.platform.target_client import _decode_report
from comfreywind.scheduling.orders import StartOrder
from comfreywind.scheduling.row_feed import RowFeed
from comfreywind.supervision import RESTART_PAUSE_S, supervise
from tests.helpers.scheduler_harness import JOB_ID, SchedulerHarness, make_job
from tests.helpers.trio_clock import TrioClock

OTHER_JOB_ID = '00000000000000a2'


class CountingMetrics(NoMetrics):
    """Keeps the names of counted events."""

    def __init__(self) -> None:
        """Start with none."""
        self.names: list[str] = []

    def count(self, name: str) -> None:
        """Keep the name."""
        self.names.append(name)


@pytest.mark.parametrize('outcome', list(RunOutcome))
@pytest.mark.parametrize(
    'key',
    [
        TaskKey(JOB_ID, 0, 7, 0),
        TaskKey(JOB_ID, 3, 0, 0),
        TaskKey(JOB_ID, 0, 0, 9),
        TaskKey(JOB_ID, 0, -1, 0),
        TaskKey('unknown', 0, 0, 0),
    ],
)
def test_end_of_no_task(key: TaskKey, outcome: RunOutcome) -> None:
    """Guards against a holder that ends because of what one target lists."""
    rig = SchedulerHarness(targets=1)
    rig.add_job()
    rig.report('t0', ended=((key, 1, outcome),))
    rig.report('t0', active=((key, 2),))
    assert rig.start()


@pytest.mark.parametrize(
    'body',
    [
        b'{"clock_ms": Infinity, "active": [], "finished": []}',
        b'{"clock_ms": 1, "active": [[1, 2, "", 3]], "finished": []}',
        b'{"clock_ms": 1, "active": [[null]], "finished": {}}',
        b'{"clock_ms": 1, "active": [["a.0.0.0", NaN, "", 3]], "finished": []}',
        b'{"clock_ms": 1, "active": 7, "finished": []}',
        b'[]',
        b'\xff',
    ],
)
def test_report_of_another_form(body: bytes) -> None:
    """Guards against an error that the link to a target has no answer to."""
    with pytest.raises(TargetSilentError):
        _decode_report(HttpReply(200, [], body))


def test_job_that_cannot_be_planned(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one job that keeps all others from being started."""
    rig = SchedulerHarness()
    rig.add_job()
    rig.add_job(make_job(job_id=OTHER_JOB_ID))
    find_run_id = rig.planner._find_run_id

    def fail(record: Any, keys: list[TaskKey]) -> int:
        if record.job.job_id == JOB_ID:
            raise ZeroDivisionError
        return find_run_id(record, keys)

    monkeypatch.setattr(rig.planner, '_find_run_id', fail)
    assert [order.key.job_id for order in rig.plan() if isinstance(order, StartOrder)] == [
        OTHER_JOB_ID
    ]
    monkeypatch.undo()
    assert not rig.plan()


async def test_supervised(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against work that never starts again, or starts again without a pause."""
    starts_s: list[float] = []
    metrics = CountingMetrics()

    async def work() -> None:
        starts_s.append(trio.current_time())
        if len(starts_s) < 3:
            raise LookupError('unexpected')

    await supervise('work', work, metrics)
    assert [later - starts_s[0] for later in starts_s] == [0, RESTART_PAUSE_S, 2 * RESTART_PAUSE_S]
    assert metrics.names == ['unexpected_errors.work'] * 2


class TwoRows:
    """A store whose feed has two changes."""

    async def read_parts(self, table: str, parts: tuple[str, ...]) -> list[RowPage]:
        """Return an empty table."""
        return [RowPage((), 1) for _ in parts]

    async def read_changes(self, table: str, after_version: int) -> RowPage:
        """Return both rows, then wait."""
        if after_version > 1:
            await trio.sleep_forever()
        rows = tuple(StoredRow(table, '', key, b'', 2) for key in ('bad', 'good'))
        return RowPage(rows, 2)


async def test_row_that_cannot_be_taken(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a feed that ends, or skips the rows behind one that can't be taken in."""
    taken: list[str] = []

    def take(row: StoredRow) -> None:
        if row.key == 'bad':
            raise KeyError(row.key)
        taken.append(row.key)

    rows: Any = TwoRows()
    feed = RowFeed(rows, 'table', ('',), take, TrioClock())
    with trio.move_on_after(1):
        await feed.run()
    assert taken == ['good']
