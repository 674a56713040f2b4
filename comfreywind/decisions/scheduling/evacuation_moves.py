"""Decides which runs in an evacuated data centre are moved, and which stay for now and why."""

import enum

from comfreywind.decisions.scheduling.maintenance import StepHealth
from comfreywind.decisions.scheduling.work_order import estimate_task_ms
from comfreywind.jobs.step import Step

# A task with checkpoints is stopped only if more than this is left of it by its estimate: the time
# that stop, start and warm-up take would be lost for less.
MIN_LEFT_MS = 5000
FULL_PERCENT = 100


class StayReason(enum.StrEnum):
    """Why a run is still in the data centre; the texts complete a count in a log line."""

    FINISHES = 'short and will finish'
    STOPPING = 'being stopped'
    UNCONFIRMED = 'not confirmed'
    UNREACHABLE = 'on targets that do not reply'
    AVAILABILITY = 'of steps that may miss no further task'
    NO_PLACE = 'without a free place elsewhere'
    ALL_EVACUATED = 'with no other data centre left'


def should_move(step: Step, progress_percent: int) -> bool:
    """Return whether a run is stopped and started elsewhere instead of finishing where it is."""
    if step.long_running:
        return True
    left_ms = estimate_task_ms(step) * (FULL_PERCENT - progress_percent) / FULL_PERCENT
    return step.checkpointing and left_ms > MIN_LEFT_MS


def allows_stop(health: StepHealth, count: int, at_work: int, moving: int) -> bool:
    """Return whether `count` runs of a step may be stopped together, of which some are at work.

    `moving` counts other runs of the step that are about to be stopped. A run that was last reported
    as starting may be at work by now, so the limit holds for it as well.
    """
    if not health.limit:
        return True
    others_unavailable = health.unavailable - (count - at_work) + moving
    return others_unavailable + count - 1 < health.limit
