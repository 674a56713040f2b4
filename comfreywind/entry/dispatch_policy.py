"""Policies for the order of starts and the choice of targets."""

from collections.abc import Iterable
from typing import Protocol

from comfreywind.decisions.room_rule import CapacityRule, decide_capacity_rule
from comfreywind.decisions.start_order import choose_team
from comfreywind.entry.lane import Lane
from comfreywind.entry.pool_queue import PoolQueue
from comfreywind.entry.team_queue import TeamQueue
from comfreywind.entry.ticket import Ticket
from comfreywind.platform.vm_entry import VmEntry


class DispatchPolicy(Protocol):
    """Chooses the next request and its target.

    `refuses_early` rejects requests that are not expected to meet their deadline; `keeps_reserve`
    keeps slots free for urgent work.
    """

    refuses_early: bool
    keeps_reserve: bool

    def choose_team(self, candidates: Iterable[TeamQueue]) -> TeamQueue | None:
        """Return the team whose request starts next, or None if there are no candidates."""

    def choose_lane(self, team: TeamQueue) -> Lane:
        """Return the lane of the team that is served first."""

    def choose_target(self, pool: PoolQueue, urgent: bool, ticket: Ticket) -> VmEntry | None:
        """Return the target for a request, or None if the request has to wait."""


class SharesPolicy:
    """Weighted fair shares with priority for urgent work; targets by power of two choices."""

    refuses_early = True
    keeps_reserve = True

    def choose_team(self, candidates: Iterable[TeamQueue]) -> TeamQueue | None:
        """Return the team furthest below its entitlement."""
        return choose_team(candidates)

    def choose_lane(self, team: TeamQueue) -> Lane:
        """Return the urgent lane unless it is empty."""
        return team.urgent if len(team.urgent) else team.normal

    def choose_target(self, pool: PoolQueue, urgent: bool, ticket: Ticket) -> VmEntry | None:
        """Return the less loaded of two random targets with free capacity."""
        rule = decide_capacity_rule(pool.make_pool_capacity(), urgent)
        return None if rule is CapacityRule.NONE else pool.targets.choose(rule, ticket)


class NaivePolicy:
    """First in, first out across teams, with random targets; the baseline of the benchmarks."""

    refuses_early = False
    keeps_reserve = False

    def choose_team(self, candidates: Iterable[TeamQueue]) -> TeamQueue | None:
        """Return the team whose first request has waited longest."""
        return min(candidates, key=lambda team: team.first_number, default=None)

    def choose_lane(self, team: TeamQueue) -> Lane:
        """Return the lane whose first request has waited longest."""
        lanes = [lane for lane in (team.urgent, team.normal) if len(lane)]
        return min(lanes, key=lambda lane: next(lane.peek(1)).number)

    def choose_target(self, pool: PoolQueue, urgent: bool, ticket: Ticket) -> VmEntry | None:
        """Return a random target where this entry has fewer requests than the target has slots."""
        return pool.targets.choose_random(ticket)


def make_policy(name: str) -> DispatchPolicy:
    """Return the policy named by the setting `policy`."""
    return NaivePolicy() if name == 'naive' else SharesPolicy()
