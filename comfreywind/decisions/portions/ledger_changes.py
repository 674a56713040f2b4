"""Computations on a ledger and its state transitions."""

from dataclasses import replace

from comfreywind.decisions.portions.holder_name import is_settled, make_flow, split_flow
from comfreywind.decisions.portions.ledger import Ledger
from comfreywind.decisions.portions.portion_row import PortionRow
from comfreywind.decisions.portions.row_changes import record_flow
from comfreywind.decisions.portions.totals import (
    NumberMap,
    add_number,
    get_number,
    raise_number,
)


def count_held_units(ledger: Ledger) -> int:
    """Return the units that this entry holds.

    These are the units recorded in the row, plus those received and not yet recorded, less those
    given and not yet recorded, less those being returned.
    """
    if is_settled(ledger.row.settled, ledger.holder):
        return 0
    held = get_number(ledger.row.recorded, ledger.holder) - ledger.returning_units
    for flow, total in list_flows(ledger):
        unrecorded = max(0, total - get_number(ledger.row.flows, flow))
        held += unrecorded if split_flow(flow)[1] == ledger.holder else -unrecorded
    return int(held)


def is_blocked(ledger: Ledger, ceiling_units: int, bundle_version: int) -> bool:
    """Return whether no work may start because the ceiling was lowered.

    After a bundle has lowered the ceiling, a row that still has the old one may be out of date, and
    more units than it shows may be allocated. Its sum is trusted only when the row has the new
    ceiling: from then on no free units are allocated while the sum exceeds the ceiling.
    """
    row = ledger.row
    if bundle_version > row.ceiling_version and ceiling_units < row.ceiling_units:
        return True
    return row.free_units < 0


def apply_row(ledger: Ledger, row: PortionRow, version: int) -> Ledger:
    """Return the ledger with the row, unless a newer one is known.

    Flows with settled holders are dropped from the ledger, because the row includes them.
    """
    if version <= ledger.row_version:
        return ledger
    received = ledger.received
    for flow, total in row.flows:
        giver, receiver = split_flow(flow)
        if receiver == ledger.holder:
            received = raise_number(received, giver, total)
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
    """Return the ledger after units were given to the receiver.

    The caller sends the new total to the receiver until the receiver has confirmed it.
    """
    return replace(ledger, given=add_number(ledger.given, receiver, units))


def receive_units(ledger: Ledger, giver: str, total: int) -> Ledger:
    """Return the ledger after the giver sent its total; a repeated or older one changes nothing."""
    if is_settled(ledger.row.settled, giver):
        return ledger
    return replace(ledger, received=raise_number(ledger.received, giver, total))


def start_write(ledger: Ledger, returning_units: int) -> Ledger:
    """Return the ledger with a write pending that is conditional on the known row version."""
    return replace(ledger, returning_units=returning_units, pending_version=ledger.row_version)


def clear_pending_write(ledger: Ledger) -> Ledger:
    """Return the ledger after the pending write was certainly refused."""
    return replace(ledger, returning_units=0, pending_version=None)


def list_flows(ledger: Ledger) -> NumberMap:
    """Return the total units of all flows from and to this entry."""
    given = [(make_flow(ledger.holder, peer), total) for peer, total in ledger.given]
    received = [(make_flow(peer, ledger.holder), total) for peer, total in ledger.received]
    return tuple(sorted([*given, *received]))


def list_flows_with(ledger: Ledger, holder: str) -> NumberMap:
    """Return the flows between this entry and the holder, for the reply to a fence query."""
    return tuple(pair for pair in list_flows(ledger) if holder in split_flow(pair[0]))


def record_flows(ledger: Ledger) -> PortionRow:
    """Return the row with all flows from and to this entry recorded.

    If only received units were recorded, the giver's units would become negative when it had given
    units that it received and has not recorded yet, and more than needed would be reclaimed from
    this entry.
    """
    row = ledger.row
    for flow, total in list_flows(ledger):
        row = record_flow(row, flow, int(total))
    return row


def _list_unsettled(flows: NumberMap, row: PortionRow) -> NumberMap:
    return tuple(pair for pair in flows if not is_settled(row.settled, pair[0]))
