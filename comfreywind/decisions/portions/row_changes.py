"""Changes of a portion row; each is written conditionally on the version of the row."""

from dataclasses import replace

from comfreywind.decisions.portions.holder_name import is_settled, split_flow, split_holder
from comfreywind.decisions.portions.portion_row import PortionRow
from comfreywind.decisions.portions.reclaim import Reclaim
from comfreywind.decisions.portions.totals import (
    NumberMap,
    add_number,
    get_number,
    raise_number,
)


def record_flow(row: PortionRow, flow: str, total: int) -> PortionRow:
    """Return the row with the units of the flow, up to the total, moved to the receiver.

    A flow whose giver or receiver is settled is not recorded. Either it was reported and recorded
    when the giver was fenced, or its units are reclaimed with those of the giver. In that case the
    receiver had ended before, so the wait for the giver's units covers the work of the receiver.
    """
    units = total - int(get_number(row.flows, flow))
    giver, receiver = split_flow(flow)
    if units <= 0 or is_settled(row.settled, giver) or is_settled(row.settled, receiver):
        return row
    recorded = add_number(add_number(row.recorded, receiver, units), giver, -units)
    return replace(row, recorded=recorded, flows=raise_number(row.flows, flow, total))


def allocate_free_units(row: PortionRow, holder: str, wanted_units: int) -> PortionRow:
    """Return the row with free units allocated to the holder.

    The holder gets at most half of the free units, but at least one, so that some remain for other
    holders.
    """
    if row.free_units <= 0 or wanted_units <= 0:
        return row
    units = min(wanted_units, max(1, row.free_units // 2))
    return replace(row, recorded=add_number(row.recorded, holder, units))


def return_units(row: PortionRow, holder: str, units: int) -> PortionRow:
    """Return the row with some units of the holder free again."""
    return replace(row, recorded=add_number(row.recorded, holder, -units))


def set_ceiling(row: PortionRow, ceiling_units: int, bundle_version: int) -> PortionRow:
    """Return the row with the ceiling of the bundle, unless it has that of a newer bundle."""
    if bundle_version <= row.ceiling_version or ceiling_units == row.ceiling_units:
        return row
    return replace(row, ceiling_units=ceiling_units, ceiling_version=bundle_version)


def settle_holder(row: PortionRow, holder: str, flows: NumberMap, wait_s: float) -> PortionRow:
    """Return the row with the flows of a fenced holder recorded and its units being reclaimed.

    The units are negative if the holder gave away units that it had received from another lost
    member. They are then dropped, because the units still count as that member's.
    """
    for flow, total in flows:
        row = record_flow(row, flow, int(total))
    units = int(get_number(row.recorded, holder))
    name, incarnation = split_holder(holder)
    reclaiming = row.reclaiming
    if units > 0 and wait_s > 0:
        reclaiming = (*reclaiming, Reclaim(holder, units, wait_s))
    return replace(
        row,
        recorded=tuple(pair for pair in row.recorded if pair[0] != holder),
        flows=tuple(pair for pair in row.flows if holder not in split_flow(pair[0])),
        reclaiming=reclaiming,
        settled=raise_number(row.settled, name, incarnation),
    )


def finish_reclaim(row: PortionRow, reclaim: Reclaim) -> PortionRow:
    """Return the row with the reclaimed units free."""
    remaining = tuple(other for other in row.reclaiming if other != reclaim)
    return replace(row, reclaiming=remaining)


def mentions_holder(row: PortionRow, holder: str) -> bool:
    """Return whether the row records units or flows of the holder."""
    if any(name == holder for name, _ in row.recorded):
        return True
    return any(holder in split_flow(flow) for flow, _ in row.flows)
