"""Divides the slots of a pool among teams and entries."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from comfreywind.bundle.rules import TeamRules
from comfreywind.decisions.fair_share import ShareClaim, compute_fair_shares
from comfreywind.decisions.slot_rounding import round_to_slots
from comfreywind.decisions.team_load import TeamLoad

LoadsByTeam = Mapping[str, TeamLoad]


@dataclass(frozen=True, slots=True)
class SlotAllocation:
    """Slots that this entry may use, computed from the loads of all entries.

    `entitlements` is each team's share of the pool in slots, `quotas` this entry's share of each
    entitlement, and `slots` the sum of the quotas as a whole number. A team that had no demand when
    the slots were divided gets `default_quota_per_weight` for each unit of its weight.
    `urgent_running` is, by team, the number of running urgent requests of all entries.
    """

    entitlements: dict[str, float] = field(default_factory=dict)
    quotas: dict[str, float] = field(default_factory=dict)
    slots: int = 0
    default_quota_per_weight: float = 1
    urgent_running: dict[str, int] = field(default_factory=dict)
    urgent_ready_at_peers: int = 0
    peers_below_quota: bool = False


def allocate_slots(
    own_name: str,
    loads: Mapping[str, LoadsByTeam],
    teams: Mapping[str, TeamRules],
    capacity: float,
    rounding_offset: float,
) -> SlotAllocation:
    """Divide the `capacity` slots of a pool, given the loads of all entries by entry name.

    Every entry computes this from the same reports. As far as the reports are current, the slots of
    all entries therefore sum up to the capacity.
    """
    claims = _make_share_claims(loads, teams)
    entitlements = compute_fair_shares(capacity, claims)
    quotas_by_entry = _split_entitlements(entitlements, loads)
    entry_quotas = {entry: sum(quotas.values()) for entry, quotas in quotas_by_entry.items()}
    slots_by_entry = round_to_slots(entry_quotas, rounding_offset)
    peers = [entry for entry in loads if entry != own_name]
    total_weight = sum(team.weight for team in teams.values()) or 1
    return SlotAllocation(
        entitlements=entitlements,
        quotas=quotas_by_entry[own_name],
        slots=slots_by_entry[own_name],
        default_quota_per_weight=max(capacity, 1) / (total_weight * len(loads)),
        urgent_running=_sum_urgent_running(loads),
        urgent_ready_at_peers=sum(_sum_urgent_ready(loads[peer]) for peer in peers),
        peers_below_quota=any(_is_below_quota(loads[peer], slots_by_entry[peer]) for peer in peers),
    )


def _make_share_claims(
    loads: Mapping[str, LoadsByTeam], teams: Mapping[str, TeamRules]
) -> dict[str, ShareClaim]:
    demands: dict[str, int] = {}
    for team_loads in loads.values():
        for name, load in team_loads.items():
            demands[name] = demands.get(name, 0) + load.demand
    return {
        name: ShareClaim(teams[name].weight, min(demand, teams[name].ceiling_units))
        for name, demand in demands.items()
        if name in teams
    }


def _split_entitlements(
    entitlements: Mapping[str, float], loads: Mapping[str, LoadsByTeam]
) -> dict[str, dict[str, float]]:
    quotas: dict[str, dict[str, float]] = {entry: {} for entry in loads}
    for team, entitlement in entitlements.items():
        claims = {
            entry: ShareClaim(1, team_loads[team].demand)
            for entry, team_loads in loads.items()
            if team in team_loads
        }
        for entry, quota in compute_fair_shares(entitlement, claims).items():
            quotas[entry][team] = quota
    return quotas


def _sum_urgent_running(loads: Mapping[str, LoadsByTeam]) -> dict[str, int]:
    totals: dict[str, int] = {}
    for team_loads in loads.values():
        for name, load in team_loads.items():
            totals[name] = totals.get(name, 0) + load.urgent_running
    return totals


def _sum_urgent_ready(team_loads: LoadsByTeam) -> int:
    return sum(load.urgent_ready for load in team_loads.values())


def _is_below_quota(team_loads: LoadsByTeam, slots: int) -> bool:
    """Return whether the entry uses less than its slots and has work that lacks only a slot."""
    running = sum(load.running for load in team_loads.values())
    return running < slots and any(load.ready for load in team_loads.values())
