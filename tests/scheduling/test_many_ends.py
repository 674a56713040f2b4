"""Targets on which more runs have ended than one report lists."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest
import trio

from comfreywind.decisions.scheduling.handover import compute_earlier_lapse_s
from comfreywind.decisions.scheduling.open_start import DEFAULT_LEASE_LIMIT_S
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.run_report import ActiveRun, EndedRun, RunOutcome, TargetReport
from comfreywind.jobs.step import Step
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.known_runs import KnownRuns
from comfreywind.scheduling.progress_journal import ProgressJournal
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.settlement import Reconciliation
from comfreywind.scheduling.target_registry import TargetRegistry
from comfreywind.scheduling.term_keeper import HeldTerm
from tests.helpers.scheduler_harness import JOB_ID, SchedulerHarness, make_job
from tests.helpers.trio_clock import TrioClock

EARLIER_RUNS_LAPSE_S = compute_earlier_lapse_s(DEFAULT_LEASE_LIMIT_S)
TASKS = 5
LEASE_END_S = 9.0


def make_report(
    ended: range, active: range = range(0), complete: bool = True, incarnation_start_ms: int = 1
) -> TargetReport:
    """Return a report in which the runs of these task numbers have ended, or are active."""
    return TargetReport(
        0,
        incarnation_start_ms,
        tuple(ActiveRun(TaskKey(JOB_ID, 0, 0, number), 1, '', 50, 0) for number in active),
        tuple(
            EndedRun(number + 1, TaskKey(JOB_ID, 0, 0, number), 1, RunOutcome.DONE, '')
            for number in ended
        ),
        complete,
    )


def run_tasks() -> SchedulerHarness:
    """Return a scheduler state in which all tasks of a job run on one target."""
    harness = SchedulerHarness(targets=1, cpu=10_000)
    harness.add_job(make_job(Step(TASKS, Resources(1000, 100))))
    assert len(harness.start()) == TASKS
    harness.now_s += 1
    return harness


def apply(harness: SchedulerHarness, report: TargetReport) -> list[Any]:
    """Apply a report of the target that was requested just now."""
    record = harness.scheduler_state.targets['t0']
    return harness.scheduler_state.apply_report(
        record, report, record.doubt.fence, harness.now_s, harness.now_s
    )


def test_run_missing_from_partial_report() -> None:
    """A run must not start again because a report did not list its end yet."""
    harness = run_tasks()
    assert not apply(harness, make_report(range(2), complete=False))
    assert not harness.plan()
    assert not apply(harness, make_report(range(2, TASKS)))
    assert not harness.plan()
    assert not harness.scheduler_state.open_jobs


def test_run_missing_from_complete_report() -> None:
    """A run of which a complete report shows neither activity nor end starts again."""
    harness = run_tasks()
    apply(harness, make_report(range(2)))
    assert len(harness.plan()) == TASKS - 2


def test_report_of_earlier_incarnation() -> None:
    """A late report of an earlier incarnation must not hide ends of the present one."""
    harness = run_tasks()
    harness.restart('t0')
    assert harness.start()
    apply(harness, make_report(range(TASKS)))
    assert harness.scheduler_state.targets['t0'].applied_number == 0
    assert harness.scheduler_state.open_jobs


class HeldBackRows:
    """A store that answers a write once it may."""

    def __init__(self) -> None:
        """Hold back all answers."""
        self.may_answer = trio.Event()

    async def commit(self, part: str, changes: Any, permit: Any = None) -> int:
        """Store everything."""
        await self.may_answer.wait()
        return 2


async def test_restart_during_write() -> None:
    """Ends of a restarted target don't count as stored by a write of the time before.

    They would be acknowledged, and forgotten by the target, before they are stored.
    """
    harness = run_tasks()
    state, rows = harness.scheduler_state, HeldBackRows()
    apply(harness, make_report(range(1)))
    journal = ProgressJournal(cast('Any', rows), state)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(journal.flush)
        await trio.testing.wait_all_tasks_blocked()
        harness.restart('t0')
        apply(harness, make_report(range(1, 3), incarnation_start_ms=2))
        rows.may_answer.set()
    assert state.targets['t0'].applied_number == 3
    assert state.targets['t0'].stored_number == 0


@pytest.mark.parametrize('waits', ['unstored', 'unlisted'])
def test_registry_names_targets_with_ends(waits: str) -> None:
    """The next holder must wait for a silent target whose ends are not stored yet."""
    harness = run_tasks()
    state = harness.scheduler_state
    apply(harness, make_report(range(TASKS), complete=waits == 'unstored'))
    target = state.targets['t0']
    if waits == 'unlisted':
        target.stored_number = target.applied_number
    target.known_runs = KnownRuns.ALL if waits == 'unstored' else KnownRuns.ACTIVE
    target.silent = True
    registry = TargetRegistry(cast('Any', None), state, TrioClock(), lambda: None, lambda: True)
    assert registry._list_targets_to_store() == {'t0'}
    target.known_runs, target.stored_number = KnownRuns.ALL, target.applied_number
    assert registry._list_targets_to_store() == set()


class EmptyRows:
    """A store without progress."""

    async def read_partitions(self, table: str, partitions: Any) -> list[Any]:
        """Return no rows."""
        return []


def make_reconciliation(state: SchedulerState) -> Reconciliation:
    """Return the reconciliation of a holder that has just taken over from one that ran on t0."""
    registry = SimpleNamespace(
        earlier_targets=frozenset({'t0'}),
        earlier_targets_known=True,
        drop_earlier_targets=lambda: None,
    )
    clock = TrioClock()
    return Reconciliation(
        HeldTerm(2, 1, clock.read_monotonic_s()),
        cast('Any', EmptyRows()),
        state,
        cast('Any', None),
        cast('Any', registry),
        clock,
        lambda target_id: False,
    )


def answer_on(state: SchedulerState) -> None:
    """Leave the target as it is: it answers, and has ends to list."""


def list_rest(state: SchedulerState) -> None:
    """Let the target list the rest of its ends."""
    record = state.targets['t0']
    state.apply_report(record, make_report(range(2, TASKS)), record.doubt.fence, 0, 0)


def fall_silent(state: SchedulerState) -> None:
    """Let the target give no more answers."""
    state.targets['t0'].silent = True


def crash(state: SchedulerState) -> None:
    """Let the target end its life."""
    state.end_incarnation(state.targets['t0'])


@pytest.mark.parametrize(
    ('event', 'lease_end_s', 'starts_after_s'),
    [
        (answer_on, LEASE_END_S, float('inf')),
        (list_rest, LEASE_END_S, 0),
        (crash, LEASE_END_S, 0),
        (fall_silent, LEASE_END_S, LEASE_END_S),
        # The lease was last extended by the earlier holder.
        (fall_silent, float('-inf'), EARLIER_RUNS_LAPSE_S),
    ],
)
async def test_takeover_with_unlisted_ends(
    autojump_clock: trio.testing.MockClock,
    event: Callable[[SchedulerState], None],
    lease_end_s: float,
    starts_after_s: float,
) -> None:
    """Older tasks wait until each target has listed all ends, however long that takes."""
    harness = SchedulerHarness(targets=1, cpu=10_000, epoch=2)
    state = harness.scheduler_state
    harness.add_job(make_job(Step(TASKS, Resources(1000, 100))), reconciled=False)
    record = state.targets['t0']
    record.known_runs = KnownRuns.NONE
    state.apply_report(record, make_report(range(2), complete=False), record.doubt.fence, 0, 0)
    record.doubt.lease_end_s = TrioClock().read_monotonic_s() + lease_end_s
    reconciliation = make_reconciliation(state)
    started_s = trio.current_time()
    done = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reconciliation.run, done.set)
        await trio.sleep(0.2)
        assert not reconciliation.done
        event(state)
        with trio.move_on_after(max(EARLIER_RUNS_LAPSE_S, LEASE_END_S) + 5):
            await done.wait()
        nursery.cancel_scope.cancel()
    assert reconciliation.done == (starts_after_s < float('inf'))
    if reconciliation.done:
        assert starts_after_s <= trio.current_time() - started_s < starts_after_s + 0.5
