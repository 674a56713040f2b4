"""One malformed message or unexpected error takes a whole process down.

A target that reported the end of a task that a known job does not have ended the holder with an
IndexError, and each later holder as well, because the target reported the end again.
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
    """Records the names of counted events."""

    def __init__(self) -> None:
        """Start without events."""
        self.names: list[str] = []

    def count(self, name: str) -> None:
        """Record the name of an event."""
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
    """Ignores runs of tasks that don't exist in a target's report, and goes on scheduling.

    An IndexError or KeyError for such a run would end the holder.
    """
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
    """Raises TargetSilentError for a report in an unexpected form.

    The link to a target handles only this error; any other one would end the holder.
    """
    with pytest.raises(TargetSilentError):
        _decode_report(HttpReply(200, [], body))


def test_job_that_cannot_be_planned(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sets aside a job whose planning fails, and starts the others.

    An error of one job that ended the whole plan would keep all jobs from being started.
    """
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
    """Restarts failed work after a pause and counts the errors.

    Without a restart the work would stay down; without the pause a persistent error would use
    up the processor.
    """
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
    """A store whose feed returns two changed rows once."""

    async def read_partitions(self, table: str, partitions: tuple[str, ...]) -> list[RowPage]:
        """Return empty partitions."""
        return [RowPage((), 1) for _ in partitions]

    async def read_changes(self, table: str, after_version: int) -> RowPage:
        """Return both rows to the first call; later calls wait without end."""
        if after_version > 1:
            await trio.sleep_forever()
        rows = tuple(StoredRow(table, '', key, b'', 2) for key in ('bad', 'good'))
        return RowPage(rows, 2)


async def test_row_that_cannot_be_taken(autojump_clock: trio.testing.MockClock) -> None:
    """Goes on with the next row of a feed when the handler fails on one.

    A feed that ended there, or dropped the rest of the page, would miss later changes.
    """
    applied: list[str] = []

    def apply_row(row: StoredRow) -> None:
        if row.key == 'bad':
            raise KeyError(row.key)
        applied.append(row.key)

    rows: Any = TwoRows()
    feed = RowFeed(rows, 'table', ('',), apply_row, TrioClock())
    with trio.move_on_after(1):
        await feed.run()
    assert applied == ['good']
