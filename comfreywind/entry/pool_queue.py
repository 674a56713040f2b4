"""Waiting requests and targets of one pool."""

from collections.abc import Iterator, Mapping

from comfreywind.bundle.rules import TeamRules
from comfreywind.clock import Clock
from comfreywind.decisions.room_rule import PoolCapacity
from comfreywind.decisions.slot_allocation import LoadsByTeam, SlotAllocation, allocate_slots
from comfreywind.decisions.slot_rounding import compute_rounding_offset
from comfreywind.decisions.urgent_reserve import count_reserved_slots
from comfreywind.entry.placement import Placement
from comfreywind.entry.target_pool import TargetPool
from comfreywind.entry.team_queue import TeamQueue
from comfreywind.entry.waiter import Waiter


class PoolQueue:
    """The queues of all teams in one pool, its targets, and the allocation of their slots."""

    def __init__(self, targets: TargetPool) -> None:
        """Start with no waiting requests."""
        self.targets = targets
        self.teams: dict[str, TeamQueue] = {}
        self.allocation = SlotAllocation()
        self.running = 0
        # Teams with running or waiting requests; only these are part of allocations and reports.
        self._active_teams: dict[str, TeamQueue] = {}
        self._weights: dict[str, float] = {}
        self._waiting_teams: dict[str, TeamQueue] = {}
        self._virtual_time_s: float = 0
        self._reserved_slots = 0

    @property
    def is_active(self) -> bool:
        """Return whether any team has had requests since the last allocation."""
        return len(self._active_teams) > 0

    def get_team_queue(self, team: str) -> TeamQueue:
        """Return the queue of the team; create it on first use."""
        team_queue = self.teams.get(team)
        if team_queue is None:
            team_queue = TeamQueue(team)
            self.teams[team] = team_queue
        return team_queue

    def list_candidates(self) -> Iterator[TeamQueue]:
        """Return the teams with waiting requests that do not lack a unit."""
        return (team for team in self._waiting_teams.values() if not team.lacks_unit)

    def list_waiting(self) -> list[Waiter]:
        """Return all waiting requests."""
        lanes = [lane for team in self.teams.values() for lane in (team.urgent, team.normal)]
        return [waiter for lane in lanes for waiter in lane.peek(len(lane))]

    def add(self, waiter: Waiter) -> None:
        """Add a waiting request."""
        team_queue = self.get_team_queue(waiter.ticket.team)
        if team_queue.team not in self._active_teams:
            self._activate(team_queue)
        if not team_queue.waiting:
            team_queue.catch_up(self._virtual_time_s)
            self._waiting_teams[team_queue.team] = team_queue
        team_queue.add(waiter)

    def remove(self, waiter: Waiter) -> bool:
        """Remove a request and return whether it was waiting."""
        team_queue = self.get_team_queue(waiter.ticket.team)
        removed = team_queue.remove(waiter)
        if not team_queue.waiting:
            self._waiting_teams.pop(team_queue.team, None)
        return removed

    def record_start(self, team_queue: TeamQueue, urgent: bool) -> float:
        """Record a start and return the run time in seconds that was charged for it."""
        self.running += 1
        if not urgent:
            self._virtual_time_s = max(self._virtual_time_s, team_queue.virtual_time_s)
        return team_queue.start(urgent)

    def record_finish(self, placement: Placement, now_s: float) -> None:
        """Record the end of a run and free its slot."""
        self.running -= 1
        self.get_team_queue(placement.team).finish(placement, now_s)
        self.targets.remove_request(placement.target.name)

    def undo_start(self, placement: Placement, full_until_s: float) -> None:
        """Revert a start, because the target rejected the request as full."""
        self.running -= 1
        self.get_team_queue(placement.team).undo_start(placement)
        self.targets.record_rejection(placement.target.name, full_until_s)

    def mark_unit_available(self, team: str) -> bool:
        """Let the team compete for starts again; return whether it had lacked a unit."""
        team_queue = self.teams.get(team)
        if team_queue is None or not team_queue.lacks_unit:
            return False
        team_queue.lacks_unit = False
        team_queue.catch_up(self._virtual_time_s)
        return True

    def make_pool_capacity(self) -> PoolCapacity:
        """Return the capacity figures that decide which targets the next request may use."""
        return PoolCapacity(
            running=self.running,
            quota_slots=self.allocation.slots,
            free_slots=self.targets.free_slots,
            reserved_slots=self._reserved_slots,
            urgent_ready_at_peers=self.allocation.urgent_ready_at_peers,
            peers_below_quota=self.allocation.peers_below_quota,
        )

    def make_loads(self) -> dict[str, tuple[int, ...]]:
        """Return the load of each team with demand, in the format of the reports to peers."""
        loads = {name: team.make_load() for name, team in self._active_teams.items()}
        return {name: load.to_counts() for name, load in loads.items() if load.demand}

    def update_allocation(
        self,
        own_name: str,
        peer_loads: Mapping[str, LoadsByTeam],
        team_rules: Mapping[str, TeamRules],
        keeps_reserve: bool,
        clock: Clock,
    ) -> None:
        """Compute the reserve and the allocation of slots from the current loads."""
        now_s = clock.read_monotonic_s()
        self._active_teams = {
            name: team for name, team in self._active_teams.items() if team.is_active
        }
        self._weights = {name: team.weight for name, team in team_rules.items()}
        own_loads = {name: team.make_load() for name, team in self._active_teams.items()}
        loads = {**peer_loads, own_name: own_loads}
        self._reserved_slots = 0
        if keeps_reserve:
            self._reserved_slots = count_reserved_slots(
                self.targets.capacity, self._compute_mean_run_s(now_s)
            )
        capacity = self.targets.capacity - self._reserved_slots
        offset = compute_rounding_offset(clock.read_utc().timestamp())
        self.allocation = allocate_slots(own_name, loads, team_rules, capacity, offset)
        for team in self._active_teams.values():
            self._apply_allocation(team)

    def _activate(self, team: TeamQueue) -> None:
        self._active_teams[team.team] = team
        self._apply_allocation(team)

    def _apply_allocation(self, team: TeamQueue) -> None:
        quota = self.allocation.quotas.get(team.team, 0)
        entitlement = self.allocation.entitlements.get(team.team)
        running = self.allocation.urgent_running.get(team.team, 0)
        team.quota = (
            quota or self._weights.get(team.team, 1) * self.allocation.default_quota_per_weight
        )
        team.urgent_allowed = entitlement is None or running < max(1, entitlement)

    def _compute_mean_run_s(self, now_s: float) -> float:
        """Return the mean run time that corresponds to the current rate of completions."""
        services = [
            (team.running, team.get_service_time(now_s)) for team in self._active_teams.values()
        ]
        known = [(running, service.mean_s) for running, service in services if service.trusted]
        completions_per_s = sum(running / mean_s for running, mean_s in known if mean_s > 0)
        if not completions_per_s:
            return max((mean_s for _, mean_s in known), default=0)
        return sum(running for running, _ in known) / completions_per_s
