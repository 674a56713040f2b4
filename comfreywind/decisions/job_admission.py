"""Decides whether a job is refused because its pool can't do it in time."""

import math
from dataclasses import dataclass

from comfreywind.decisions.scheduling.work_order import LATE_FACTOR

# Callers' estimates of run times are off by about 0.2 in the mean. A team is beyond its share only
# if its work would take too long even with all estimates too high by this factor.
ESTIMATE_MARGIN = 1.2
# A job is refused only beyond this multiple of the time in which it has value. In the lab 1.2 took
# a tenth of what callers earned while one team sent 25 times its usual, and 2.4 took nothing: the
# order of work serves first what can be on time, and callers that return take its place.
REFUSAL_MARGIN = 2.4
# Callers that are refused together return over this part of the wait.
JITTER_PART = 0.5
MIN_RETRY_S = 1
# Longer forecasts depend on work that is not handed in yet.
MAX_RETRY_S = 60
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class JobOutlook:
    """When a job that is handed in now would end; times in seconds.

    `wait_s` is how long the work of its team takes that the holder has counted. `added_s` is the
    work that this node has accepted since for the team, and `returning_s` that of jobs of the team
    which this node has refused and which are expected back. `path_s` is the critical path of the
    job.
    """

    wait_s: float
    added_s: float
    returning_s: float
    path_s: float
    objective_s: float

    @property
    def end_s(self) -> float:
        """Return the estimate of the time until the job would end."""
        return self.wait_s + self.added_s + self.returning_s + self.path_s

    @property
    def limit_s(self) -> float:
        """Return the estimate beyond which the job is refused."""
        return REFUSAL_MARGIN * LATE_FACTOR * self.objective_s


def compute_overrun_s(outlook: JobOutlook) -> float:
    """Return by how much the job would miss its limit, to the millisecond; 0 if it may be in time."""
    return max(0, round(outlook.end_s - outlook.limit_s, 3))


def compute_lowest_wait_s(latency_objective_ms: float) -> float:
    """Return the wait up to which no job of a queue is refused, whatever its critical path.

    The limit of a job rises faster with its critical path than the estimate of its end does.
    """
    return ESTIMATE_MARGIN * LATE_FACTOR * latency_objective_ms / MS_PER_S


def choose_retry_after_s(overrun_s: float, fraction: float) -> int:
    """Return the whole seconds after which a refused caller should return.

    The backlog shrinks by a second in each second, so after the overrun the job would be accepted.
    `fraction` is a random number from 0 to 1 that spreads the returns of many callers.
    """
    spread_s = max(MIN_RETRY_S, overrun_s) * (1 + JITTER_PART * fraction)
    return min(MAX_RETRY_S, max(MIN_RETRY_S, math.ceil(spread_s)))
