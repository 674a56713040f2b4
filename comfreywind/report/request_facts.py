"""What the reports know of one request that has ended."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Queue, team, result and duration of a request; `reason` is empty for an answer."""

    request_id: str
    queue: str
    team: str
    status: int
    outcome: str
    reason: str
    duration_s: float
    complete: bool
