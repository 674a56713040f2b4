"""Work of the keeper of pools on a fleet with many pools, targets and ended jobs."""

from collections.abc import ValuesView

import pytest

from comfreywind.decisions.scheduling import past_load
from comfreywind.decisions.scheduling.pool_policy import PoolPolicy
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.pool import Pool
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.step import Step
from comfreywind.scheduling import demand_watch
from comfreywind.scheduling.pool_sizer import PoolSizer
from comfreywind.scheduling.target_record import TargetRecord
from tests.helpers.scheduler_harness import SchedulerHarness, make_job

NOW_MS = 10_000_000
ONE_HOUR_MS = 3_600_000


class CountedTargets(dict[str, TargetRecord]):
    """Targets that count how often all of them are looked at."""

    passes = 0

    def values(self) -> ValuesView[TargetRecord]:
        """Return all targets."""
        self.passes += 1
        return super().values()


def count_passes(pools: int) -> int:
    """Return how often all targets are looked at to size so many pools once."""
    rig = SchedulerHarness(targets=4)
    rig.add_job()
    rig.start()
    targets = CountedTargets(rig.scheduler_state.targets)
    rig.scheduler_state.targets = targets
    sizer = PoolSizer(rig.scheduler_state, PoolPolicy())
    sizer.choose([Pool(f'pool-{number}') for number in range(pools)], {}, rig.now_s)
    return targets.passes


def test_targets_are_looked_at_once_for_all_pools() -> None:
    """Guards against a keeper whose work grows with the pools times the targets.

    With 56 pools, 7,100 targets and 5,000 open jobs a look took 1.2 s, in which the holder did nothing else.
    """
    assert count_passes(pools=56) == count_passes(pools=2)


def test_old_jobs_are_not_recalled(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a new holder that reconstructs the load of hours, for which it plans nothing."""
    rig = SchedulerHarness(targets=1)
    for number, accepted_ms in enumerate((NOW_MS - ONE_HOUR_MS, NOW_MS - 1000)):
        job = make_job(
            Step(1, Resources(1000, 100)), job_id=f'{number:016x}', accepted_ms=accepted_ms
        )
        rig.scheduler_state.add_job(
            job, Progress(JobState.COMPLETE, {(0, 0, 0)}), 1, reconciled=True
        )
    recalled: list[int] = []

    def note_job(job: past_load.Job) -> list[past_load.PastWork]:
        recalled.append(job.accepted_ms)
        return past_load.list_past_work(job)

    monkeypatch.setattr(demand_watch, 'list_past_work', note_job)
    PoolSizer(rig.scheduler_state, PoolPolicy()).replay_past_load(rig.now_s, NOW_MS)
    assert recalled == [NOW_MS - 1000]
