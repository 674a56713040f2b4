"""Refuses jobs of teams beyond their share that their pool can't do in time."""

import logging
from random import Random

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.job_admission import (
    JobOutlook,
    choose_retry_after_s,
    compute_overrun_s,
)
from comfreywind.decisions.scheduling.job_work import compute_work_s, measure_job_work
from comfreywind.decisions.scheduling.work_order import (
    compute_critical_path_ms,
    compute_objective_ms,
)
from comfreywind.errors import StoreUnavailableError
from comfreywind.intake.job_store import JobStore
from comfreywind.intake.recent_acceptances import AcceptedJob, RecentAcceptances
from comfreywind.intake.recent_refusals import GRACE_S, RecentRefusals, RefusedJob
from comfreywind.jobs.job import Job
from comfreywind.jobs.resources import Resources, sum_resources
from comfreywind.metrics import Metrics
from comfreywind.scheduling.queue_wait import PublishedWaits
from comfreywind.scheduling.rules_follower import RulesFollower
from comfreywind.scheduling.term_keeper import TermKeeper
from comfreywind.supervision import note_unexpected

# A call for the same job may have been broken off at another node that is still storing the job.
# The row is read after this time. A store that takes longer for the reading may also take longer
# for that write, so the job is not refused.
SETTLE_S = 0.25
MS_PER_S = 1000

log = logging.getLogger('comfreywind.admission')


class ScarcityGate:
    """Owns what this node has accepted and refused lately; the figures come from the holder."""

    def __init__(
        self,
        keeper: TermKeeper,
        rules: RulesFollower,
        store: JobStore,
        clock: Clock,
        metrics: Metrics,
        random: Random,
    ) -> None:
        """Decide by the waits that `keeper` reads; `random` spreads the returns of callers."""
        self._keeper = keeper
        self._rules = rules
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._random = random
        self._accepted = RecentAcceptances()
        self._refused = RecentRefusals()

    async def check(self, job: Job) -> int | None:
        """Return the seconds after which a caller should return, or None to accept the job.

        A job is refused only if the store certainly does not know it. An unexpected error refuses
        nothing.
        """
        try:
            return await self._decide(job)
        except Exception as error:
            note_unexpected('admission', error, self._metrics)
            return None

    def record_accepted(self, job: Job) -> None:
        """Count a job that was just stored until the figures of the holder cover it."""
        self._refused.drop(job.job_id)
        now_s = self._clock.read_monotonic_s()
        work = measure_job_work(job)
        self._accepted.add(AcceptedJob(now_s, job.queue.pool, job.team, work))

    async def _decide(self, job: Job) -> int | None:
        outlook = self._make_outlook(job)
        overrun_s = 0 if outlook is None else compute_overrun_s(outlook)
        if outlook is None or not overrun_s or not await self._is_unknown(job.job_id):
            return None
        retry_s = choose_retry_after_s(overrun_s, self._random.random())
        forget_s = self._clock.read_monotonic_s() + retry_s + GRACE_S
        work = measure_job_work(job)
        self._refused.put(RefusedJob(job.job_id, job.queue.name, job.team, work, forget_s))
        self._metrics.count(f'refused_for_scarcity.{job.queue.name}')
        log.info(
            'job %s: refused, team %r, queue %s: wait %.1f s, accepted since %.1f s, expected back '
            '%.1f s, critical path %.1f s, together above the limit of %.1f s; retry after %d s',
            job.job_id,
            job.team,
            job.queue.name,
            outlook.wait_s,
            outlook.added_s,
            outlook.returning_s,
            outlook.path_s,
            outlook.limit_s,
            retry_s,
        )
        return retry_s

    def _make_outlook(self, job: Job) -> JobOutlook | None:
        """Return when the job would end, or None if it is not refused whatever the figures are."""
        waits = self._read_waits()
        wait = None if waits is None else waits.waits.get(job.queue.name)
        wait_s = None if wait is None else wait.team_waits_s.get(job.team)
        if waits is None or wait is None or wait_s is None or _is_exempt(job):
            return None
        return JobOutlook(
            wait_s=wait_s,
            added_s=self._compute_added_s(job, waits.age_s, wait.capacity),
            returning_s=self._compute_returning_s(job, wait.capacity),
            path_s=compute_critical_path_ms(job.steps) / MS_PER_S,
            objective_s=compute_objective_ms(job) / MS_PER_S,
        )

    def _read_waits(self) -> PublishedWaits | None:
        rules = self._rules.rules
        return None if rules is None else self._keeper.read_waits(rules)

    def _compute_added_s(self, job: Job, age_s: float, capacity: Resources) -> float:
        since_s = self._clock.read_monotonic_s() - age_s
        accepted = self._accepted.list_since(job.queue.pool, job.team, since_s)
        return compute_work_s(sum_resources(each.work for each in accepted), capacity)

    def _compute_returning_s(self, job: Job, capacity: Resources) -> float:
        """Return the work of refused jobs that go before this one.

        A job that was refused itself goes before new ones, so for it there is none.
        """
        now_s = self._clock.read_monotonic_s()
        if self._refused.holds(job.job_id, now_s):
            return 0
        expected = self._refused.list_expected(job.queue.name, job.team, now_s)
        return compute_work_s(sum_resources(each.work for each in expected), capacity)

    async def _is_unknown(self, job_id: str) -> bool:
        """Return whether the store certainly does not know the job, also from a moment ago."""
        await trio.sleep(SETTLE_S)
        started_s = self._clock.read_monotonic_s()
        try:
            stored = await self._store.is_stored(job_id)
        except StoreUnavailableError as error:
            log.info('job %s: not refused, the store was not read: %s', job_id, error)
            return False
        return not stored and self._clock.read_monotonic_s() - started_s < SETTLE_S


def _is_exempt(job: Job) -> bool:
    """Return whether a job does not come in bursts and so is never refused for scarcity."""
    return job.long_running or bool(job.occurrence_count)
