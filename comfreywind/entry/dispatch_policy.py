"""Policies that decide which waiting request starts where."""

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
    """Order of starts, choice of targets, and whether requests are refused early."""

    refuses_early: bool
    keeps_reserve: bool

    def choose_team(self, candidates: Iterable[TeamQueue]) -> TeamQueue | None:
        """Return the team whose request starts next, or None without candidates."""

    def choose_lane(self, team: TeamQueue) -> Lane:
        """Return the lane of the team that goes first."""

    def choose_target(self, pool: PoolQueue, urgent: bool, ticket: Ticket) -> VmEntry | None:
        """Return the target for a request, or None when it has to wait."""


class SharesPolicy:
    """Fair shares, urgent work first, the less loaded of two random targets."""

    refuses_early = True
    keeps_reserve = True

    def choose_team(self, candidates: Iterable[TeamQueue]) -> TeamQueue | None:
        """Return the team furthest below its entitlement."""
        return choose_team(candidates)

    def choose_lane(self, team: TeamQueue) -> Lane:
        """Return the urgent lane when it is not empty."""
        return team.urgent if len(team.urgent) else team.normal

    def choose_target(self, pool: PoolQueue, urgent: bool, ticket: Ticket) -> VmEntry | None:
        """Return the less loaded of two random targets with room."""
        rule = decide_capacity_rule(pool.make_room(), urgent)
        return None if rule is CapacityRule.NONE else pool.targets.choose(rule, ticket)


class NaivePolicy:
    """First in, first out over all teams and any target; the baseline of the bench."""

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
        """Return a random target to which this entry has less outstanding than its slots."""
        return pool.targets.choose_blindly(ticket)


def make_policy(name: str) -> DispatchPolicy:
    """Return the policy that the setting `policy` names."""
    return NaivePolicy() if name == 'naive' else SharesPolicy()
