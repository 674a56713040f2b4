"""Passes what reports show of tasks that share a target to the estimate of their interference."""

import logging
from collections.abc import Mapping

from comfreywind.decisions.scheduling.interference import Interference
from comfreywind.decisions.scheduling.effect_regression import LOAD
from comfreywind.decisions.scheduling.harm import FigureKind, Harm
from comfreywind.jobs.run_report import RunOutcome
from comfreywind.scheduling.harm_text import describe_harm
from comfreywind.scheduling.run_record import FULL_PERCENT, RunRecord, RunState
from comfreywind.scheduling.target_record import TargetRecord

# A tail latency covers the last half second, and several reports a second would tell it again.
SAMPLE_INTERVAL_S = 1.0
# What a tail latency covers.
FIGURE_SPAN_S = 0.5
MS_PER_S = 1000

log = logging.getLogger('comfreywind.interference')


class InterferenceWatch:
    """The figures of one holder's term, from which it learns which tasks to keep apart."""

    def __init__(self) -> None:
        """Begin without any figures."""
        self.estimate = Interference()
        self._sampled_s: dict[str, float] = {}

    def record_report(self, target: TargetRecord, now_s: float) -> None:
        """Record the tail latencies of a report that was applied to the runs of the target.

        It has to be called before the pace is changed, which the figures don't show yet.
        """
        target_id = target.entry.target_id
        if now_s - self._sampled_s.get(target_id, float('-inf')) < SAMPLE_INTERVAL_S:
            return
        disturbed = [run for run in target.runs.values() if _tells_tail(run, now_s)]
        if not disturbed:
            return
        self._sampled_s[target_id] = now_s
        since_s = now_s - FIGURE_SPAN_S
        totals = _sum_presences(target, since_s, now_s)
        for run in disturbed:
            presences = _exclude(target, run, totals, since_s, now_s)
            ratio = run.metric_value / run.tail_latency_limit_ms
            self.estimate.add(run.image, FigureKind.TAIL, ratio, presences, target_id, now_s)

    def record_end(
        self, target: TargetRecord, run: RunRecord, outcome: RunOutcome, now_s: float
    ) -> None:
        """Record the run time of a task that is done; the target still has its run."""
        if outcome is not RunOutcome.DONE or not run.comparable_ms or run.shown_s is None:
            return
        ratio = (now_s - run.shown_s) * MS_PER_S / run.comparable_ms
        totals = _sum_presences(target, run.shown_s, now_s)
        presences = _exclude(target, run, totals, run.shown_s, now_s)
        self.estimate.add(
            run.image, FigureKind.RUN_TIME, ratio, presences, target.entry.target_id, now_s
        )

    def review(self, targets: Mapping[str, TargetRecord], now_s: float) -> tuple[Harm, ...]:
        """Judge all pairs anew, log what has changed, and return all harms."""
        self._sampled_s = {
            target_id: sampled_s
            for target_id, sampled_s in self._sampled_s.items()
            if target_id in targets
        }
        found, ended = self.estimate.review(now_s)
        for harm in found:
            log.info('found: %s', describe_harm(harm))
        for harm in ended:
            log.info('ended after %.0f s: %s', now_s - harm.since_s, describe_harm(harm))
        return tuple(self.estimate.harms.values())


def _tells_tail(run: RunRecord, now_s: float) -> bool:
    """Return whether the figure of a run is a tail latency at full work."""
    serves = bool(run.tail_latency_limit_ms and run.image)
    if not serves or not run.at_work or run.metric_value <= 0:
        return False
    return run.state is RunState.RUNNING and run.compute_observed_s(now_s) >= FIGURE_SPAN_S


def _sum_presences(target: TargetRecord, since_s: float, now_s: float) -> dict[str, float]:
    """Return how much the runs of each image were there from `since_s` to `now_s`."""
    totals: dict[str, float] = {}
    for run in target.runs.values():
        if run.image:
            presence = _compute_presence(run, since_s, now_s)
            totals[run.image] = totals.get(run.image, 0) + presence
    return totals


def _exclude(
    target: TargetRecord, run: RunRecord, totals: Mapping[str, float], since_s: float, now_s: float
) -> dict[str, float]:
    """Return how much each image was beside one run, from 0 to 1, with the load of the others."""
    presences = {image: min(1, total) for image, total in totals.items()}
    own = _compute_presence(run, since_s, now_s)
    presences[run.image] = min(1, totals.get(run.image, 0) - own)
    capacity = target.entry.capacity.cpu_millicores
    if capacity:
        others = target.used.cpu_millicores - run.reserved.cpu_millicores
        presences[LOAD] = min(1, others / capacity)
    return presences


def _compute_presence(run: RunRecord, since_s: float, now_s: float) -> float:
    if run.shown_s is None:
        return 0
    if run.shown_s <= since_s and not run.best_effort:
        return 1
    return _compute_overlap(run.shown_s, since_s, now_s) * _compute_activity(run)


def _compute_overlap(shown_s: float, since_s: float, now_s: float) -> float:
    """Return the part of the time since `since_s` in which a run that is still there was there."""
    if shown_s <= since_s:
        return 1
    return (now_s - shown_s) / (now_s - since_s)


def _compute_activity(run: RunRecord) -> float:
    """Return how much a run works, of what it would at most.

    A best-effort task works at its pace and with the processor time that others leave.
    """
    if not run.best_effort:
        return 1
    if run.metric_value > 0 and run.request.cpu_millicores:
        return min(1, run.metric_value / run.request.cpu_millicores)
    return run.pace_percent / FULL_PERCENT
