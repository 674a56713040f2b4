"""After an answer was lost, work that had run was run again, or the caller was told it hadn't run.

Not found here: a start without an answer counts as there until a later list of the target, asked for
after the timeout, does not show it and a stop of it was confirmed; a job whose write had no answer is
written again under the condition that it is new, and its caller gets 504 when that is refused.
"""

import pytest

from comfreywind.errors import RowsChangedError, StoreRefusedError, StoreUnavailableError
from comfreywind.intake.job_store import JobStore
from comfreywind.jobs.job_codec import encode_job
from comfreywind.jobs.run_report import RunOutcome
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.platform.stored_row import StoredRow
from comfreywind.scheduling.orders import StartOrder, StopOrder
from tests.helpers.scheduler_harness import SchedulerHarness, make_job
from tests.helpers.manual_clock import ManualClock

JOB = make_job()
TAKEN = RowsChangedError((StoredRow('t', 'p', JOB.job_id, encode_job(JOB), 7),))


class ScriptedRows:
    """A store whose commits end as the test says: with a version or an error."""

    def __init__(self, outcomes: list[int | Exception]) -> None:
        """Keep the outcomes."""
        self.outcomes = outcomes

    async def commit(self, *_: object) -> int:
        """Return or raise the next outcome."""
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


@pytest.mark.parametrize(
    ('outcomes', 'expected'),
    [
        ([1], True),
        ([TAKEN], False),
        ([StoreUnavailableError(), 2], True),
        ([StoreUnavailableError(), TAKEN], False),
        ([StoreRefusedError()], StoreRefusedError),
        ([StoreUnavailableError(), StoreRefusedError()], StoreUnavailableError),
        ([StoreUnavailableError(), StoreUnavailableError()], StoreUnavailableError),
    ],
)
async def test_acceptance(
    outcomes: list[int | Exception], expected: bool | type[StoreUnavailableError]
) -> None:
    """Guards against `not run` said of a job that may be stored, and against a second job."""
    store = JobStore(ScriptedRows(list(outcomes)), 65_536, 120, ManualClock())  # type: ignore[arg-type]
    if isinstance(expected, bool):
        assert await store.accept(JOB, lambda: True) is expected
        return
    with pytest.raises(expected) as raised:
        await store.accept(JOB, lambda: True)
    assert raised.type is expected


def start_without_answer() -> tuple[SchedulerHarness, StartOrder]:
    """Return a board with a start whose answer was lost."""
    rig = SchedulerHarness(targets=2)
    rig.add_job()
    (order,) = rig.plan()
    assert isinstance(order, StartOrder)
    rig.answer(order, StartAnswer.UNKNOWN)
    return rig, order


@pytest.mark.parametrize('outcome', [RunOutcome.DONE, RunOutcome.FAILED])
def test_run_ended_before_its_answer(outcome: RunOutcome) -> None:
    """Guards against a task that runs again although its end is listed."""
    rig, order = start_without_answer()
    rig.now_s += 1
    rig.report(order.target_id, ended=((order.key, order.run_id, outcome),))
    again = [each for each in rig.plan() if isinstance(each, StartOrder)]
    assert [each.run_id for each in again] == ([] if outcome is RunOutcome.DONE else [2])


def test_run_carried_out_late() -> None:
    """Guards against a second run while the first may still be carried out."""
    rig, order = start_without_answer()
    rig.now_s += 1
    (stop,) = rig.report(order.target_id)
    assert isinstance(stop, StopOrder)
    assert not rig.plan()
    assert rig.scheduler_state.apply_stop_answer(stop, False, rig.now_s) == [stop]
    assert not rig.plan()
    rig.report(order.target_id, active=((order.key, order.run_id),))
    assert not rig.plan()
    rig.now_s += 1
    rig.scheduler_state.apply_stop_answer(stop, True, rig.now_s)
    assert not rig.plan()
    rig.now_s += 1
    rig.report(order.target_id)
    (again,) = rig.plan()
    assert isinstance(again, StartOrder)
    assert again.run_id > order.run_id
