"""The scheduler's in-memory state of jobs, targets and runs, and the orders that follow from it.

The state does no I/O and reads no clock: the holder's tasks pass in rows, reports and answers with
the current time, and send the orders that the methods return. Times in seconds are on the holder's
steady clock, times in milliseconds are since 1970.
"""

import logging
from collections.abc import Iterable

from comfreywind.decisions.scheduling.crash_blame import StartEvidence
from comfreywind.decisions.scheduling.crash_history import CrashHistory
from comfreywind.decisions.scheduling.fences import FENCES_PER_TERM
from comfreywind.decisions.scheduling.open_start import DEFAULT_LEASE_LIMIT_S
from comfreywind.decisions.scheduling.pace import choose_pace
from comfreywind.decisions.scheduling.target_doubt import TargetDoubt
from comfreywind.jobs.job import Job
from comfreywind.jobs.job_rules import JobRules
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.resources import NO_RESOURCES, Resources
from comfreywind.jobs.run_report import ActiveRun, EndedRun, RunOutcome, TargetReport
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.jobs.start_reply import StartReply
from comfreywind.jobs.target_entry import TargetEntry
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.adopted_run import (
    describe_unneeded_run,
    make_adopted_run,
    should_run,
)
from comfreywind.scheduling.crash_accounting import clear_suspect, count_crash
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.interference_watch import InterferenceWatch
from comfreywind.scheduling.known_runs import KnownRuns
from comfreywind.scheduling.open_starts import OpenStarts
from comfreywind.scheduling.orders import Order, PaceOrder, StartOrder, StopOrder
from comfreywind.scheduling.reported_progress import apply_progress
from comfreywind.scheduling.run_record import RunRecord, RunState
from comfreywind.scheduling.start_outcomes import StartOutcomes
from comfreywind.scheduling.target_record import TargetRecord
from comfreywind.scheduling.task_image import get_image

# A target with this many failed runs in a row is assumed to fail every task.
CONSECUTIVE_FAILURE_LIMIT = 2
COOLDOWN_AFTER_FAILURES_S = 4.0
COOLDOWN_AFTER_STALL_S = 2.0
RESTART_LIMIT = 2
# How long a target gets no new work after it has refused a start, in seconds.
COOLDOWN_BY_ANSWER_S = {
    StartAnswer.NO_ROOM: 0.15,
    StartAnswer.UNHEALTHY: 1.0,
    StartAnswer.INVALID: 1.0,
    StartAnswer.UNREACHABLE: 1.0,
}
STATE_BY_ANSWER = {
    StartAnswer.STARTED: RunState.RUNNING,
    StartAnswer.UNKNOWN: RunState.UNCONFIRMED,
    StartAnswer.DISCONNECTED: RunState.UNCONFIRMED,
}
# The members of a gang are started within this time of each other, so until then a gang of which
# some members still wait is not broken.
GANG_START_WINDOW_S = 0.5
NO_TARGETS: frozenset[str] = frozenset()
MS_PER_S = 1000

log = logging.getLogger('comfreywind.board')


class SchedulerState:
    """Jobs, targets and runs as one holder knows them during its term.

    `unknown_usage` is an upper bound of what any one team may have running unseen, started by earlier
    holders, or None while there is no bound.
    """

    def __init__(self, first_fence: int, lease_limit_s: float = DEFAULT_LEASE_LIMIT_S) -> None:
        """Start a term with no jobs, targets or runs.

        `first_fence` is the lowest fence of the term, `lease_limit_s` the longest lease that targets
        grant.
        """
        self.lease_limit_s = lease_limit_s
        self.first_fence = first_fence
        self.last_fence = first_fence + FENCES_PER_TERM - 1
        self.rules: JobRules = JobRules(0)
        self.jobs: dict[str, JobRecord] = {}
        self.open_jobs: dict[str, JobRecord] = {}
        self._suspended_jobs: dict[str, JobRecord] = {}
        self.targets: dict[str, TargetRecord] = {}
        self.team_usage: dict[str, Resources] = {}
        self.unknown_usage: Resources | None = None
        self.changed_jobs: dict[str, JobRecord] = {}
        self.early_cancels: set[str] = set()
        self.added_jobs_count = 0
        self.open_starts = OpenStarts(lease_limit_s)
        self._outcomes = StartOutcomes(self.open_starts, self.jobs)
        self._doubts: dict[str, TargetDoubt] = {}
        self.interference = InterferenceWatch()
        self._closing: dict[str, JobRecord] = {}
        self._crashes = CrashHistory()

    # Rows of the store

    def add_job(self, job: Job, progress: Progress, version: int, reconciled: bool) -> None:
        """Add an accepted job with its stored progress, unless the job is known already.

        `version` is the version of its progress row. `reconciled` is false while a run that an
        earlier holder started for the job may be unknown.
        """
        if job.job_id in self.jobs:
            return
        record = JobRecord(job, progress, version, reconciled)
        self.jobs[job.job_id] = record
        self.added_jobs_count += 1
        if record.open:
            self.open_jobs[job.job_id] = record
        if job.job_id in self.early_cancels:
            self.early_cancels.discard(job.job_id)
            self.cancel_job(job.job_id)

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job, whose runs are stopped with the next plan.

        The cancellation of a job that is not known yet takes effect when the job is added.
        """
        record = self.jobs.get(job_id)
        if record is None:
            self.early_cancels.add(job_id)
            return
        if record.open:
            log.info('job %s: cancelled; %d runs will be stopped', job_id, len(record.runs))
            record.progress.state = JobState.CANCELLED
            self._close_job(record)

    def drop_job(self, job_id: str) -> None:
        """Remove a job that has ended and has no runs."""
        self.jobs.pop(job_id, None)
        self._suspended_jobs.pop(job_id, None)
        self.changed_jobs.pop(job_id, None)
        self._closing.pop(job_id, None)
        self.open_starts.close_job(job_id)
        self.early_cancels.discard(job_id)

    def suspend_job(self, record: JobRecord, planned_s: float) -> None:
        """Start no more tasks of a job for which planning at `planned_s` raised an error.

        Runs that were ordered by earlier plans continue.
        """
        self.open_jobs.pop(record.job.job_id, None)
        self._suspended_jobs[record.job.job_id] = record
        for run in list(record.runs.values()):
            # The start orders of the failed plan are never sent.
            if run.state is RunState.STARTING and run.started_s == planned_s:
                self.discard_run(run)

    def merge_progress(self, record: JobRecord, stored: Progress) -> None:
        """Merge progress that another holder or a caller's cancellation has stored for a job."""
        record.merge(stored)
        if record.open and stored.state.final:
            log.info('job %s: state %s was stored by another node', record.job.job_id, stored.state)
            record.progress.state = stored.state
            self._close_job(record)

    def register_target(self, entry: TargetEntry) -> TargetRecord:
        """Add or update a target, which may be a new incarnation under the same id."""
        record = self.targets.get(entry.target_id)
        if record is None:
            record = TargetRecord(entry, doubt=self._make_doubt(entry))
            self.targets[entry.target_id] = record
            return record
        if entry.incarnation_start_ms > record.incarnation_start_ms:
            self.reset_target(record, entry.incarnation_start_ms)
        record.entry = entry
        return record

    # Reports and answers of targets

    def reset_target(self, record: TargetRecord, incarnation_start_ms: int) -> None:
        """Reset the record of a target that has a new incarnation.

        Which runs were lost shows the first report after the target has received the raised fence.
        """
        log.info(
            'target %s: new incarnation; which of %d runs were lost is not known yet',
            record.entry.target_id,
            len(record.runs),
        )
        if record.known_runs is KnownRuns.ACTIVE:
            # The ends that were not listed yet are gone with the incarnation.
            record.known_runs = KnownRuns.ALL
        record.begin_incarnation(incarnation_start_ms)

    def end_incarnation(self, record: TargetRecord) -> None:
        """Requeue the runs of a target that has ended."""
        if record.known_runs is KnownRuns.ACTIVE:
            # The ends that were not listed yet are gone with the incarnation.
            record.known_runs = KnownRuns.ALL
        self._blame_crash(record, record.runs.values())
        self.requeue_runs(record)

    def lapse_runs(self, record: TargetRecord) -> None:
        """Requeue the runs of a silent target whose leases have ended."""
        record.lapsed_runs = tuple(record.runs.values())
        self.requeue_runs(record)

    def requeue_runs(self, record: TargetRecord) -> None:
        """Drop the runs of a target on which certainly nothing runs, and requeue their tasks.

        Orders that have not been sent or carried out yet must not take effect any more.
        """
        self._drop_runs(record, record.runs.values())
        if record.doubt.settled:
            record.raise_fence()

    def apply_report(
        self,
        record: TargetRecord,
        report: TargetReport,
        fence: int,
        requested_s: float,
        now_s: float,
    ) -> list[Order]:
        """Apply the lists of runs that a target has sent, and return the orders that follow.

        The report was requested with `fence` at `requested_s`, and shows the target at a later
        moment. One of an earlier incarnation tells nothing of the present one.
        """
        if 0 < report.incarnation_start_ms < record.incarnation_start_ms:
            log.info('target %s: report of an earlier incarnation ignored', record.entry.target_id)
            return []
        self._begin_report(record, report, now_s)
        for ended in report.ended:
            if ended.number > record.applied_number:
                self._apply_end(record, ended, now_s)
                record.applied_number = ended.number
                record.unstored_ends.add(ended.number, ended.key.job_id)
        orders: list[Order] = []
        listed_keys: set[TaskKey] = set()
        for active in report.active:
            listed_keys.add(active.key)
            orders.extend(self._apply_active(record, active.key, active.run_id, now_s))
            self._apply_progress(record, active, now_s)
        self.interference.record_report(record, now_s)
        orders.extend(self._pace_best_effort_runs(record))
        if not record.doubt.settled:
            orders.extend(self._settle(record, report, fence, now_s))
            return orders
        record.heard_s = now_s
        record.lapsed_runs = ()
        if report.complete:
            self.open_starts.settle(record.entry.target_id, requested_s)
            orders.extend(self._resolve_missing_runs(record, listed_keys, requested_s, now_s))
            orders.extend(self._stop_stalled_runs(record, now_s))
        return orders

    def apply_start_answer(self, order: StartOrder, reply: StartReply, now_s: float) -> list[Order]:
        """Apply the reply to a start order and return the orders that follow."""
        answer = reply.answer
        record = self.targets.get(order.target_id)
        run = self._get_run(order.target_id, order.key, order.run_id)
        self._outcomes.record_reply(record, run, order, reply, now_s)
        if record is None or run is None:
            return []
        run.last_answer_s = now_s
        next_state = STATE_BY_ANSWER.get(answer)
        if next_state is not None:
            run.state = next_state if run.state is RunState.STARTING else run.state
            if answer is StartAnswer.STARTED:
                run.note_shown(now_s)
                run.add_evidence(StartEvidence.ACKNOWLEDGED)
                self._mark_job_started(order.key.job_id)
            return []
        log.info(
            'task %s run %d: not started (%s) on target %s; queued again if still needed',
            run.key,
            run.run_id,
            answer,
            order.target_id,
        )
        self._apply_refusal(record, answer, now_s)
        if answer is StartAnswer.NO_TICKET and order.key.job_id in self.jobs:
            self.jobs[order.key.job_id].discard_ticket(order.key, order.target_id, order.ticket)
        self.discard_run(run)
        self.requeue(run.key)
        return []

    def is_ordered(self, order: StartOrder) -> bool:
        """Return whether the run of a start order is still recorded."""
        return self._get_run(order.target_id, order.key, order.run_id) is not None

    def apply_stop_answer(self, order: StopOrder, confirmed: bool, now_s: float) -> list[Order]:
        """Apply the answer to a stop order; an unconfirmed stop is returned to be sent again."""
        run = self._get_run(order.target_id, order.key, order.run_id)
        if run is None:
            return []
        if confirmed:
            run.stop_confirmed = True
            run.last_answer_s = now_s
            return []
        return [order]

    # Orders for runs

    def stop_job_runs(self, record: JobRecord, now_s: float) -> list[Order]:
        """Return the stop orders for all runs of a job."""
        orders: list[Order] = []
        for run in list(record.runs.values()):
            orders.extend(self.stop_run(run, now_s))
        return orders

    def stop_closed_jobs(self, now_s: float) -> list[Order]:
        """Return the stop orders for the runs of all jobs that were closed since the last call."""
        orders: list[Order] = []
        for record in self._closing.values():
            orders.extend(self.stop_job_runs(record, now_s))
        self._closing.clear()
        return orders

    def stop_broken_gangs(self, now_s: float) -> list[Order]:
        """Return the stop orders for gangs of which a member has ended or was refused.

        The other members would wait for it or continue without it. The gang restarts as a whole.
        """
        orders: list[Order] = []
        for record in self.open_jobs.values():
            for run in record.list_broken_gang_runs():
                if now_s - run.started_s > GANG_START_WINDOW_S:
                    orders.extend(self.stop_run(run, now_s))
        return orders

    def stop_run(self, run: RunRecord, now_s: float) -> list[Order]:
        """Return the stop order for a run, or none when it is being stopped already."""
        if run.state is RunState.STOPPING:
            return []
        run.state = RunState.STOPPING
        run.ending = True
        run.at_work = False
        run.last_answer_s = now_s
        return [StopOrder(run.target_id, run.key, run.run_id)]

    def get_pool(self, record: JobRecord) -> str:
        """Return the name of the pool that runs the job under the rules in force."""
        queue = self.rules.queues.get(record.job.queue.name, record.job.queue)
        return queue.pool

    def count_pending(self) -> dict[str, int]:
        """Return the number of accepted jobs by queue of which no task has started."""
        pending: dict[str, int] = {}
        for record in (*self.open_jobs.values(), *self._suspended_jobs.values()):
            if record.progress.state is JobState.QUEUED and not record.job.occurrence_count:
                queue = record.job.queue.name
                pending[queue] = pending.get(queue, 0) + 1
        return pending

    def may_use(self, team_name: str, request: Resources) -> bool:
        """Return whether a team stays within its ceiling with one more run.

        What may run unseen counts in full, because all of it may belong to this team.
        """
        team = self.rules.teams.get(team_name)
        if team is None or team.ceiling == NO_RESOURCES:
            return True
        if self.unknown_usage is None:
            return False
        known = self.team_usage.get(team_name, NO_RESOURCES).add(request)
        return known.add(self.unknown_usage).is_within(team.ceiling)

    def has_best_effort_jobs(self) -> bool:
        """Return whether a job has best-effort tasks, which take no processor time of a target."""
        return any(step.best_effort for record in self.jobs.values() for step in record.job.steps)

    def pop_changed_jobs(self) -> list[JobRecord]:
        """Return and clear the jobs whose progress has changed since the last call."""
        changed = list(self.changed_jobs.values())
        self.changed_jobs.clear()
        return changed

    def mark_changed(self, record: JobRecord) -> None:
        """Mark the job's progress as changed and not stored yet, unless the job was dropped."""
        if self.jobs.get(record.job.job_id) is record:
            self.changed_jobs[record.job.job_id] = record

    def mark_reconciled(self, records: Iterable[JobRecord]) -> None:
        """Allow starts of jobs for which all runs of earlier holders are known."""
        for record in records:
            record.reconciled = True

    def add_run(self, run: RunRecord, record: JobRecord | None) -> None:
        """Add a run to its target, its team's usage and, unless the job is unknown, its job."""
        self.targets[run.target_id].add_run(run)
        self.team_usage[run.team] = self.team_usage.get(run.team, NO_RESOURCES).add(run.request)
        if record is not None:
            record.runs[run.key] = run

    def discard_run(self, run: RunRecord) -> None:
        """Remove a run from its target, team and job, and keep its checkpoint."""
        target = self.targets.get(run.target_id)
        if target is None or target.runs.get(run.key) is not run:
            return
        target.remove_run(run)
        self.team_usage[run.team] = self.team_usage[run.team].subtract(run.request)
        record = self.jobs.get(run.key.job_id)
        if record is not None and record.runs.get(run.key) is run:
            del record.runs[run.key]
            record.record_checkpoint(run.key, run.checkpoint)

    def requeue(self, key: TaskKey) -> None:
        """Add a task to the waiting ones of its job, if it still has to be started."""
        record = self.jobs.get(key.job_id)
        if record is None or not record.needs_start(key):
            return
        record.waiting[key] = None

    def _make_doubt(self, entry: TargetEntry) -> TargetDoubt:
        """Return the state of a target that is registered, with a fence above its earlier ones."""
        known = self._doubts.get(entry.target_id)
        fence = self.first_fence if known is None else known.fence + 1
        doubt = TargetDoubt(fence, entry.incarnation_start_ms)
        self._doubts[entry.target_id] = doubt
        return doubt

    def _begin_report(self, record: TargetRecord, report: TargetReport, now_s: float) -> None:
        """Record what a report tells of the target itself, which may have restarted."""
        if report.incarnation_start_ms > record.incarnation_start_ms:
            self.reset_target(record, report.incarnation_start_ms)
        record.clock_offset_ms = report.clock_ms - now_s * MS_PER_S
        shown = KnownRuns.ALL if report.complete else KnownRuns.ACTIVE
        record.known_runs = max(record.known_runs, shown)
        record.silent = False

    def _settle(
        self, record: TargetRecord, report: TargetReport, fence: int, now_s: float
    ) -> list[Order]:
        """Settle a target in doubt, if its report was requested with the present fence."""
        if record.runs:
            record.doubt.record_runs(fence, now_s, self.lease_limit_s)
        if fence != record.doubt.fence:
            return []
        return self._confirm_incarnation(record, report, now_s)

    def _confirm_incarnation(
        self, record: TargetRecord, report: TargetReport, now_s: float
    ) -> list[Order]:
        """Requeue the runs that the target has lost, now that no earlier order takes effect there.

        An order that was carried out late may have started an earlier run of a task that is lost.
        Runs that an incomplete report doesn't show may have ended.
        """
        listed = {(active.key, active.run_id) for active in report.active}
        missing = [run for run in record.runs.values() if (run.key, run.run_id) not in listed]
        if missing and not report.complete:
            return []
        if record.doubt.restarted:
            self._blame_crash(record, missing)
        record.doubt.settle(now_s)
        record.lapsed_runs = ()
        if missing:
            log.info(
                'target %s: %d runs were lost, tasks still needed are queued again',
                record.entry.target_id,
                len(missing),
            )
        self._drop_runs(record, missing)
        orders: list[Order] = []
        for key, run_id in listed:
            orders.extend(self._apply_active(record, key, run_id, now_s))
        return orders

    def _blame_crash(self, record: TargetRecord, ended: Iterable[RunRecord]) -> None:
        """Blame tasks for the end of an incarnation if it has crashed.

        A target that was draining or whose VM was ordered down has not crashed.
        """
        lost = (*record.lapsed_runs, *ended)
        record.lapsed_runs = ()
        if lost and not (record.entry.draining or record.emptying):
            self._apply_crash(record, lost)

    def _drop_runs(self, record: TargetRecord, runs: Iterable[RunRecord]) -> None:
        """Drop runs that have ended, and requeue their tasks."""
        for run in tuple(runs):
            self._outcomes.record_dropped(record, run)
            self.discard_run(run)
            self.requeue(run.key)

    def _apply_refusal(self, record: TargetRecord, answer: StartAnswer, now_s: float) -> None:
        if answer is StartAnswer.REPLACED:
            record.leaving = True
            self.end_incarnation(record)
            self.open_starts.close_target(record.entry.target_id)
        cooldown_s = COOLDOWN_BY_ANSWER_S.get(answer, 0)
        record.cooldown_until_s = max(record.cooldown_until_s, now_s + cooldown_s)

    def _get_run(self, target_id: str, key: TaskKey, run_id: int) -> RunRecord | None:
        target = self.targets.get(target_id)
        run = None if target is None else target.runs.get(key)
        return None if run is None or run.run_id != run_id else run

    def _mark_job_started(self, job_id: str) -> None:
        """Mark a queued job as running; called once a target has confirmed a run of it."""
        record = self.jobs.get(job_id)
        if record is not None and record.progress.state is JobState.QUEUED:
            record.progress.state = JobState.RUNNING
            self.mark_changed(record)

    def _apply_end(self, target: TargetRecord, ended: EndedRun, now_s: float) -> None:
        run = target.runs.get(ended.key)
        record = self.jobs.get(ended.key.job_id)
        self.open_starts.close(ended.key, ended.run_id)
        if run is not None and run.run_id == ended.run_id:
            run.checkpoint = ended.checkpoint or run.checkpoint
            self.interference.record_end(target, run, ended.outcome, now_s)
            self.discard_run(run)
        if record is None:
            return
        if not record.has_task(ended.key):
            log.warning(
                'target %s: ignored the end of %s, because its job has no such task',
                target.entry.target_id,
                ended.key,
            )
            return
        self._mark_job_started(ended.key.job_id)
        self._apply_outcome(record, target, ended, now_s)
        self.requeue(ended.key)

    def _apply_outcome(
        self, record: JobRecord, target: TargetRecord, ended: EndedRun, now_s: float
    ) -> None:
        long_running = record.job.steps[ended.key.step].long_running
        if ended.outcome is RunOutcome.DONE and not long_running:
            target.consecutive_failures = 0
            for key in record.list_tasks_sharing_end(ended.key):
                if record.mark_done(key):
                    self._apply_task_done(record, key)
        elif ended.outcome is RunOutcome.FAILED:
            self._apply_failure(record, target, ended, now_s)
        else:
            log.info(
                'task %s run %d: ended as %s on target %s; queued again if still needed',
                ended.key,
                ended.run_id,
                ended.outcome,
                target.entry.target_id,
            )

    def _apply_task_done(self, record: JobRecord, key: TaskKey) -> None:
        record.waiting.pop(key, None)
        if record.open and record.is_complete():
            record.progress.state = JobState.COMPLETE
            self._close_job(record)
        self.mark_changed(record)

    def _apply_failure(
        self, record: JobRecord, target: TargetRecord, ended: EndedRun, now_s: float
    ) -> None:
        key = ended.key
        target.consecutive_failures += 1
        record.failed_on.setdefault(key, set()).add(target.entry.target_id)
        if target.consecutive_failures >= CONSECUTIVE_FAILURE_LIMIT:
            target.cooldown_until_s = now_s + COOLDOWN_AFTER_FAILURES_S
        task = (key.occurrence, key.step, record.list_tasks_sharing_end(key)[0].number)
        failed_runs = record.progress.failures.get(task, set()) | {ended.run_id}
        log.info(
            'task %s run %d: failed on target %s; failed attempts: %d',
            key,
            ended.run_id,
            target.entry.target_id,
            len(failed_runs),
        )
        if record.job.steps[key.step].long_running:
            return
        record.progress.failures[task] = failed_runs
        if len(failed_runs) >= record.job.queue.attempt_limit and record.open:
            record.progress.state = JobState.FAILED
            self._close_job(record)
        self.mark_changed(record)

    def _apply_crash(self, target: TargetRecord, lost: Iterable[RunRecord]) -> None:
        for record, given_up in count_crash(self.jobs, self._crashes, target, lost):
            self.mark_changed(record)
            if given_up and record.open:
                record.progress.state = JobState.FAILED
                self._close_job(record)

    def _apply_active(
        self, target: TargetRecord, key: TaskKey, run_id: int, now_s: float
    ) -> list[Order]:
        self._mark_job_started(key.job_id)
        orders = [] if key in target.runs else self._adopt_run(target, key, run_id, now_s)
        run = target.runs[key]
        self._outcomes.record_active(target, run_id, run, now_s)
        if run.run_id == run_id and run.state is RunState.UNCONFIRMED:
            run.state = RunState.RUNNING
        return orders

    def _apply_progress(self, target: TargetRecord, active: ActiveRun, now_s: float) -> None:
        run = target.runs.get(active.key)
        if run is None or run.run_id != active.run_id:
            return
        apply_progress(run, active, now_s)
        cleared = clear_suspect(self.jobs.get(run.key.job_id), run, now_s)
        if cleared is not None:
            self.mark_changed(cleared)

    def _adopt_run(
        self, target: TargetRecord, key: TaskKey, run_id: int, now_s: float
    ) -> list[Order]:
        """Record a run that an earlier holder started, and stop it when it should not run."""
        record = self.jobs.get(key.job_id)
        if record is None or not should_run(record, key):
            log.info(
                'task %s run %d: not needed on target %s; it is stopped',
                key,
                run_id,
                target.entry.target_id,
            )
            step, team = describe_unneeded_run(record, key)
            run = make_adopted_run(target, key, run_id, now_s, step, team)
            self.add_run(run, None)
            return self.stop_run(run, now_s)
        step = record.job.steps[key.step]
        image = get_image(record.job, key.step)
        run = make_adopted_run(target, key, run_id, now_s, step, record.job.team, image)
        self.add_run(run, record)
        record.last_run_ids[key] = max(run_id, record.last_run_ids.get(key, 0))
        record.waiting.pop(key, None)
        return []

    def _pace_best_effort_runs(self, target: TargetRecord) -> list[Order]:
        """Return orders that adapt the pace of best-effort runs to the tail latency beside them."""
        ratios = [
            run.metric_value / run.tail_latency_limit_ms
            for run in target.runs.values()
            if run.tail_latency_limit_ms
        ]
        orders: list[Order] = []
        for run in target.runs.values():
            if not run.best_effort or run.state is not RunState.RUNNING:
                continue
            pace_percent = choose_pace(run.pace_percent, max(ratios, default=0))
            if pace_percent != run.pace_percent:
                run.pace_percent = pace_percent
                orders.append(PaceOrder(run.target_id, run.key, run.run_id, pace_percent))
        return orders

    def _stop_stalled_runs(self, target: TargetRecord, now_s: float) -> list[Order]:
        """Return stop orders for stalled short tasks, and give their target a cooldown.

        Each task is moved at most `RESTART_LIMIT` times.
        """
        stopped: list[Order] = []
        for run in list(target.runs.values()):
            if run.is_stalled(now_s) and self._consume_restart(run.key):
                log.info(
                    'task %s: no progress on target %s; it is stopped to run again',
                    run.key,
                    target.entry.target_id,
                )
                stopped.extend(self.stop_run(run, now_s))
        if stopped:
            target.cooldown_until_s = max(target.cooldown_until_s, now_s + COOLDOWN_AFTER_STALL_S)
        return stopped

    def _consume_restart(self, key: TaskKey) -> bool:
        """Return whether the task may be restarted once more, and count the restart if so."""
        record = self.jobs[key.job_id]
        count = record.restarts.get(key, 0)
        if count >= RESTART_LIMIT or record.job.steps[key.step].gang:
            return False
        record.restarts[key] = count + 1
        return True

    def _resolve_missing_runs(
        self, target: TargetRecord, listed_keys: set[TaskKey], requested_s: float, now_s: float
    ) -> list[Order]:
        """Return the orders for runs that the report should list and does not."""
        orders: list[Order] = []
        for run in list(target.runs.values()):
            if run.key in listed_keys or run.last_answer_s >= requested_s:
                continue
            orders.extend(self._resolve_missing_run(run, now_s))
        return orders

    def _resolve_missing_run(self, run: RunRecord, now_s: float) -> list[Order]:
        """Requeue a run that has ended; stop one whose unanswered start may still take effect."""
        if run.state is RunState.UNCONFIRMED:
            return self.stop_run(run, now_s)
        if run.state is RunState.RUNNING or run.stop_confirmed:
            log.info(
                'task %s run %d: no longer listed by target %s; queued again if still needed',
                run.key,
                run.run_id,
                run.target_id,
            )
            self.discard_run(run)
            self.requeue(run.key)
        return []

    def _close_job(self, record: JobRecord) -> None:
        log.info(
            'job %s: closed as %s; accepted at %d ms since 1970, latency objective %d ms',
            record.job.job_id,
            record.progress.state,
            record.job.accepted_ms,
            record.objective_ms,
        )
        record.waiting.clear()
        self._closing[record.job.job_id] = record
        self.open_jobs.pop(record.job.job_id, None)
