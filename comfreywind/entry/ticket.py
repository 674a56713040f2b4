"""A request that waits for a place at a target."""

from dataclasses import dataclass

from comfreywind.bundle.rules import QueueRules


@dataclass(frozen=True, slots=True)
class Ticket:
    """What the dispatcher needs to know; `deadline_s` is a monotonic time in seconds."""

    request_id: str
    queue: QueueRules
    team: str
    deadline_s: float
    excluded_targets: frozenset[str] = frozenset()
    idempotent: bool = False
