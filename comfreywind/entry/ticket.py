"""A request that waits for a place at a target."""

from dataclasses import dataclass

from comfreywind.bundle.rules import QueueRules


@dataclass(frozen=True, slots=True)
class Ticket:
    """What the dispatcher needs to know; `deadline_s` is a monotonic time in seconds.

    `at_front` is set for a request that had a place before, at a target that has not run it.
    """

    request_id: str
    queue: QueueRules
    team: str
    deadline_s: float
    excluded_targets: frozenset[str] = frozenset()
    idempotent: bool = False
    at_front: bool = False
