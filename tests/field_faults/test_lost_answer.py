"""After a lost reply, work that had run is run again or is reported as not run.

A start without a reply counts as a run until its stop is confirmed and a report of the target that
was requested after the timeout does not show it. A job whose write had no reply is written again on
the condition that it does not exist, and its caller gets 504 when that second write is refused.
"""

import pytest

from comfreywind.errors import RowsChangedError, StoreRefusedError, StoreUnavailableError
from comfreywind.intake.job_store import JobStore
from comfreywind.jobs.job_codec import encode_job
from comfreywind.jobs.run_report import RunOutcome
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.platform.stored_row import StoredRow
from comfreywind.scheduling.orders import StartOrder, StopOrder
from tests.helpers.manual_clock import ManualClock
from tests.helpers.scheduler_harness import SchedulerHarness, make_job

JOB = make_job()
TAKEN = RowsChangedError((StoredRow('t', 'p', JOB.job_id, encode_job(JOB), 7),))


class ScriptedRows:
    """A store whose commits return the versions or raise the errors that the test lists."""

    def __init__(self, outcomes: list[int | Exception]) -> None:
        """Use one of the outcomes, in order, for each commit."""
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
    """Raises StoreRefusedError only for a job that is certainly not stored.

    When the reply to the write of a job is lost, the job may be stored. A caller that was told it
    is not would submit it again under a new id, and it would run twice.
    """
    store = JobStore(ScriptedRows(list(outcomes)), 65_536, 120, ManualClock())  # type: ignore[arg-type]
    if isinstance(expected, bool):
        assert await store.accept(JOB, lambda: True) is expected
        return
    with pytest.raises(expected) as raised:
        await store.accept(JOB, lambda: True)
    assert raised.type is expected


def start_without_answer() -> tuple[SchedulerHarness, StartOrder]:
    """Return a scheduler state with a start order whose reply was lost, and the order."""
    rig = SchedulerHarness(targets=2)
    rig.add_job()
    (order,) = rig.plan()
    assert isinstance(order, StartOrder)
    rig.answer(order, StartAnswer.UNKNOWN)
    return rig, order


@pytest.mark.parametrize('outcome', [RunOutcome.DONE, RunOutcome.FAILED])
def test_run_ended_before_its_answer(outcome: RunOutcome) -> None:
    """Uses the reported end of a run although the reply to its start was lost.

    If only confirmed starts could end, a completed task would run again.
    """
    rig, order = start_without_answer()
    rig.now_s += 1
    rig.report(order.target_id, ended=((order.key, order.run_id, outcome),))
    again = [each for each in rig.plan() if isinstance(each, StartOrder)]
    assert [each.run_id for each in again] == ([] if outcome is RunOutcome.DONE else [2])


def test_run_carried_out_late() -> None:
    """Starts no second run while the target may still carry out the first start order.

    The order may be delayed on its way, so the first report without the run proves nothing: the run
    appears later in the test. A new run is planned only after a confirmed stop and a later report.
    """
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
