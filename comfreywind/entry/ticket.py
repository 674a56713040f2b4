"""A request for a slot at a target."""

from dataclasses import dataclass

from comfreywind.bundle.rules import QueueRules


@dataclass(frozen=True, slots=True)
class Ticket:
    """The data of a request that the dispatcher uses.

    `deadline_s` is a monotonic time in seconds. `at_front` puts the request before those that wait;
    it is set after an attempt at a target that failed or did not run the request.
    """

    request_id: str
    queue: QueueRules
    team: str
    deadline_s: float
    excluded_targets: frozenset[str] = frozenset()
    idempotent: bool = False
    at_front: bool = False
