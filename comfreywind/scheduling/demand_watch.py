"""Tells what load of each pool is to be expected, by the jobs on the board."""

from collections.abc import Iterable, Mapping
from itertools import islice

from comfreywind.decisions.scheduling.demand_trend import DemandTrend
from comfreywind.decisions.scheduling.past_load import PastWork, list_past_work, sample_load
from comfreywind.decisions.scheduling.pool_policy import PoolPolicy
from comfreywind.decisions.scheduling.burst import BurstMemory
from comfreywind.jobs.job import Job
from comfreywind.jobs.resources import Resources
from comfreywind.scheduling.board import Board
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.pool_work import PoolWork, compute_mean_capacity, group_by_pool

# Between two loads that are reconstructed; a turn of demand takes seconds.
RECALL_INTERVAL_MS = 200
MS_PER_S = 1000


class DemandWatch:
    """Follows the demand for all pools; times in seconds are on the holder's steady clock."""

    def __init__(self, board: Board, policy: PoolPolicy) -> None:
        """Watch the jobs of the board; those that are there already belong to `recall`."""
        self._board = board
        self._policy = policy
        self._surges: dict[str, BurstMemory] = {}
        self._trends: dict[str, DemandTrend] = {}
        self._seen_jobs_count = board.added_jobs_count

    def replay_past_load(self, now_s: float, now_ms: float) -> None:
        """Learn from the jobs on the board which turns of demand earlier holders have met."""
        from_ms = now_ms - self._policy.surge_memory_s * MS_PER_S
        pasts: dict[str, list[PastWork]] = {}
        for record in self._board.jobs.values():
            if record.job.accepted_ms >= from_ms:
                past = pasts.setdefault(self._board.find_pool(record), [])
                past.extend(list_past_work(record.job))
        sizes = self._find_vm_sizes(group_by_pool(self._board), pasts)
        for pool, works in pasts.items():
            size = sizes[pool]
            surges = self._find_surges(pool)
            for at_ms, load in sample_load(works, from_ms, now_ms, RECALL_INTERVAL_MS):
                surges.record_load(
                    load.find_largest_part(size), now_s - (now_ms - at_ms) / MS_PER_S
                )

    def record_new_jobs(self, works: Mapping[str, PoolWork], now_s: float) -> None:
        """Take in the jobs that have come since the last look, with the pools as they are now."""
        jobs = self._board.jobs
        added_count = self._board.added_jobs_count
        new = list(islice(reversed(jobs.values()), added_count - self._seen_jobs_count))
        self._seen_jobs_count = added_count
        records_by_pool: dict[str, list[JobRecord]] = {pool: [] for pool in self._trends}
        for record in new:
            records_by_pool.setdefault(self._board.find_pool(record), []).append(record)
        sizes = self._find_vm_sizes(works, records_by_pool)
        for pool, records in records_by_pool.items():
            size = sizes[pool]
            trend = self._trends.setdefault(pool, DemandTrend())
            trend.add_sample(now_s, (_measure_work(record.job, size) for record in records))

    def forecast_load_vms(self, pool: str, load_vms: float, now_s: float, lead_s: float) -> float:
        """Take in the present load and return the load to expect after the lead time.

        Returns 0 when nothing beyond the present load is to be expected.
        """
        remembered_vms = self._find_surges(pool).record_load(load_vms, now_s)
        trend = self._trends.get(pool)
        forecast_vms = 0 if trend is None else trend.forecast_vms(lead_s)
        return max(remembered_vms, min(forecast_vms, self._policy.growth_limit * load_vms))

    def _find_surges(self, pool: str) -> BurstMemory:
        return self._surges.setdefault(pool, BurstMemory(self._policy.surge_memory_s))

    def _find_vm_sizes(
        self, works: Mapping[str, PoolWork], pools: Iterable[str]
    ) -> dict[str, Resources]:
        """Return the mean size of the VMs of each pool, or of all VMs if the pool has none."""
        usual = compute_mean_capacity(list(self._board.targets.values()))
        sizes: dict[str, Resources] = {}
        for pool in pools:
            work = works.get(pool)
            sizes[pool] = compute_mean_capacity(work.targets) if work and work.targets else usual
        return sizes


def _measure_work(job: Job, vm_size: Resources) -> float:
    """Return for how many seconds the job would fill one VM, by its estimates."""
    return sum(work.compute_vm_seconds(vm_size) for work in list_past_work(job))
