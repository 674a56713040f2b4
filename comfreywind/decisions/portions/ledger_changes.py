"""Transitions of a ledger."""

from dataclasses import replace

from comfreywind.decisions.portions.holder_name import is_settled, make_flow, split_flow
from comfreywind.decisions.portions.ledger import Ledger
from comfreywind.decisions.portions.portion_row import PortionRow
from comfreywind.decisions.portions.row_changes import record_flow
from comfreywind.decisions.portions.totals import Totals, add_total, raise_total, read_total


def count_held_units(ledger: Ledger) -> int:
    """Return recorded + received and unrecorded - given and unrecorded - being returned."""
    if is_settled(ledger.row.settled, ledger.holder):
        return 0
    held = read_total(ledger.row.recorded, ledger.holder) - ledger.returning_units
    for flow, total in list_flows(ledger):
        unrecorded = max(0, total - read_total(ledger.row.flows, flow))
        held += unrecorded if split_flow(flow)[1] == ledger.holder else -unrecorded
    return int(held)


def is_blocked(ledger: Ledger, ceiling_units: int, bundle_version: int) -> bool:
    """Return whether no work may start because the ceiling was lowered.

    After a bundle lowered the ceiling, the sum in an older row may be out of date; it is trusted only
    when the row itself has the new ceiling, as nothing is taken under that while the sum is above.
    """
    row = ledger.row
    if bundle_version > row.ceiling_version and ceiling_units < row.ceiling_units:
        return True
    return row.free_units < 0


def see_row(ledger: Ledger, row: PortionRow, version: int) -> Ledger:
    """Return the ledger with a newer row; flows with settled holders are part of it already."""
    if version <= ledger.row_version:
        return ledger
    received = ledger.received
    for flow, total in row.flows:
        giver, receiver = split_flow(flow)
        if receiver == ledger.holder:
            received = raise_total(received, giver, total)
    seen = replace(
        ledger,
        row=row,
        row_version=version,
        given=_list_unsettled(ledger.given, row),
        received=_list_unsettled(received, row),
    )
    if ledger.pending_version is None or version <= ledger.pending_version:
        return seen
    return replace(seen, returning_units=0, pending_version=None)


def give_units(ledger: Ledger, receiver: str, units: int) -> Ledger:
    """Return the ledger after units were given; the new total goes to the receiver until it has it."""
    return replace(ledger, given=add_total(ledger.given, receiver, units))


def receive_units(ledger: Ledger, giver: str, total: int) -> Ledger:
    """Return the ledger after the giver stated its total; a repeated or older total adds nothing."""
    if is_settled(ledger.row.settled, giver):
        return ledger
    return replace(ledger, received=raise_total(ledger.received, giver, total))


def start_write(ledger: Ledger, returning_units: int) -> Ledger:
    """Return the ledger while a write on condition of the row seen is under way."""
    return replace(ledger, returning_units=returning_units, pending_version=ledger.row_version)


def clear_write(ledger: Ledger) -> Ledger:
    """Return the ledger after a write was refused for certain."""
    return replace(ledger, returning_units=0, pending_version=None)


def list_flows(ledger: Ledger) -> Totals:
    """Return all flows from and to this entry."""
    given = [(make_flow(ledger.holder, peer), total) for peer, total in ledger.given]
    received = [(make_flow(peer, ledger.holder), total) for peer, total in ledger.received]
    return tuple(sorted([*given, *received]))


def list_flows_with(ledger: Ledger, holder: str) -> Totals:
    """Return the flows between this entry and the holder, for the reply to a fence query."""
    return tuple(pair for pair in list_flows(ledger) if holder in split_flow(pair[0]))


def record_flows(ledger: Ledger) -> PortionRow:
    """Return the row with all units that this entry received or gave recorded.

    Recording only what was received would make the giver's figure negative when it had received units
    that it has not recorded yet, and overstate what has to be reclaimed from this entry.
    """
    row = ledger.row
    for flow, total in list_flows(ledger):
        row = record_flow(row, flow, int(total))
    return row


def _list_unsettled(totals: Totals, row: PortionRow) -> Totals:
    return tuple(pair for pair in totals if not is_settled(row.settled, pair[0]))
