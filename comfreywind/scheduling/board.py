"""The holder's picture of jobs, targets and runs, and the orders that follow from it.

The board has no sockets and no clock of its own: the tasks around it tell it what they learn and
send the orders that it returns. Times in seconds are on the holder's steady clock, times in
milliseconds are since 1970.
"""

import logging
from collections.abc import Iterable

from comfreywind.decisions.scheduling.pace import choose_pace
from comfreywind.decisions.scheduling.placement import compute_effective_request
from comfreywind.decisions.scheduling.maintenance import StepHealth
from comfreywind.jobs.job import Job
from comfreywind.jobs.job_rules import JobRules
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.resources import NO_RESOURCES, Resources
from comfreywind.jobs.run_report import ActiveRun, EndedRun, RunOutcome, TargetReport
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.jobs.step import Step
from comfreywind.jobs.target_entry import TargetEntry
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.orders import Order, PaceOrder, StartOrder, StopOrder
from comfreywind.scheduling.run_record import RunRecord, RunState
from comfreywind.scheduling.target_record import TargetRecord

# A target that fails several tasks in a row without a success fails whatever it is given.
FAILURE_STREAK_LIMIT = 2
BAR_AFTER_FAILURES_S = 4.0
BAR_WHEN_STALLED_S = 2.0
RESTART_LIMIT = 2
# How long a target gets no new work after it refused some.
BAR_BY_ANSWER_S = {
    StartAnswer.NO_ROOM: 0.15,
    StartAnswer.UNHEALTHY: 1.0,
    StartAnswer.INVALID: 1.0,
}
STATE_BY_ANSWER = {
    StartAnswer.STARTED: RunState.RUNNING,
    StartAnswer.UNKNOWN: RunState.UNCONFIRMED,
}
# Members of a gang are started within this time of each other.
GANG_SETTLE_S = 0.5
NO_TARGETS: frozenset[str] = frozenset()

log = logging.getLogger('comfreywind.board')


class Board:
    """Jobs, targets and runs of one term of a holder."""

    def __init__(self, epoch: int) -> None:
        """Start a term with nothing known."""
        self.epoch = epoch
        self.rules: JobRules = JobRules(0)
        self.jobs: dict[str, JobRecord] = {}
        self.open_jobs: dict[str, JobRecord] = {}
        self.targets: dict[str, TargetRecord] = {}
        self.team_use: dict[str, Resources] = {}
        self.changed_jobs: dict[str, JobRecord] = {}
        self.orphan_cancels: set[str] = set()
        self.added_jobs_count = 0
        self._closing: dict[str, JobRecord] = {}

    # What the store tells

    def add_job(self, job: Job, progress: Progress, version: int, settled: bool) -> None:
        """Take in an accepted job; a job that is known already is left as it is."""
        if job.job_id in self.jobs:
            return
        record = JobRecord(job, progress, version, settled)
        self.jobs[job.job_id] = record
        self.added_jobs_count += 1
        if record.open:
            self.open_jobs[job.job_id] = record
        if job.job_id in self.orphan_cancels:
            self.orphan_cancels.discard(job.job_id)
            self.cancel_job(job.job_id)

    def cancel_job(self, job_id: str) -> None:
        """Note that the job's cancelling was accepted; its runs are stopped with the next plan."""
        record = self.jobs.get(job_id)
        if record is None:
            self.orphan_cancels.add(job_id)
            return
        if record.open:
            log.info('job %s: cancelled with %d runs', job_id, len(record.runs))
            record.progress.state = JobState.CANCELLED
            self._close_job(record)

    def drop_job(self, job_id: str) -> None:
        """Forget a job that has ended and has no runs."""
        self.jobs.pop(job_id, None)
        self.changed_jobs.pop(job_id, None)
        self._closing.pop(job_id, None)
        self.orphan_cancels.discard(job_id)

    def set_aside(self, record: JobRecord, planned_s: float) -> None:
        """Start no more tasks of a job whose plan at that time failed; what runs of it runs on."""
        self.open_jobs.pop(record.job.job_id, None)
        for run in list(record.runs.values()):
            # The orders of the failed plan are not sent.
            if run.state is RunState.STARTING and run.started_s == planned_s:
                self.forget_run(run)

    def join_progress(self, record: JobRecord, stored: Progress) -> None:
        """Take in what another holder, or a caller's cancelling, wrote of a job's progress."""
        record.join(stored)
        if record.open and stored.state.final:
            log.info('job %s: %s by another node', record.job.job_id, stored.state)
            record.progress.state = stored.state
            self._close_job(record)

    def set_target(self, entry: TargetEntry, now_s: float) -> TargetRecord:
        """Take in a target's registration; a new life under the same id has no runs."""
        record = self.targets.get(entry.target_id)
        if record is None:
            record = TargetRecord(entry, born_ms=entry.born_ms)
            self.targets[entry.target_id] = record
            return record
        if entry.born_ms > record.born_ms:
            self.restart_target(record, entry.born_ms, now_s)
        record.entry = entry
        return record

    # What targets tell

    def restart_target(self, record: TargetRecord, born_ms: int, now_s: float) -> None:
        """Note that the target has a new life, which knows nothing of the runs before."""
        log.info('target %s: new life, %d runs lost', record.entry.target_id, len(record.runs))
        record.born_ms = born_ms
        record.applied_number = 0
        record.stored_number = 0
        record.acknowledged_number = 0
        record.failure_streak = 0
        self.drop_runs(record, now_s)

    def drop_runs(self, record: TargetRecord, now_s: float) -> None:
        """Requeue everything that ran on a target that certainly runs nothing any more."""
        for run in list(record.runs.values()):
            self.forget_run(run)
            self.requeue(run.key)
        record.used = NO_RESOURCES

    def apply_report(
        self, record: TargetRecord, report: TargetReport, asked_s: float, now_s: float
    ) -> list[Order]:
        """Take in the lists of a target that were asked for at `asked_s`."""
        if report.born_ms > record.born_ms:
            self.restart_target(record, report.born_ms, now_s)
        record.reported = True
        record.silent = False
        for ended in report.ended:
            if ended.number > record.applied_number:
                self._apply_end(record, ended, now_s)
                record.applied_number = ended.number
        orders: list[Order] = []
        listed: set[TaskKey] = set()
        for active in report.active:
            listed.add(active.key)
            orders.extend(self._apply_active(record, active.key, active.run_id, now_s))
            _note_level(record.runs.get(active.key), active, now_s)
        orders.extend(self._find_missing(record, listed, asked_s, now_s))
        orders.extend(self._pace_fillers(record))
        orders.extend(self._restart_stalled(record, now_s))
        return orders

    def note_start(self, order: StartOrder, answer: StartAnswer, now_s: float) -> list[Order]:
        """Take in the answer to a start."""
        run = self._find_run(order.target_id, order.key, order.run_id)
        if run is None:
            return []
        record = self.targets[order.target_id]
        run.settled_s = now_s
        next_state = STATE_BY_ANSWER.get(answer)
        if next_state is not None:
            run.state = next_state if run.state is RunState.STARTING else run.state
            if answer is StartAnswer.STARTED:
                self._note_begun(order.key.job_id)
            return []
        log.info('task %s run %d: %s on %s', run.key, run.run_id, answer, order.target_id)
        self._note_refusal(record, answer, now_s)
        self.forget_run(run)
        self.requeue(run.key)
        return []

    def note_stop(self, order: StopOrder, confirmed: bool, now_s: float) -> list[Order]:
        """Take in the answer to a stop; a stop without one is repeated."""
        run = self._find_run(order.target_id, order.key, order.run_id)
        if run is None:
            return []
        if confirmed:
            run.stop_confirmed = True
            run.settled_s = now_s
            return []
        return [order]

    # What follows

    def stop_job_runs(self, record: JobRecord, now_s: float) -> list[Order]:
        """Return the stops of all runs of a job."""
        orders: list[Order] = []
        for run in list(record.runs.values()):
            orders.extend(self.stop_run(run, now_s))
        return orders

    def stop_closed_jobs(self, now_s: float) -> list[Order]:
        """Return the stops of runs whose jobs are closed."""
        orders: list[Order] = []
        for record in self._closing.values():
            orders.extend(self.stop_job_runs(record, now_s))
        self._closing.clear()
        return orders

    def stop_broken_gangs(self, now_s: float) -> list[Order]:
        """Return the stops of gangs of which a member has ended or was refused.

        The others would wait in vain, or work on without it; the gang starts again as a whole.
        """
        orders: list[Order] = []
        for record in self.open_jobs.values():
            for run in record.list_broken_gang_runs():
                if now_s - run.started_s > GANG_SETTLE_S:
                    orders.extend(self.stop_run(run, now_s))
        return orders

    def stop_run(self, run: RunRecord, now_s: float) -> list[Order]:
        """Return the stop of a run unless it is being stopped already."""
        if run.state is RunState.STOPPING:
            return []
        run.state = RunState.STOPPING
        run.ending = True
        run.at_work = False
        run.settled_s = now_s
        return [StopOrder(run.target_id, run.key, run.run_id)]

    def find_pool(self, record: JobRecord) -> str:
        """Return the pool that runs the job by the rules in force."""
        queue = self.rules.queues.get(record.job.queue.name, record.job.queue)
        return queue.pool

    def count_pending(self) -> dict[str, int]:
        """Return for each queue how many accepted jobs have not begun."""
        pending: dict[str, int] = {}
        for record in self.open_jobs.values():
            if record.progress.state is JobState.QUEUED and not record.job.occurrence_count:
                queue = record.job.queue.name
                pending[queue] = pending.get(queue, 0) + 1
        return pending

    def count_short_runs(self, target: TargetRecord) -> int:
        """Return how many runs on the target end by themselves."""
        return sum(not self._is_lasting(run.key) for run in target.runs.values())

    def list_step_health(self, target: TargetRecord) -> list[StepHealth]:
        """Return the health of the lasting steps that have tasks on the target."""
        steps = {
            (run.key.job_id, run.key.occurrence, run.key.step)
            for run in target.runs.values()
            if self._is_lasting(run.key)
        }
        return [self._read_step_health(*step) for step in steps]

    def note_order(self, target: TargetRecord) -> None:
        """Count what runs on the target as away, because the VM is ordered down or elsewhere."""
        target.emptying = True
        for run in target.runs.values():
            run.ending = True
            run.at_work = False

    def take_back_order(self, target: TargetRecord) -> None:
        """Let the target work on, because what was ordered for its VM is not carried out."""
        target.emptying = False
        for run in target.runs.values():
            run.ending = run.state is RunState.STOPPING

    def evict_crowded(self, target: TargetRecord, now_s: float) -> list[Order]:
        """Return stops of lasting tasks that keep a VM from going down, one of each step.

        A VM with more tasks of a step than may be away can't go down at once with all of them.
        """
        orders: list[Order] = []
        evicted: set[tuple[str, int, int]] = set()
        for run in list(target.runs.values()):
            step_key = (run.key.job_id, run.key.occurrence, run.key.step)
            if step_key in evicted or not run.at_work or not self._is_lasting(run.key):
                continue
            health = self._read_step_health(*step_key)
            here = health.at_work_on[target.entry.target_id]
            if here > health.limit and health.unavailable < health.limit:
                evicted.add(step_key)
                orders.extend(self.stop_run(run, now_s))
        return orders

    def take_changed(self) -> list[JobRecord]:
        """Return the jobs whose progress has changed since the last call."""
        changed = list(self.changed_jobs.values())
        self.changed_jobs.clear()
        return changed

    def mark_changed(self, record: JobRecord) -> None:
        """Have the progress of the job stored, unless the job was dropped."""
        if self.jobs.get(record.job.job_id) is record:
            self.changed_jobs[record.job.job_id] = record

    def settle(self, records: Iterable[JobRecord]) -> None:
        """Allow starts of jobs whose runs under an earlier holder are all accounted for."""
        for record in records:
            record.settled = True

    def add_run(self, run: RunRecord, record: JobRecord | None) -> None:
        self.targets[run.target_id].add_run(run)
        self.team_use[run.team] = self.team_use.get(run.team, NO_RESOURCES).add(run.request)
        if record is not None:
            record.runs[run.key] = run

    def forget_run(self, run: RunRecord) -> None:
        target = self.targets.get(run.target_id)
        if target is None or target.runs.get(run.key) is not run:
            return
        target.remove_run(run)
        self.team_use[run.team] = self.team_use[run.team].subtract(run.request)
        record = self.jobs.get(run.key.job_id)
        if record is not None and record.runs.get(run.key) is run:
            del record.runs[run.key]
            record.note_checkpoint(run.key, run.checkpoint)

    def requeue(self, key: TaskKey) -> None:
        record = self.jobs.get(key.job_id)
        if record is None or not record.may_wait(key):
            return
        record.waiting[key] = None

    def _is_lasting(self, key: TaskKey) -> bool:
        record = self.jobs.get(key.job_id)
        return record is not None and record.open and record.job.steps[key.step].lasting

    def _read_step_health(self, job_id: str, occurrence: int, number: int) -> StepHealth:
        record = self.jobs[job_id]
        step = record.job.steps[number]
        at_work_on: dict[str, int] = {}
        for run in record.runs.values():
            if (run.key.occurrence, run.key.step) == (occurrence, number) and run.at_work:
                at_work_on[run.target_id] = at_work_on.get(run.target_id, 0) + 1
        unavailable = step.task_count - sum(at_work_on.values())
        return StepHealth(step.unavailable_limit, unavailable, at_work_on)

    def _note_refusal(self, record: TargetRecord, answer: StartAnswer, now_s: float) -> None:
        if answer is StartAnswer.REPLACED:
            record.leaving = True
            self.drop_runs(record, now_s)
        bar_s = BAR_BY_ANSWER_S.get(answer, 0)
        record.barred_until_s = max(record.barred_until_s, now_s + bar_s)

    def _find_run(self, target_id: str, key: TaskKey, run_id: int) -> RunRecord | None:
        target = self.targets.get(target_id)
        run = None if target is None else target.runs.get(key)
        return None if run is None or run.run_id != run_id else run

    def _note_begun(self, job_id: str) -> None:
        """Note that a task of the job has started; an order alone may come to nothing."""
        record = self.jobs.get(job_id)
        if record is not None and record.progress.state is JobState.QUEUED:
            record.progress.state = JobState.RUNNING
            self.mark_changed(record)

    def _apply_end(self, target: TargetRecord, ended: EndedRun, now_s: float) -> None:
        run = target.runs.get(ended.key)
        record = self.jobs.get(ended.key.job_id)
        if run is not None and run.run_id == ended.run_id:
            run.checkpoint = ended.checkpoint or run.checkpoint
            self.forget_run(run)
        if record is None:
            return
        if not record.has_task(ended.key):
            log.warning('target %s: ends %s, no task', target.entry.target_id, ended.key)
            return
        self._note_begun(ended.key.job_id)
        self._note_outcome(record, target, ended, now_s)
        self.requeue(ended.key)

    def _note_outcome(
        self, record: JobRecord, target: TargetRecord, ended: EndedRun, now_s: float
    ) -> None:
        lasting = record.job.steps[ended.key.step].lasting
        if ended.outcome is RunOutcome.DONE and not lasting:
            target.failure_streak = 0
            for key in record.list_represented(ended.key):
                if record.note_done(key):
                    self._note_done(record, key)
        elif ended.outcome is RunOutcome.FAILED:
            self._note_failure(record, target, ended, now_s)
        else:
            log.info(
                'task %s run %d: %s on %s',
                ended.key,
                ended.run_id,
                ended.outcome,
                target.entry.target_id,
            )

    def _note_done(self, record: JobRecord, key: TaskKey) -> None:
        record.waiting.pop(key, None)
        if record.open and record.is_complete():
            record.progress.state = JobState.COMPLETE
            self._close_job(record)
        self.mark_changed(record)

    def _note_failure(
        self, record: JobRecord, target: TargetRecord, ended: EndedRun, now_s: float
    ) -> None:
        key = ended.key
        target.failure_streak += 1
        record.failed_on.setdefault(key, set()).add(target.entry.target_id)
        if target.failure_streak >= FAILURE_STREAK_LIMIT:
            target.barred_until_s = now_s + BAR_AFTER_FAILURES_S
        task = (key.occurrence, key.step, record.list_represented(key)[0].number)
        failed_runs = record.progress.failures.get(task, set()) | {ended.run_id}
        log.info(
            'task %s run %d: failed on %s, attempt %d',
            key,
            ended.run_id,
            target.entry.target_id,
            len(failed_runs),
        )
        if record.job.steps[key.step].lasting:
            return
        record.progress.failures[task] = failed_runs
        if len(failed_runs) >= record.job.queue.attempt_limit and record.open:
            record.progress.state = JobState.FAILED
            self._close_job(record)
        self.mark_changed(record)

    def _apply_active(
        self, target: TargetRecord, key: TaskKey, run_id: int, now_s: float
    ) -> list[Order]:
        run = target.runs.get(key)
        self._note_begun(key.job_id)
        if run is not None and run.run_id == run_id:
            if run.state is RunState.UNCONFIRMED:
                run.state = RunState.RUNNING
            return []
        if run is not None:
            return []
        return self._adopt(target, key, run_id, now_s)

    def _adopt(self, target: TargetRecord, key: TaskKey, run_id: int, now_s: float) -> list[Order]:
        """Take over a run of an earlier holder, or stop it when it should not be there."""
        record = self.jobs.get(key.job_id)
        if record is None or not _is_wanted(record, key):
            log.info('task %s run %d is not wanted on %s', key, run_id, target.entry.target_id)
            run = _make_adopted(target, key, run_id, now_s, Step(1, NO_RESOURCES), '')
            self.add_run(run, None)
            return self.stop_run(run, now_s)
        step = record.job.steps[key.step]
        self.add_run(_make_adopted(target, key, run_id, now_s, step, record.job.team), record)
        record.last_run_ids[key] = max(run_id, record.last_run_ids.get(key, 0))
        record.waiting.pop(key, None)
        return []

    def _pace_fillers(self, target: TargetRecord) -> list[Order]:
        """Return the orders that keep fillers from harming the tasks that serve beside them."""
        ratios = [
            run.level / run.tail_limit_ms for run in target.runs.values() if run.tail_limit_ms
        ]
        orders: list[Order] = []
        for run in target.runs.values():
            if not run.filler or run.state is not RunState.RUNNING:
                continue
            percent = choose_pace(run.pace_percent, max(ratios, default=0))
            if percent != run.pace_percent:
                run.pace_percent = percent
                orders.append(PaceOrder(run.target_id, run.key, run.run_id, percent))
        return orders

    def _restart_stalled(self, target: TargetRecord, now_s: float) -> list[Order]:
        """Bar a target on which short tasks stand still, and return their stops.

        Each task is moved at most `RESTART_LIMIT` times.
        """
        stopped: list[Order] = []
        for run in list(target.runs.values()):
            if run.is_stalled(now_s) and self._may_restart(run.key):
                log.info('task %s: stands still on %s', run.key, target.entry.target_id)
                stopped.extend(self.stop_run(run, now_s))
        if stopped:
            target.barred_until_s = max(target.barred_until_s, now_s + BAR_WHEN_STALLED_S)
        return stopped

    def _may_restart(self, key: TaskKey) -> bool:
        """Return whether the task may be moved once more, and count it."""
        record = self.jobs[key.job_id]
        count = record.restarts.get(key, 0)
        if count >= RESTART_LIMIT or record.job.steps[key.step].gang:
            return False
        record.restarts[key] = count + 1
        return True

    def _find_missing(
        self, target: TargetRecord, listed: set[TaskKey], asked_s: float, now_s: float
    ) -> list[Order]:
        """Settle runs that the report should show and does not."""
        orders: list[Order] = []
        for run in list(target.runs.values()):
            if run.key in listed or run.settled_s >= asked_s:
                continue
            orders.extend(self._settle_missing(run, now_s))
        return orders

    def _settle_missing(self, run: RunRecord, now_s: float) -> list[Order]:
        """Requeue a run that has gone; stop one whose start had no answer and may still come."""
        if run.state is RunState.UNCONFIRMED:
            return self.stop_run(run, now_s)
        if run.state is RunState.RUNNING or run.stop_confirmed:
            log.info('task %s run %d is gone from %s', run.key, run.run_id, run.target_id)
            self.forget_run(run)
            self.requeue(run.key)
        return []

    def _close_job(self, record: JobRecord) -> None:
        log.info(
            'job %s: %s, accepted at %d ms with an objective of %d ms',
            record.job.job_id,
            record.progress.state,
            record.job.accepted_ms,
            record.objective_ms,
        )
        record.waiting.clear()
        self._closing[record.job.job_id] = record
        self.open_jobs.pop(record.job.job_id, None)


def _note_level(run: RunRecord | None, active: ActiveRun, now_s: float) -> None:
    if run is None or run.run_id != active.run_id:
        return
    run.checkpoint = active.checkpoint or run.checkpoint
    run.at_work = active.at_work_percent >= 100 and not run.ending
    run.level = active.level
    if active.at_work_percent > run.percent or not run.progressed_s:
        run.percent = active.at_work_percent
        run.progressed_s = now_s


def _is_wanted(record: JobRecord, key: TaskKey) -> bool:
    if not record.has_task(key) or key in record.runs:
        return False
    return record.open and not record.is_done(key)


def _make_adopted(
    target: TargetRecord, key: TaskKey, run_id: int, now_s: float, step: Step, team: str
) -> RunRecord:
    return RunRecord(
        key,
        run_id,
        target.entry.target_id,
        team,
        compute_effective_request(step),
        step.request,
        RunState.RUNNING,
        now_s,
        now_s,
        tail_limit_ms=step.tail_limit_ms,
        filler=step.filler,
        lasting=step.lasting,
    )
