"""Decides when a suspect is cleared, and how many targets suspects may have to themselves."""

from comfreywind.decisions.scheduling.crash_blame import BLAME_WINDOW_S, StartEvidence


def is_cleared(observed_s: float) -> bool:
    """Return whether a run that was seen running for `observed_s` has shown to be harmless.

    The percentage of a task of an hour stays 0 for 36 s, so progress alone would take too long.
    """
    return observed_s >= BLAME_WINDOW_S


def judge_report(progress_percent: int, observed_s: float) -> StartEvidence:
    """Return what a report shows of a run that lists it with this progress."""
    if progress_percent > 0 or is_cleared(observed_s):
        return StartEvidence.PROGRESS
    return StartEvidence.ACKNOWLEDGED


def compute_isolation_limit(target_count: int) -> int:
    """Return how many of the usable targets of a pool may each run one suspect apart.

    Nothing else starts there until the suspect is cleared, and one crash can leave more suspects
    than the pool has targets. The other half keeps serving other jobs.
    """
    return max(1, target_count // 2)
