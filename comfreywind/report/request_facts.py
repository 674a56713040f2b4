"""Facts about an ended request that the reports use."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Queue, team, result and duration of a request; `reason` is empty unless it was refused."""

    request_id: str
    queue: str
    team: str
    status: int
    outcome: str
    reason: str
    duration_s: float
    complete: bool
