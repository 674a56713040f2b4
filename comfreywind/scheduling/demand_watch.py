"""Forecasts the load of each pool from the jobs in the scheduler state."""

from collections.abc import Iterable, Mapping
from itertools import islice

from comfreywind.decisions.scheduling.demand_trend import DemandTrend
from comfreywind.decisions.scheduling.job_work import estimate_work_vm_s
from comfreywind.decisions.scheduling.pool_policy import PoolPolicy
from comfreywind.jobs.resources import Resources
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.pool_work import PoolWork, compute_mean_capacity
from comfreywind.scheduling.scheduler_state import SchedulerState


class DemandWatch:
    """Follows the demand for all pools; times in seconds are on the holder's monotonic clock."""

    def __init__(self, scheduler_state: SchedulerState, policy: PoolPolicy) -> None:
        """Watch for new jobs; those that are known already are no part of a trend."""
        self._state = scheduler_state
        self._policy = policy
        self._trends: dict[str, DemandTrend] = {}
        self._recorded_jobs_count = scheduler_state.added_jobs_count

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
            trend.add_sample(now_s, (estimate_work_vm_s(record.job, size) for record in records))

    def forecast_load_vms(self, pool: str, load_vms: float, lead_s: float) -> float:
        """Return the load to expect after the lead time, or 0 unless the demand rises.

        The forecast is limited by the present load, because the estimates of jobs are far off.
        """
        trend = self._trends.get(pool)
        trend_vms = 0 if trend is None else trend.forecast_vms(lead_s)
        return min(trend_vms, self._policy.growth_limit * load_vms)

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
