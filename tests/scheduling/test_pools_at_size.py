"""Cost of sizing the pools of a fleet with many pools, targets and ended jobs."""

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
    """Targets that count the passes over all of them."""

    passes = 0

    def values(self) -> ValuesView[TargetRecord]:
        """Return all targets."""
        self.passes += 1
        return super().values()


def count_passes(pools: int) -> int:
    """Return the number of passes over all targets to size this number of pools once."""
    harness = SchedulerHarness(targets=4)
    harness.add_job()
    harness.start()
    targets = CountedTargets(harness.scheduler_state.targets)
    harness.scheduler_state.targets = targets
    sizer = PoolSizer(harness.scheduler_state, PoolPolicy())
    sizer.choose([Pool(f'pool-{number}') for number in range(pools)], {}, harness.now_s)
    return targets.passes


def test_one_pass_over_targets_for_all_pools() -> None:
    """The cost of sizing must not grow with the product of pools and targets.

    With 56 pools, 7,100 targets and 5,000 open jobs it took 1.2 s, during which the holder did
    nothing else.
    """
    assert count_passes(pools=56) == count_passes(pools=2)


def test_old_jobs_are_not_replayed(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new holder doesn't reconstruct the load of hours, which affects none of its decisions."""
    harness = SchedulerHarness(targets=1)
    for number, accepted_ms in enumerate((NOW_MS - ONE_HOUR_MS, NOW_MS - 1000)):
        job = make_job(
            Step(1, Resources(1000, 100)), job_id=f'{number:016x}', accepted_ms=accepted_ms
        )
        harness.scheduler_state.add_job(
            job, Progress(JobState.COMPLETE, {(0, 0, 0)}), 1, reconciled=True
        )
    replayed: list[int] = []

    def record_job(job: past_load.Job) -> list[past_load.PastWork]:
        replayed.append(job.accepted_ms)
        return past_load.list_past_work(job)

    monkeypatch.setattr(demand_watch, 'list_past_work', record_job)
    PoolSizer(harness.scheduler_state, PoolPolicy()).replay_past_load(harness.now_s, NOW_MS)
    assert replayed == [NOW_MS - 1000]
