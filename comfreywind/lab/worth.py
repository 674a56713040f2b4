"""What the end of a job earns in the lab."""

from collections.abc import Iterable

from comfreywind.decisions.scheduling.work_order import LATE_FACTOR
from comfreywind.lab.arrival import Arrival
from comfreywind.lab.outcome import Outcome
from comfreywind.scheduling.scheduler_state import SchedulerState

# The users' sheets: a job up to three times later than its objective earns about 7 % of its worth.
LATE_PART = 0.07
WINDOW_S = 2.0


def note_end(outcome: Outcome, arrival: Arrival, now_s: float) -> None:
    """Count a job that is complete."""
    taken_s = now_s - arrival.time_s
    if taken_s <= arrival.objective_s:
        outcome.on_time += 1
        _count(outcome, arrival, 1)
    else:
        outcome.late += 1
        within = taken_s <= LATE_FACTOR * arrival.objective_s
        _count(outcome, arrival, LATE_PART if within else 0)


def note_unfinished(
    outcome: Outcome, arrivals: Iterable[Arrival], scheduler_state: SchedulerState
) -> None:
    """Count the jobs that did not end."""
    for arrival in arrivals:
        record = scheduler_state.jobs.get(arrival.job.job_id)
        if record is None or record.open:
            outcome.unfinished += 1
            _count(outcome, arrival, 0)


def _count(outcome: Outcome, arrival: Arrival, part: float) -> None:
    earned = arrival.worth * part
    outcome.owed += arrival.worth
    outcome.earned += earned
    window = outcome.earned_by_window.setdefault(int(arrival.time_s / WINDOW_S), [0, 0])
    queue = outcome.earned_by_queue.setdefault(arrival.job.queue.name, [0, 0])
    for sums in (window, queue):
        sums[0] += arrival.worth
        sums[1] += earned
