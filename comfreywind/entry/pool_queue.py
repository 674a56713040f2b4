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
    """The queues of all teams in one pool, its targets, and the plan that divides them."""

    def __init__(self, targets: TargetPool) -> None:
        """Start with nothing waiting."""
        self.targets = targets
        self.teams: dict[str, TeamQueue] = {}
        self.plan = SlotAllocation()
        self.running = 0
        # Teams with running or waiting requests; the others cost nothing in a plan or a report.
        self._active: dict[str, TeamQueue] = {}
        self._weights: dict[str, float] = {}
        self._with_waiting: dict[str, TeamQueue] = {}
        self._virtual_time_s: float = 0
        self._reserved_slots = 0

    @property
    def is_active(self) -> bool:
        """Return whether some team has or had requests since the last plan."""
        return len(self._active) > 0

    def find_team(self, team: str) -> TeamQueue:
        """Return the queue of the team, made when it is first needed."""
        team_queue = self.teams.get(team)
        if team_queue is None:
            team_queue = TeamQueue(team)
            self.teams[team] = team_queue
        return team_queue

    def list_candidates(self) -> Iterator[TeamQueue]:
        """Return the teams with waiting requests that do not lack a unit."""
        return (team for team in self._with_waiting.values() if not team.lacks_unit)

    def list_waiting(self) -> list[Waiter]:
        """Return all waiting requests."""
        lanes = [lane for team in self.teams.values() for lane in (team.urgent, team.normal)]
        return [waiter for lane in lanes for waiter in lane.peek(len(lane))]

    def add(self, waiter: Waiter) -> None:
        """Add a waiting request."""
        team_queue = self.find_team(waiter.ticket.team)
        if team_queue.team not in self._active:
            self._activate(team_queue)
        if not team_queue.waiting:
            team_queue.catch_up(self._virtual_time_s)
            self._with_waiting[team_queue.team] = team_queue
        team_queue.add(waiter)

    def remove(self, waiter: Waiter) -> bool:
        """Remove a request and return whether it was waiting."""
        team_queue = self.find_team(waiter.ticket.team)
        removed = team_queue.remove(waiter)
        if not team_queue.waiting:
            self._with_waiting.pop(team_queue.team, None)
        return removed

    def note_start(self, team_queue: TeamQueue, urgent: bool) -> float:
        """Count a start and return the run time in seconds that was charged for it."""
        self.running += 1
        if not urgent:
            self._virtual_time_s = max(self._virtual_time_s, team_queue.virtual_time_s)
        return team_queue.start(urgent)

    def note_finish(self, placement: Placement, now_s: float) -> None:
        """Count the end of a run."""
        self.running -= 1
        self.find_team(placement.team).finish(placement, now_s)
        self.targets.free(placement.target.name)

    def undo_start(self, placement: Placement, full_until_s: float) -> None:
        """Count a start as not made, because the target stated that it is full."""
        self.running -= 1
        self.find_team(placement.team).undo_start(placement)
        self.targets.undo_take(placement.target.name, full_until_s)

    def mark_unit_available(self, team: str) -> bool:
        """Note that the team may have a unit again; return whether it had lacked one."""
        team_queue = self.teams.get(team)
        if team_queue is None or not team_queue.lacks_unit:
            return False
        team_queue.lacks_unit = False
        team_queue.catch_up(self._virtual_time_s)
        return True

    def make_room(self) -> PoolCapacity:
        """Return the figures that decide where the next request may go."""
        return PoolCapacity(
            running=self.running,
            quota_slots=self.plan.slots,
            free_slots=self.targets.free_slots,
            reserved_slots=self._reserved_slots,
            urgent_ready_at_peers=self.plan.urgent_ready_at_peers,
            peers_below_quota=self.plan.peers_below_quota,
        )

    def make_loads(self) -> dict[str, tuple[int, ...]]:
        """Return the load of each team that has any, as it is reported to peers."""
        loads = {name: team.make_load() for name, team in self._active.items()}
        return {name: load.to_counts() for name, load in loads.items() if load.demand}

    def renew_plan(
        self,
        own_name: str,
        peer_loads: Mapping[str, LoadsByTeam],
        team_rules: Mapping[str, TeamRules],
        keeps_reserve: bool,
        clock: Clock,
    ) -> None:
        """Make the plan from the current loads."""
        now_s = clock.read_monotonic_s()
        self._active = {name: team for name, team in self._active.items() if team.is_active}
        self._weights = {name: team.weight for name, team in team_rules.items()}
        own_loads = {name: team.make_load() for name, team in self._active.items()}
        loads = {**peer_loads, own_name: own_loads}
        self._reserved_slots = 0
        if keeps_reserve:
            self._reserved_slots = count_reserved_slots(
                self.targets.capacity, self._read_mean_run_s(now_s)
            )
        capacity = self.targets.capacity - self._reserved_slots
        offset = compute_rounding_offset(clock.read_utc().timestamp())
        self.plan = allocate_slots(own_name, loads, team_rules, capacity, offset)
        for team in self._active.values():
            self._apply_plan(team)

    def _activate(self, team: TeamQueue) -> None:
        self._active[team.team] = team
        self._apply_plan(team)

    def _apply_plan(self, team: TeamQueue) -> None:
        quota = self.plan.quotas.get(team.team, 0)
        entitlement = self.plan.entitlements.get(team.team)
        running = self.plan.urgent_running.get(team.team, 0)
        team.quota = quota or self._weights.get(team.team, 1) * self.plan.default_quota_per_weight
        team.urgent_allowed = entitlement is None or running < max(1, entitlement)

    def _read_mean_run_s(self, now_s: float) -> float:
        """Return the mean run time at which the running work ends as often as it does now."""
        services = [(team.running, team.read_service(now_s)) for team in self._active.values()]
        known = [(running, service.mean_s) for running, service in services if service.trusted]
        ends_per_s = sum(running / mean_s for running, mean_s in known if mean_s > 0)
        if not ends_per_s:
            return max((mean_s for _, mean_s in known), default=0)
        return sum(running for running, _ in known) / ends_per_s
