"""Jobs with many timed occurrences beside jobs of others.

292 jobs of 50 steps, each due 100 times, made each plan take longer than the term, as every plan examined
all steps of all occurrences and tried to start each that waited. No task of any team started any more
(review, other/schedules).
"""

from collections.abc import Iterator
from dataclasses import replace
from random import Random

import pytest

from comfreywind.jobs.progress import Progress
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.step import Step
from comfreywind.jobs.task_key import TaskKey
from comfreywind.jobs.team import Team
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.planner import Planner
from comfreywind.scheduling.unlock_queue import STEPS_PER_PLAN, UnlockQueue
from tests.helpers.scheduler_harness import STEP, TEAM, SchedulerHarness, make_job

OCCURRENCES = 100
INTERVAL_MS = 100
ALL_DUE_MS = OCCURRENCES * INTERVAL_MS
TIMED = {'occurrence_count': OCCURRENCES, 'first_due_ms': 1, 'interval_ms': INTERVAL_MS}


def make_chain(length: int) -> tuple[Step, ...]:
    """Return steps that each wait for the one before."""
    return tuple(replace(STEP, after=(index - 1,) if index else ()) for index in range(length))


def test_steps_are_examined_when_something_has_changed() -> None:
    """A plan must not examine all occurrences of a job again when nothing has changed."""
    queue = UnlockQueue(make_job(*make_chain(50), **TIMED))
    assert queue.take(0) == []
    queue.add(7)
    assert queue.take(1) == [0]
    assert queue.take(1) == []
    limit = STEPS_PER_PLAN // 50
    taken = [queue.take(ALL_DUE_MS) for _ in range(OCCURRENCES)]
    assert [each for part in taken for each in part] == list(range(1, OCCURRENCES))
    assert max(map(len, taken)) == limit
    queue.add(7)
    assert queue.take(ALL_DUE_MS) == [7]


def unlock_all(record: JobRecord, now_ms: float) -> Iterator[tuple[int, int]]:
    """Unlock steps until none follows, and return them."""
    while found := record.list_unlockable(now_ms):
        record.unlocked.update(found)
        yield from found


@pytest.mark.parametrize('seed', range(20))
def test_every_step_is_unlocked_in_turn(seed: int) -> None:
    """No step is left out or unlocked too soon, in whatever order tasks end and occurrences are due."""
    random = Random(seed)
    steps = tuple(
        replace(STEP, after=tuple(sorted(random.sample(range(index), random.randrange(index + 1)))))
        for index in range(6)
    )
    job = make_job(*steps, **{**TIMED, 'occurrence_count': 8})
    record = JobRecord(job, Progress(), 1, reconciled=True)
    running: list[tuple[int, int]] = []
    for now_ms in range(0, 8 * INTERVAL_MS + 400, 20):
        running.extend(unlock_all(record, now_ms))
        for occurrence, number in record.unlocked:
            assert job.compute_due_ms(occurrence) <= now_ms
            done = record.progress.done
            assert all((occurrence, before, 0) in done for before in steps[number].after)
        random.shuffle(running)
        for occurrence, number in running[: len(running) // 2 + 1]:
            record.mark_done(TaskKey(job.job_id, occurrence, number, 0))
        del running[: len(running) // 2 + 1]
    while running:
        occurrence, number = running.pop()
        record.mark_done(TaskKey(job.job_id, occurrence, number, 0))
        running.extend(unlock_all(record, ALL_DUE_MS))
    assert record.is_complete()


@pytest.mark.parametrize('ceiling_mc', [0, 2000])
def test_waiting_occurrences_are_not_tried_one_by_one(
    ceiling_mc: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A full pool or a reached ceiling is found once for a step, not for each of its occurrences."""
    rig = SchedulerHarness(1, cpu=3000)
    rig.scheduler_state.rules.teams[TEAM] = Team(TEAM, ceiling=Resources(ceiling_mc, 0, 0))
    job = rig.add_job(make_job(*make_chain(2), **TIMED))
    rig.start()
    record = rig.scheduler_state.jobs[job.job_id]
    assert len(record.waiting) > OCCURRENCES / 2
    tried: list[TaskKey] = []
    start_task = Planner._start_task

    def count(planner: Planner, record: JobRecord, key: TaskKey, *rest: object) -> object:
        tried.append(key)
        return start_task(planner, record, key, *rest)  # type: ignore[arg-type]

    monkeypatch.setattr(Planner, '_start_task', count)
    assert not rig.start()
    assert len(tried) <= 2
