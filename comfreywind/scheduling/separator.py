"""Moves long-running tasks away from those that they harm, or that harm them."""

import logging
from collections.abc import Callable, Iterable

from comfreywind.decisions.scheduling.effect_regression import LOAD
from comfreywind.decisions.scheduling.harm import Harm
from comfreywind.decisions.scheduling.separation import Movable, choose_move
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.free_places import FreePlaces
from comfreywind.scheduling.harm_text import describe_harm
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.orders import Order
from comfreywind.scheduling.run_record import RunRecord, RunState
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.step_availability import may_miss_task
from comfreywind.scheduling.target_record import TargetRecord

log = logging.getLogger('comfreywind.interference')


class Separator:
    """Chooses one task at a time; its runs are stopped, and the planner starts it elsewhere."""

    def __init__(
        self, scheduler_state: SchedulerState, may_start: Callable[[TargetRecord, float], bool]
    ) -> None:
        """Move tasks of `scheduler_state` to targets for which `may_start` holds."""
        self._state = scheduler_state
        self._may_start = may_start
        self._moved_s = float('-inf')
        self._move_counts: dict[TaskKey, int] = {}

    def separate(self, harms: Iterable[Harm], now_s: float) -> list[Order]:
        """Return the stop order for the task to move now, if there is one."""
        relevant = [harm for harm in harms if harm.partner != LOAD]
        # While ceilings are not known, a task that was stopped could not start again.
        if not relevant or self._state.unknown_usage is None:
            return []
        reasons = self._list_reasons(relevant)
        places = FreePlaces(self._state, self._may_start, now_s)
        candidates = [self._describe(run, found, places, now_s) for run, found in reasons.values()]
        chosen = choose_move(candidates, now_s - self._moved_s)
        if chosen is None:
            return []
        run, found = reasons[chosen.key]
        log.info(
            'task %s: stopped on target %s, to start apart from a task there, because %s',
            run.key,
            run.target_id,
            '; '.join(map(describe_harm, found)),
        )
        self._moved_s = now_s
        self._move_counts = {
            key: count for key, count in self._move_counts.items() if key.job_id in self._state.jobs
        }
        self._move_counts[run.key] = chosen.move_count + 1
        return self._state.stop_run(run, now_s)

    def _list_reasons(self, harms: list[Harm]) -> dict[TaskKey, tuple[RunRecord, list[Harm]]]:
        """Return the long-running tasks that share a target with a harmful one, and the harms."""
        reasons: dict[TaskKey, tuple[RunRecord, list[Harm]]] = {}
        for target in self._state.targets.values():
            if target.silent or not target.doubt.settled or target.emptying:
                continue
            for harm in harms:
                for run in _list_involved(target, harm):
                    reasons.setdefault(run.key, (run, []))[1].append(harm)
        return reasons

    def _describe(
        self, run: RunRecord, harms: list[Harm], places: FreePlaces, now_s: float
    ) -> Movable:
        record = self._state.jobs.get(run.key.job_id)
        may_stop = record is not None and self._may_stop(record, run, now_s)
        return Movable(
            run.key,
            harm=sum(harm.least for harm in harms),
            lasted_s=max(now_s - harm.since_s for harm in harms),
            may_stop=may_stop,
            has_place=may_stop and record is not None and places.find(record, run) is not None,
            best_effort=run.best_effort,
            move_count=self._move_counts.get(run.key, 0),
        )

    def _may_stop(self, record: JobRecord, run: RunRecord, now_s: float) -> bool:
        """Return whether a run may be stopped, and its task would start again at once.

        Whether the advice service allows another target is not known here.
        """
        step = record.job.steps[run.key.step]
        bound = step.gang or step.same_rack or record.job.queue.advice_validity_ms
        working = run.at_work and run.state is RunState.RUNNING
        if bound or not working or not (record.open and record.reconciled):
            return False
        return may_miss_task(self._state, run, now_s)


def _list_involved(target: TargetRecord, harm: Harm) -> list[RunRecord]:
    """Return the long-running runs on a target of the two images, if both are there.

    Short tasks soon end, so moving away from them is not worth it.
    """
    if harm.disturbed not in target.images or harm.partner not in target.images:
        return []
    runs = [run for run in target.runs.values() if run.long_running]
    disturbed = [run for run in runs if run.image == harm.disturbed]
    partners = [run for run in runs if run.image == harm.partner]
    if harm.disturbed == harm.partner:
        return disturbed if len(disturbed) > 1 else []
    return disturbed + partners if disturbed and partners else []
