"""Waiting and running requests of one team in one pool."""

from collections import Counter

from comfreywind.decisions.service_time import ServiceTime, add_sample
from comfreywind.decisions.start_order import advance_virtual_time
from comfreywind.decisions.team_load import TeamLoad
from comfreywind.entry.lane import Lane
from comfreywind.entry.placement import Placement
from comfreywind.entry.waiter import Waiter

# The run time estimate expires this time plus two mean run times after the last completed run.
# Otherwise an outdated estimate could reject all requests, and no run would correct it.
ESTIMATE_TTL_S = 10
# Charged for a start while the team has no run time estimate.
DEFAULT_RUN_S = 0.1


class TeamQueue:
    """Waiting requests in an urgent and a normal lane, and the virtual time of the team."""

    def __init__(self, team: str) -> None:
        """Start with no waiting or running requests."""
        self.team = team
        self.urgent = Lane()
        self.normal = Lane()
        self.running = 0
        self.urgent_running = 0
        self.urgent_allowed = True
        self.lacks_unit = False
        self.quota = 1.0
        self.virtual_time_s: float = 0
        self._waiting_by_queue: Counter[str] = Counter()
        self._service = ServiceTime()
        self._sampled_s: float = 0

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self.urgent) + len(self.normal)

    @property
    def is_active(self) -> bool:
        """Return whether any requests are waiting or running."""
        return self.running > 0 or self.waiting > 0

    @property
    def urgent_first(self) -> bool:
        """Return whether urgent requests wait and the team's entitlement allows to start them."""
        return self.urgent_allowed and len(self.urgent) > 0

    @property
    def first_number(self) -> int:
        """Return the lowest arrival number among the first requests of both lanes."""
        first = [waiter.number for lane in (self.urgent, self.normal) for waiter in lane.peek(1)]
        return min(first)

    def count_waiting(self, queue: str) -> int:
        """Return the number of waiting requests of the queue."""
        return self._waiting_by_queue[queue]

    def get_lane(self, waiter: Waiter) -> Lane:
        """Return the lane that the request belongs to."""
        return self.urgent if waiter.ticket.queue.urgent else self.normal

    def add(self, waiter: Waiter) -> None:
        """Add a waiting request."""
        self.get_lane(waiter).add(waiter, waiter.ticket.at_front)
        self._waiting_by_queue[waiter.ticket.queue.name] += 1

    def remove(self, waiter: Waiter) -> bool:
        """Remove a request and return whether it was waiting."""
        removed = self.get_lane(waiter).remove(waiter)
        if removed:
            self._waiting_by_queue[waiter.ticket.queue.name] -= 1
        return removed

    def start(self, urgent: bool) -> float:
        """Record a start; charge the mean run time and return it in seconds."""
        self.running += 1
        self.urgent_running += urgent
        charged_s = self._service.mean_s or DEFAULT_RUN_S
        self._charge(charged_s)
        return charged_s

    def finish(self, placement: Placement, now_s: float) -> None:
        """Record the end of a run; replace the charged run time by the measured one."""
        run_s = now_s - placement.started_s
        self.running -= 1
        self.urgent_running -= placement.urgent
        self._charge(run_s - placement.charged_s)
        self._service = add_sample(self._service, run_s)
        self._sampled_s = now_s

    def undo_start(self, placement: Placement) -> None:
        """Revert a start and its charge, because the request was not run."""
        self.running -= 1
        self.urgent_running -= placement.urgent
        self._charge(-placement.charged_s)

    def catch_up(self, virtual_time_s: float) -> None:
        """Advance the virtual time to at least the given one.

        Without this, a team would be compensated for a time in which it had no request to start.
        """
        self.virtual_time_s = max(self.virtual_time_s, virtual_time_s)

    def get_service_time(self, now_s: float) -> ServiceTime:
        """Return the run time estimate; reset it first if it has expired."""
        if now_s - self._sampled_s > ESTIMATE_TTL_S + 2 * self._service.mean_s:
            self._service = ServiceTime()
        return self._service

    def make_load(self) -> TeamLoad:
        """Return the load that is reported to peers."""
        return TeamLoad(
            running=self.running,
            waiting=self.waiting,
            ready=0 if self.lacks_unit else self.waiting,
            urgent_running=self.urgent_running,
            urgent_ready=len(self.urgent) if self.urgent_allowed and not self.lacks_unit else 0,
        )

    def _charge(self, service_s: float) -> None:
        self.virtual_time_s = advance_virtual_time(self.virtual_time_s, service_s, self.quota)
