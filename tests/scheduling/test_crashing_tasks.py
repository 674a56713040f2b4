"""Tasks that crash every target that starts them, beside tasks that do not."""

from collections import Counter
from dataclasses import replace

import pytest

from comfreywind.decisions.scheduling.crash_blame import BLAME_WINDOW_S
from comfreywind.decisions.scheduling.crash_history import MEMORY_S
from comfreywind.decisions.scheduling.open_start import ORDER_DELAY_LIMIT_S
from comfreywind.jobs.job_codec import decode_progress, encode_progress
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.run_report import RunOutcome
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.jobs.step import Step
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.orders import StartOrder
from tests.helpers.scheduler_harness import SchedulerHarness, make_job

DEADLY_JOB = '00000000000000d1'
DEADLY = TaskKey(DEADLY_JOB, 0, 0, 0)
INNOCENT_JOBS = tuple(f'00000000000000e{number}' for number in range(4))
# The users allow fewer than three further starts after three crashes.
STARTS_ALLOWED = 5
ROUNDS = 40
TASK = Step(4, Resources(500, 100), estimate_ms=1000)


class CrashingFleet:
    """Targets of which each crashes that starts the deadly task, and is back in the next round."""

    def __init__(self, targets: int, seen_before_crash: bool, epoch: int = 1) -> None:
        """If `seen_before_crash` is set, a report shows progress of the task before the crash."""
        self.rig = SchedulerHarness(targets, epoch=epoch)
        self.starts: Counter[TaskKey] = Counter()
        self._seen_before_crash = seen_before_crash
        self._incarnations = dict.fromkeys(self.rig.scheduler_state.targets, 1)

    def add_jobs(self) -> None:
        """Add the deadly job among others."""
        for job_id in (*INNOCENT_JOBS[:2], DEADLY_JOB, *INNOCENT_JOBS[2:]):
            self.rig.add_job(make_job(TASK, job_id=job_id))

    def play_round(self) -> None:
        """Start what the planner chooses; runs of before are done, or lost with their target."""
        ended = {
            target_id: [(run.key, run.run_id, RunOutcome.DONE) for run in record.runs.values()]
            for target_id, record in self.rig.scheduler_state.targets.items()
        }
        orders = self.rig.start()
        self.starts.update(order.key for order in orders)
        for target_id in ended:
            started = [order for order in orders if order.target_id == target_id]
            if any(order.key == DEADLY for order in started):
                self._crash(target_id, started)
            else:
                self._report(target_id, started, ended[target_id])

    def get_state(self, job_id: str) -> JobState:
        """Return the state of a job."""
        return self.rig.scheduler_state.jobs[job_id].progress.state

    def _crash(self, target_id: str, started: list[StartOrder]) -> None:
        if self._seen_before_crash:
            self._report(target_id, started, [])
        self._incarnations[target_id] += 1
        self.rig.restart(target_id)

    def _report(
        self,
        target_id: str,
        started: list[StartOrder],
        ended: list[tuple[TaskKey, int, RunOutcome]],
    ) -> None:
        active = tuple((order.key, order.run_id) for order in started)
        self.rig.report(
            target_id,
            active,
            tuple(ended),
            self._incarnations[target_id],
            percents={key: 50 for key, _ in active},
        )


# Guards against a task that crashes target after target without end (dewpa-sched, BUDGET): a run
# that was lost with its target was queued again, and no attempt was counted.
@pytest.mark.parametrize('seen_before_crash', [False, True])
@pytest.mark.parametrize('targets', [2, 4, 9])
def test_crashing_task_is_given_up(targets: int, seen_before_crash: bool) -> None:
    """Gives up a task that crashes its targets, and completes the jobs beside it."""
    fleet = CrashingFleet(targets, seen_before_crash)
    fleet.add_jobs()
    for _ in range(ROUNDS):
        fleet.play_round()
    assert fleet.starts[DEADLY] <= STARTS_ALLOWED
    assert fleet.get_state(DEADLY_JOB) is JobState.FAILED
    assert {fleet.get_state(job_id) for job_id in INNOCENT_JOBS} == {JobState.COMPLETE}


def test_crashes_survive_holder() -> None:
    """Counts crashes on under the next holder, which knows the stored progress only."""
    first = CrashingFleet(2, seen_before_crash=False)
    first.add_jobs()
    while not first.starts[DEADLY]:
        first.play_round()
    second = CrashingFleet(2, seen_before_crash=False, epoch=2)
    for job_id, record in first.rig.scheduler_state.jobs.items():
        progress = decode_progress(encode_progress(record.progress))
        second.rig.scheduler_state.add_job(record.job, progress, 1, reconciled=True)
    for _ in range(ROUNDS):
        second.play_round()
    assert second.starts[DEADLY] == 1
    assert second.get_state(DEADLY_JOB) is JobState.FAILED


def test_suspect_starts_where_least_is_lost() -> None:
    """Starts a suspect on an idle target, and nothing else there until it has made progress."""
    rig = SchedulerHarness(2)
    rig.add_job(make_job(Step(1, Resources(500, 100)), job_id=DEADLY_JOB))
    (order,) = rig.start()
    rig.restart(order.target_id)
    busy_job = rig.add_job(make_job(Step(1, Resources(500, 100)), job_id=INNOCENT_JOBS[0]))
    starts = {each.key.job_id: each for each in rig.start()}
    suspect = starts[DEADLY_JOB]
    assert starts[busy_job.job_id].target_id != suspect.target_id
    rig.add_job(make_job(Step(7, Resources(500, 100)), job_id=INNOCENT_JOBS[1]))
    assert suspect.target_id not in {each.target_id for each in rig.start()}
    rig.report(suspect.target_id, ((suspect.key, suspect.run_id),))
    rig.add_job(make_job(Step(1, Resources(500, 100)), job_id=INNOCENT_JOBS[2]))
    assert [each.target_id for each in rig.start()] == [suspect.target_id]


# Guards against a pool in which nothing starts after one crash under tasks of an hour, as their
# first percent takes 36 s (review, case 9).
@pytest.mark.parametrize('ran_s', [0, BLAME_WINDOW_S])
def test_long_suspects_leave_room(ran_s: float) -> None:
    """Starts other jobs beside more suspects than targets, and keeps the suspects apart."""
    rig = SchedulerHarness(4)
    rig.add_job(make_job(Step(7, Resources(500, 100), estimate_ms=3_600_000), job_id=DEADLY_JOB))
    orders = rig.start()
    (crashed,) = {order.target_id for order in orders}
    runs = tuple((order.key, order.run_id) for order in orders)
    rig.now_s += ran_s
    rig.report(crashed, runs, percents=dict.fromkeys((key for key, _ in runs), 0))
    rig.restart(crashed)
    restarted = rig.start()
    if ran_s:
        assert len(restarted) == len(orders)
        return
    assert len({order.target_id for order in restarted}) == len(restarted) == 2
    rig.add_job(make_job(Step(2, Resources(500, 100)), job_id=INNOCENT_JOBS[0]))
    others = rig.start()
    assert len(others) == 2
    assert not {order.target_id for order in others} & {order.target_id for order in restarted}


def test_suspect_is_cleared_by_time() -> None:
    """Ends the suspicion of a run that goes on without progress, and the count of crashes."""
    rig = SchedulerHarness(1)
    rig.add_job(make_job(job_id=DEADLY_JOB))
    (first,) = rig.start()
    rig.restart(first.target_id)
    (order,) = rig.start()
    record = rig.scheduler_state.jobs[DEADLY_JOB]
    rig.add_job(make_job(job_id=INNOCENT_JOBS[0]))
    for pause_s, cleared in ((BLAME_WINDOW_S - 0.2, False), (0.1, True)):
        rig.now_s += pause_s
        rig.scheduler_state.pop_changed_jobs()
        rig.report(order.target_id, ((order.key, order.run_id),), percents={order.key: 0})
        assert (order.key not in record.suspects) is cleared
        assert record.get_crash_count(order.key) == int(not cleared)
        assert (record in rig.scheduler_state.pop_changed_jobs()) is cleared
    assert [each.target_id for each in rig.start()] == [order.target_id]


# Guards against a long-running job that is given up, with its sound tasks, because its targets crash
# one after another for another reason (review, other/crashes-in-turn).
@pytest.mark.parametrize(('pause_s', 'open_after'), [(MEMORY_S / 10, 3), (2 * MEMORY_S, 1)])
def test_crashes_with_another_cause(pause_s: float, open_after: int) -> None:
    """Gives up a task later while targets without a suspect crash as well, and not much later."""
    rig = SchedulerHarness(2)
    other = rig.add_job(make_job(Step(1, Resources(4000, 100)), job_id=INNOCENT_JOBS[0]))
    (settled,) = rig.start()
    rig.now_s += 2 * BLAME_WINDOW_S
    rig.report(settled.target_id, ((settled.key, settled.run_id),))
    rig.restart(settled.target_id)
    rig.scheduler_state.cancel_job(other.job_id)
    rig.now_s += pause_s
    rig.add_job(make_job(job_id=DEADLY_JOB))
    record = rig.scheduler_state.jobs[DEADLY_JOB]
    crashes = 0
    while record.open:
        for target_id in rig.scheduler_state.targets:
            rig.report(target_id)
        (order,) = rig.start()
        rig.restart(order.target_id)
        crashes += 1
    assert crashes == open_after + 1 < STARTS_ALLOWED


# Guards against a job that is failed although no run of it has begun (review, case 7): a connection
# that broke while a start was sent was counted as a crash by the task.
@pytest.mark.parametrize('acknowledged', [0, 1])
@pytest.mark.parametrize('answer', [StartAnswer.DISCONNECTED, StartAnswer.UNKNOWN])
def test_run_not_begun_is_no_evidence(answer: StartAnswer, acknowledged: int) -> None:
    """Goes on with a task whose orders were lost with their targets, also after one crash by it."""
    rig = SchedulerHarness(1)
    rig.add_job(make_job(job_id=DEADLY_JOB))
    for number in range(ROUNDS):
        rig.now_s += ORDER_DELAY_LIMIT_S
        (order,) = rig.plan()
        assert isinstance(order, StartOrder)
        rig.answer(order, StartAnswer.STARTED if number < acknowledged else answer)
        rig.restart(order.target_id)
    record = rig.scheduler_state.jobs[DEADLY_JOB]
    assert record.open
    assert record.get_crash_count(DEADLY) == acknowledged
    (order,) = rig.start()
    rig.restart(order.target_id)
    assert record.open is (acknowledged == 0)


def lapse(rig: SchedulerHarness, target_id: str) -> None:
    """Let the target be silent until its leases have ended."""
    rig.scheduler_state.lapse_runs(rig.scheduler_state.targets[target_id])


def drain(rig: SchedulerHarness, target_id: str) -> None:
    """Let the VM of the target be ordered down."""
    rig.scheduler_state.targets[target_id].apply_vm_order()


@pytest.mark.parametrize(
    ('steps', 'crash_count'),
    [
        ((SchedulerHarness.restart,), 1),
        ((drain, SchedulerHarness.restart), 0),
        ((lapse,), 0),
        ((lapse, SchedulerHarness.restart), 1),
        ((lapse, SchedulerHarness.report, SchedulerHarness.restart), 0),
    ],
    ids=['crash', 'VM ordered down', 'cut off', 'crash in silence', 'cut off, then another crash'],
)
def test_what_counts_as_crash(steps: tuple, crash_count: int) -> None:  # type: ignore[type-arg]
    """Blames a task for a crash, not for a planned stop or for a target that was only cut off."""
    rig = SchedulerHarness(1)
    rig.add_job(make_job(job_id=DEADLY_JOB))
    (order,) = rig.start()
    for step in steps:
        step(rig, order.target_id)
    record = rig.scheduler_state.jobs[DEADLY_JOB]
    assert record.get_crash_count(order.key) == crash_count


def test_done_task_is_not_blamed() -> None:
    """Blames no task that was done elsewhere when its silent target turns out to have crashed."""
    rig = SchedulerHarness(2)
    later_step = replace(TASK, after=(0,))
    rig.add_job(make_job(TASK, later_step, job_id=DEADLY_JOB))
    orders = rig.start()
    (target_id,) = {order.target_id for order in orders}
    lapse(rig, target_id)
    rig.scheduler_state.targets[target_id].silent = True
    for order in rig.start():
        rig.end(order, RunOutcome.DONE)
    rig.restart(target_id)
    record = rig.scheduler_state.jobs[DEADLY_JOB]
    assert record.open
    assert not record.progress.crashes


def test_gang_starts_after_crash() -> None:
    """Starts a gang whose members are suspects, although fewer targets than members are there."""
    rig = SchedulerHarness(2)
    rig.add_job(make_job(replace(TASK, gang=True), job_id=DEADLY_JOB))
    (target_id, *_) = {order.target_id for order in rig.start()}
    rig.restart(target_id)
    rig.now_s += 1
    assert len(rig.start()) == TASK.task_count
