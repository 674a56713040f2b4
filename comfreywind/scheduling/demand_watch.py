"""Forecasts the load of each pool from the jobs in the scheduler state."""

from collections.abc import Iterable, Mapping
from itertools import islice

from comfreywind.decisions.scheduling.burst import BurstMemory
from comfreywind.decisions.scheduling.demand_trend import DemandTrend
from comfreywind.decisions.scheduling.past_load import PastWork, list_past_work, sample_load
from comfreywind.decisions.scheduling.pool_policy import PoolPolicy
from comfreywind.jobs.job import Job
from comfreywind.jobs.resources import Resources
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.pool_work import PoolWork, compute_mean_capacity, group_by_pool
from comfreywind.scheduling.scheduler_state import SchedulerState

# Interval of the reconstructed loads; a burst of demand takes seconds.
REPLAY_INTERVAL_MS = 200
MS_PER_S = 1000


class DemandWatch:
    """Follows the demand for all pools; times in seconds are on the holder's monotonic clock."""

    def __init__(self, scheduler_state: SchedulerState, policy: PoolPolicy) -> None:
        """Watch for new jobs; those that are known already are left to `replay_past_load`."""
        self._state = scheduler_state
        self._policy = policy
        self._burst_memories: dict[str, BurstMemory] = {}
        self._trends: dict[str, DemandTrend] = {}
        self._recorded_jobs_count = scheduler_state.added_jobs_count

    def replay_past_load(self, now_s: float, now_ms: float) -> None:
        """Learn from the known jobs which bursts of demand occurred under earlier holders."""
        from_ms = now_ms - self._policy.surge_memory_s * MS_PER_S
        works_by_pool: dict[str, list[PastWork]] = {}
        for record in self._state.jobs.values():
            if record.job.accepted_ms >= from_ms:
                pool_works = works_by_pool.setdefault(self._state.get_pool(record), [])
                pool_works.extend(list_past_work(record.job))
        sizes = self._compute_vm_sizes(group_by_pool(self._state), works_by_pool)
        for pool, works in works_by_pool.items():
            size = sizes[pool]
            burst_memory = self._get_burst_memory(pool)
            for at_ms, load in sample_load(works, from_ms, now_ms, REPLAY_INTERVAL_MS):
                burst_memory.record_load(
                    load.compute_dominant_share(size), now_s - (now_ms - at_ms) / MS_PER_S
                )

    def record_new_jobs(self, works: Mapping[str, PoolWork], now_s: float) -> None:
        """Add the jobs since the last call to the trends of their pools.

        `works` are the pools at present, by which the size of a VM is known.
        """
        jobs = self._state.jobs
        added_count = self._state.added_jobs_count
        new_records = list(islice(reversed(jobs.values()), added_count - self._recorded_jobs_count))
        self._recorded_jobs_count = added_count
        records_by_pool: dict[str, list[JobRecord]] = {pool: [] for pool in self._trends}
        for record in new_records:
            records_by_pool.setdefault(self._state.get_pool(record), []).append(record)
        sizes = self._compute_vm_sizes(works, records_by_pool)
        for pool, records in records_by_pool.items():
            size = sizes[pool]
            trend = self._trends.setdefault(pool, DemandTrend())
            trend.add_sample(now_s, (_measure_work(record.job, size) for record in records))

    def forecast_load_vms(
        self, pool: str, load_vms: float, short_load_vms: float, now_s: float, lead_s: float
    ) -> float:
        """Record the present load and return the load to expect after the lead time.

        `short_load_vms` is the part of the load that is not of long-running tasks, which are no
        part of a burst. Returns 0 when nothing beyond the present load is to be expected.
        """
        burst_vms = self._get_burst_memory(pool).record_load(short_load_vms, now_s)
        if burst_vms:
            burst_vms += load_vms - short_load_vms
        trend = self._trends.get(pool)
        trend_vms = 0 if trend is None else trend.forecast_vms(lead_s)
        return max(burst_vms, min(trend_vms, self._policy.growth_limit * load_vms))

    def _get_burst_memory(self, pool: str) -> BurstMemory:
        return self._burst_memories.setdefault(pool, BurstMemory(self._policy.surge_memory_s))

    def _compute_vm_sizes(
        self, works: Mapping[str, PoolWork], pools: Iterable[str]
    ) -> dict[str, Resources]:
        """Return the mean size of the VMs of each pool, or of all VMs if the pool has none."""
        default_size = compute_mean_capacity(list(self._state.targets.values()))
        sizes: dict[str, Resources] = {}
        for pool in pools:
            work = works.get(pool)
            sizes[pool] = (
                compute_mean_capacity(work.targets) if work and work.targets else default_size
            )
        return sizes


def _measure_work(job: Job, vm_size: Resources) -> float:
    """Return for how many seconds the job would fill one VM of that size, by its estimates."""
    return sum(work.compute_vm_seconds(vm_size) for work in list_past_work(job))
