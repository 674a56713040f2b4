"""Estimates how long the work of each team of a pool takes if the teams share it by weight."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TeamBacklog:
    """The open work of a team in a pool.

    `work_s` is how long the whole pool would take for it, and `rate_limit` the part of the pool
    that the team's ceiling allows it to use.
    """

    work_s: float
    weight: float = 1
    rate_limit: float = 1


def compute_fair_waits(backlogs: Mapping[str, TeamBacklog]) -> dict[str, float]:
    """Return for each team when its present work is done, in seconds from now.

    The pool is divided by weighted max-min fairness among the teams that still have work. Until the
    work of a team is done, every other team gets its own work or its share by weight, whichever is
    less. So the wait of a team does not grow with the backlog of another beyond that share.
    """
    return {team: _compute_wait_s(backlog, backlogs) for team, backlog in backlogs.items()}


def list_teams_beyond_share(waits_s: Mapping[str, float], bearable_s: float) -> dict[str, float]:
    """Return the waits of the teams that delay others, or none while there is nobody to protect.

    A team is beyond its share if its present work takes longer than `bearable_s`. If this holds for
    every team with work, refusing some jobs only takes their value: those that can be on time go
    first anyway, and jobs without a chance go last.
    """
    beyond = {team: wait_s for team, wait_s in waits_s.items() if wait_s > bearable_s}
    return beyond if len(beyond) < len(waits_s) else {}


def _compute_wait_s(own: TeamBacklog, backlogs: Mapping[str, TeamBacklog]) -> float:
    if own.weight <= 0 or own.rate_limit <= 0:
        # A team without a share is outside the model; its wait is not known.
        return 0
    work_per_weight_s = own.work_s / own.weight
    ahead_s = sum(min(each.work_s, each.weight * work_per_weight_s) for each in backlogs.values())
    return max(ahead_s, own.work_s / own.rate_limit)
