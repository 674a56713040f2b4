"""Decides which state of an evacuation the operator is shown."""

from dataclasses import dataclass

REASON_UNKNOWN = 'no target, VM or node is in this data centre'
REASON_ALL = 'all data centres are evacuated, so nothing starts and nothing that runs is stopped'


@dataclass(frozen=True, slots=True)
class EvacuationFacts:
    """What is known of a data centre under evacuation.

    `exists` tells whether a target, VM or node is or was there, and is None while that is not known.
    `runs_left` counts the runs there, and `all_known` tells that no other run can be there.
    """

    exists: bool | None
    runs_left: int
    all_known: bool
    all_evacuated: bool


@dataclass(frozen=True, slots=True)
class EvacuationState:
    """The state of an evacuation, with a reason for states that need one."""

    state: str
    reason: str = ''


def decide_evacuation_state(facts: EvacuationFacts) -> EvacuationState | None:
    """Return the state to show, or None while it is not known."""
    if not facts.exists:
        return None if facts.exists is None else EvacuationState('rejected', REASON_UNKNOWN)
    complete = facts.all_known and not facts.runs_left
    reason = REASON_ALL if facts.all_evacuated else ''
    return EvacuationState('complete' if complete else 'in_progress', reason)
