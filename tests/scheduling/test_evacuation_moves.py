"""Which runs are moved out of an evacuated data centre, and when they are stopped."""

from dataclasses import replace

import pytest

from comfreywind.decisions.scheduling.evacuation_moves import StayReason, allows_stop, should_move
from comfreywind.decisions.scheduling.maintenance import StepHealth
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.run_report import RunOutcome
from comfreywind.jobs.step import Step
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.evacuation_mover import EvacuationMover
from comfreywind.scheduling.orders import StartOrder, StopOrder
from comfreywind.scheduling.target_capacity import describe_capacity
from tests.helpers.scheduler_harness import SchedulerHarness, make_job

OLD = 'north-2'
HALF = Resources(2000, 100)
SERVING = Step(4, HALF, long_running=True, unavailable_limit=1)
SAVED = Step(1, HALF, estimate_ms=20_000, checkpointing=True)
SHORT = Step(1, HALF, estimate_ms=1000)
GANG = Step(3, HALF, estimate_ms=20_000, checkpointing=True, gang=True)


class Rig:
    """Two targets in the old data centre with all runs at work, and empty ones in the new one."""

    def __init__(self, *steps: Step, new_targets: int = 2) -> None:
        """Start a job of each step in the old data centre, and evacuate it."""
        self.harness = SchedulerHarness(targets=2)
        for number, step in enumerate(steps):
            self.harness.add_job(make_job(step, job_id=f'{number:016x}', accepted_ms=number))
        assert self.harness.start()
        for target in ('t0', 't1'):
            self.harness.place_target(target, OLD)
            self.report(target)
        for number in range(new_targets):
            self.harness.add_target(f'n{number}')
        self.mover = EvacuationMover(self.harness.scheduler_state, self._may_start)
        self.harness.evacuated = {OLD}
        self.all_evacuated = False

    def _may_start(self, target: object) -> bool:
        return self.harness.may_start(target, self.harness.now_s)  # type: ignore[arg-type]

    def report(self, target: str, ended: object = ()) -> None:
        """Let a target report its runs: long-running ones at work, others at their begin."""
        runs = self.harness.scheduler_state.targets[target].runs.values()
        gone = {key for key, *_ in ended}  # type: ignore[attr-defined]
        active = tuple((run.key, run.run_id) for run in runs if run.key not in gone)
        percents = {run.key: 100 if run.long_running else 10 for run in runs}
        self.harness.report(target, active, ended, percents=percents)  # type: ignore[arg-type]

    def stop(self) -> list[StopOrder]:
        """Return the stop orders of one turn."""
        evacuated = frozenset(self.harness.evacuated)
        orders = self.mover.advance(evacuated, self.all_evacuated, self.harness.now_s)
        return [order for order in orders if isinstance(order, StopOrder)]

    def end(self, orders: list[StopOrder]) -> None:
        """Let the targets list the stopped runs as ended."""
        for order in orders:
            self.report(order.target_id, ended=((order.key, order.run_id, RunOutcome.STOPPED),))

    def start(self) -> list[StartOrder]:
        """Plan as the holder does, and let the targets confirm the starts."""
        self.mover.holds.release_ended()
        return self.harness.start()

    def count_at_work(self) -> int:
        """Return the number of runs at work."""
        targets = self.harness.scheduler_state.targets.values()
        return sum(run.at_work for target in targets for run in target.runs.values())

    def list_left(self) -> dict[StayReason, int]:
        """Return the runs that are left in the old data centre, by reason."""
        return dict(self.mover.stays[OLD])


def test_long_running_tasks_move_in_turn() -> None:
    """All serving tasks leave, and never is more than one of the step unavailable (AVAIL)."""
    rig = Rig(SERVING)
    lowest = rig.count_at_work()
    for _ in range(4):
        (order,) = rig.stop()
        assert not rig.stop()
        assert rig.list_left()[StayReason.STOPPING] == 1
        lowest = min(lowest, rig.count_at_work())
        rig.end([order])
        (start,) = rig.start()
        assert start.target_id in {'n0', 'n1'}
        # The next one has to stay until this one serves.
        assert not rig.stop()
        rig.report(start.target_id)
    assert lowest == SERVING.task_count - 1
    assert not rig.stop() and rig.list_left() == {}
    assert not any(
        target.held.cpu_millicores for target in rig.harness.scheduler_state.targets.values()
    )


@pytest.mark.parametrize('step', [SERVING, SAVED, GANG])
def test_no_place(step: Step) -> None:
    """A run is not stopped without a place elsewhere; the pool grows for long-running tasks."""
    rig = Rig(step, new_targets=1 if step is GANG else 0)
    assert not rig.stop()
    assert rig.list_left()[StayReason.NO_PLACE] == (4 if step is SERVING else step.task_count)
    # A VM holds two of the four.
    assert rig.mover.count_vms_for_moves('north') == (2 if step is SERVING else 0)


def test_gang_without_room_takes_no_place() -> None:
    """A gang that does not fit as a whole leaves the places to others."""
    rig = Rig(GANG, SAVED, new_targets=1)
    assert [order.key.job_id for order in rig.stop()] == [f'{1:016x}']


def test_place_is_kept() -> None:
    """Short tasks don't take the place of a long-running one that is to come, however many wait."""
    rig = Rig(Step(1, HALF, long_running=True, unavailable_limit=1), new_targets=1)
    for number in range(9):
        rig.harness.add_job(make_job(SHORT, job_id=f'b{number:015x}'))
    shorts = rig.start()
    assert len(shorts) == 2
    assert not rig.stop()
    assert not rig.harness.end(shorts[0], RunOutcome.DONE)
    assert not rig.start()
    (order,) = rig.stop()
    rig.end([order])
    (start,) = rig.start()
    assert start.key == order.key


def test_checkpointed_task_resumes() -> None:
    """A task with checkpoints continues elsewhere from its last one, and others finish."""
    rig = Rig(SAVED, SHORT)
    run = rig.harness.scheduler_state.jobs['0' * 16].runs[TaskKey('0' * 16, 0, 0, 0)]
    run.checkpoint = 'c1'
    (order,) = rig.stop()
    assert rig.list_left() == {StayReason.STOPPING: 1, StayReason.FINISHES: 1}
    rig.end([order])
    (start,) = rig.start()
    assert (start.target_id in {'n0', 'n1'}, start.checkpoint) == (True, 'c1')


def test_gang_moves_as_a_whole() -> None:
    """All members of a gang stop together, also those elsewhere, and start together."""
    rig = Rig(GANG)
    rig.harness.place_target('t1', 'dc')
    orders = rig.stop()
    assert len(orders) == GANG.task_count
    rig.end(orders[:2])
    assert not rig.start()
    # Other tasks can't take the places of those that have ended first.
    assert len(rig.mover.holds.by_key) == GANG.task_count
    rig.end(orders[2:])
    assert len({order.run_id for order in rig.start()}) == 1


@pytest.mark.parametrize('reason', [StayReason.ALL_EVACUATED, StayReason.UNREACHABLE])
def test_nothing_is_stopped(reason: StayReason) -> None:
    """Nothing is stopped with no data centre left, or where the stop might not be heard of."""
    rig = Rig(SERVING)
    rig.all_evacuated = reason is StayReason.ALL_EVACUATED
    for target in ('t0', 't1'):
        rig.harness.scheduler_state.targets[target].silent = not rig.all_evacuated
    assert not rig.stop()
    assert rig.list_left() == {reason: 4}


def test_taken_back() -> None:
    """Places that were kept for moves are free again, and nothing is stopped or moved back."""
    rig = Rig(Step(1, HALF, long_running=True, unavailable_limit=1), new_targets=1)
    for number in range(2):
        rig.harness.add_job(make_job(SHORT, job_id=f'b{number:015x}'))
    rig.start()
    assert not rig.stop() and rig.mover.holds.by_key
    rig.harness.evacuated = set()
    assert not rig.stop() and not rig.mover.holds.by_key


@pytest.mark.parametrize(
    ('step', 'percent', 'moves'),
    [(SERVING, 100, True), (SHORT, 0, False), (SAVED, 74, True), (SAVED, 75, False)],
)
def test_worth_moving(step: Step, percent: int, moves: bool) -> None:
    """Work is not thrown away that has no checkpoint, or of which no more than 5 s is left."""
    assert should_move(step, percent) is moves


# Limit, tasks not at work, runs to be stopped, those at work, others about to be stopped.
@pytest.mark.parametrize('refused', [(1, 1, 1, 1, 0), (2, 0, 1, 1, 2), (2, 0, 3, 3, 0)])
@pytest.mark.parametrize(
    'allowed', [(0, 9, 3, 3, 0), (1, 0, 1, 1, 0), (1, 1, 1, 0, 0), (3, 0, 3, 3, 0)]
)
def test_availability(refused: tuple[int, ...], allowed: tuple[int, ...]) -> None:
    """Not more tasks of a step end than may be unavailable, whatever the cause (AVAIL)."""
    for facts in (refused, allowed):
        limit, unavailable, *counts = facts
        assert allows_stop(StepHealth(limit, unavailable, {}), *counts) is (facts is allowed)


def test_cold_targets_come_last() -> None:
    """After an evacuation tasks go to warm targets first, as long as these have room."""
    harness = SchedulerHarness(targets=1)
    harness.add_target('t1')
    cold = harness.scheduler_state.targets['t0']
    cold.entry, cold.registered_s = replace(cold.entry, cold_left_ms=2000), harness.now_s
    cold.note_cold()
    for number in range(3):
        harness.add_job(make_job(Step(1, HALF), job_id=f'{number:016x}'))
    assert [order.target_id for order in harness.start()] == ['t1', 't1', 't0']
    harness.now_s += 2
    assert not describe_capacity(cold, harness.now_s).cold
