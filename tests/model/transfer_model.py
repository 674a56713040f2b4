"""Model of transfers, recording and reclaiming for the model checker.

The entries A and B trade the units of a ceiling. A third entry fences them, reclaims their units,
takes free units and uses all that it has. The end of a session is a step here; `fence_model` shows
that a fence can't overlap a valid session. A message carries a running total, so a late, repeated
or lost message is the same as a delivery at any later time. No step is ever forced: an entry that
is frozen and a store that is down simply take no step. Random walks at larger sizes supplement the
full search.
"""

import enum
from collections.abc import Iterator
from dataclasses import replace
from typing import NamedTuple

from minicheck import Protocol

from comfreywind.decisions.portions.holder_name import is_settled
from comfreywind.decisions.portions.ledger import Ledger
from comfreywind.decisions.portions.ledger_changes import (
    apply_row,
    count_held_units,
    give_units,
    list_flows_with,
    receive_units,
    record_flows,
    start_write,
)
from comfreywind.decisions.portions.portion_row import PortionRow
from comfreywind.decisions.portions.row_changes import (
    allocate_free_units,
    finish_reclaim,
    mentions_holder,
    return_units,
    settle_holder,
)
from comfreywind.decisions.portions.totals import NumberMap, get_number

NAMES = ('a@1', 'b@1')
THIRD = 'c@1'


class Removed(enum.Enum):
    """A protection that the model leaves out, to show that the checker finds the fault."""

    NOTHING = 'nothing'
    COMMITMENT = 'the stop of trade with a holder whose fence was agreed to'
    RETURN_HOLD = 'the hold on units whose return has an unknown outcome'
    REPORTED_FLOWS = 'the flows in the fence replies'


class EntryState(NamedTuple):
    """State of one trading entry.

    `sent_row` is a write on its way to the store, conditional on `sent_version`. `committed` tells
    that the entry agreed to the fence of its peer; `agreed_flows` are the flows that the peer
    reported when it agreed to the fence of this entry. `covers_peer` tells that the peer was fenced
    before this entry's units were settled, so that the wait for these units also covers the work of
    the peer.
    """

    ledger: Ledger
    used: int = 0
    valid: bool = True
    fenced: bool = False
    covers_peer: bool = False
    committed: bool = False
    agreed_flows: NumberMap | None = None
    sent_row: PortionRow | None = None
    sent_version: int = 0


class TransferState(NamedTuple):
    """State of both entries, and the portion row with its version."""

    a: EntryState
    b: EntryState
    row: PortionRow
    version: int = 1


Step = tuple[str, TransferState]


def make_transfer_protocol(
    ceiling: int, trade_limit: int, removed: Removed = Removed.NOTHING
) -> Protocol:
    """Return the model; each entry gives the other at most `trade_limit` units in all."""
    row = PortionRow(ceiling, 1, recorded=(('a@1', ceiling),))
    entries = [EntryState(Ledger(name, row, 1)) for name in NAMES]
    return Protocol(
        name=f'transfer without {removed.value}',
        candidate=False,
        fields=TransferState._fields,
        initial=TransferState(entries[0], entries[1], row),
        transitions=lambda state: [
            (label, rank_versions(after))
            for label, after in list_steps(TransferState(*state), trade_limit, removed)
        ],
        invariants={
            'running work never exceeds the ceiling': lambda state: count_running(state) <= ceiling,
            'no unit is counted twice': lambda state: count_units(state) <= ceiling,
        },
        goal=lambda state: get_number(state['row'].recorded, THIRD) == ceiling,
    )


def count_running(state: dict[str, object]) -> int:
    """Return the number of units that running work uses."""
    return state['a'].used + state['b'].used + int(get_number(state['row'].recorded, THIRD))


def count_units(state: dict[str, object]) -> int:
    """Return the number of units that some entry may use, now or after they were reclaimed."""
    units = int(get_number(state['row'].recorded, THIRD))
    units += sum(reclaim.units for reclaim in state['row'].reclaiming)
    entries = [entry for entry in (state['a'], state['b']) if not entry.fenced]
    return units + sum(max(0, count_held_units(entry.ledger)) for entry in entries)


def list_steps(state: TransferState, trade_limit: int, removed: Removed) -> Iterator[Step]:
    """Yield all steps that are possible."""
    for index in (0, 1):
        for label, entry in _list_own_steps(state, index, trade_limit, removed):
            yield f'{NAMES[index]} {label}', _replace_entry(state, index, entry)
        yield from _list_shared_steps(state, index, removed)
    if state.row.free_units > 0:
        yield (
            'third takes a free unit',
            _replace_row(state, allocate_free_units(state.row, THIRD, 1)),
        )


def _list_own_steps(
    state: TransferState, index: int, trade_limit: int, removed: Removed
) -> Iterator[tuple[str, EntryState]]:
    entry, peer = state[index], state[1 - index]
    ledger = entry.ledger
    if entry.fenced:
        return
    if entry.used:
        yield 'ends work', entry._replace(used=entry.used - 1)
    if entry.valid:
        yield 'loses its session', entry._replace(valid=False)
    elif entry.agreed_flows is None:
        yield 'extends its session', entry._replace(valid=True)
    if ledger.row_version != state.version:
        seen = apply_row(ledger, state.row, state.version)
        yield 'sees the row', entry._replace(ledger=seen)
    if entry.valid:
        yield from _list_writes(entry)
        yield from _list_valid_steps(entry, peer, trade_limit, removed)


def _list_valid_steps(
    entry: EntryState, peer: EntryState, trade_limit: int, removed: Removed
) -> Iterator[tuple[str, EntryState]]:
    ledger = entry.ledger
    may_trade = removed is Removed.COMMITMENT or not entry.committed
    total = int(get_number(peer.ledger.given, ledger.holder))
    if may_trade and total > get_number(ledger.received, peer.ledger.holder):
        received = receive_units(ledger, peer.ledger.holder, total)
        if received != ledger:
            yield 'receives units', entry._replace(ledger=received)
    if removed is Removed.RETURN_HOLD and ledger.returning_units:
        given_up = replace(ledger, returning_units=0, pending_version=None)
        yield 'gives up a write', entry._replace(ledger=given_up)
    if count_held_units(ledger) <= entry.used:
        return
    yield 'starts work', entry._replace(used=entry.used + 1)
    if may_trade and get_number(ledger.given, peer.ledger.holder) < trade_limit:
        yield 'gives a unit', entry._replace(ledger=give_units(ledger, peer.ledger.holder, 1))


def _list_writes(entry: EntryState) -> Iterator[tuple[str, EntryState]]:
    ledger = entry.ledger
    if ledger.pending_version is not None or entry.sent_row is not None:
        return
    recorded = record_flows(ledger)
    if recorded != ledger.row:
        yield 'records', _send_write(entry, recorded, 0)
    taken = allocate_free_units(recorded, ledger.holder, 1)
    if taken != recorded and ledger.holder == NAMES[1]:
        yield 'takes', _send_write(entry, taken, 0)
    if count_held_units(ledger) > entry.used and ledger.holder == NAMES[0]:
        yield 'returns', _send_write(entry, return_units(recorded, ledger.holder, 1), 1)


def _send_write(entry: EntryState, row: PortionRow, returning: int) -> EntryState:
    started = start_write(entry.ledger, returning)
    return entry._replace(ledger=started, sent_row=row, sent_version=entry.ledger.row_version)


def _list_shared_steps(state: TransferState, index: int, removed: Removed) -> Iterator[Step]:
    entry, peer = state[index], state[1 - index]
    name = NAMES[index]
    if entry.sent_row is not None:
        after = _replace_entry(state, index, entry._replace(sent_row=None, sent_version=0))
        if entry.sent_version == state.version:
            yield f'store applies write of {name}', _replace_row(after, entry.sent_row)
        else:
            yield f'store refuses write of {name}', after
    if not entry.valid and not entry.fenced:
        yield from _list_fence_steps(state, index, removed)
    if entry.fenced:
        yield from _list_reclaim_steps(state, index)
    if entry.agreed_flows is not None and not entry.fenced:
        renewed = _replace_entry(state, index, entry._replace(agreed_flows=None, valid=True))
        lifted = _replace_entry(renewed, 1 - index, peer._replace(committed=False))
        yield f'{name} renews, the agreement ends', lifted


def _list_fence_steps(state: TransferState, index: int, removed: Removed) -> Iterator[Step]:
    entry, peer = state[index], state[1 - index]
    name = NAMES[index]
    if peer.fenced:
        yield f'third fences {name}', _replace_entry(state, index, entry._replace(fenced=True))
    elif not peer.committed:
        flows = list_flows_with(peer.ledger, name)
        if removed is Removed.REPORTED_FLOWS:
            flows = ()
        agreed = _replace_entry(state, 1 - index, peer._replace(committed=True))
        yield (
            f'peer agrees to fence {name}',
            _replace_entry(agreed, index, entry._replace(agreed_flows=flows)),
        )
    elif entry.agreed_flows is not None:
        yield f'third fences {name}', _replace_entry(state, index, entry._replace(fenced=True))


def _list_reclaim_steps(state: TransferState, index: int) -> Iterator[Step]:
    entry = state[index]
    name = NAMES[index]
    if not is_settled(state.row.settled, name) or mentions_holder(state.row, name):
        row = settle_holder(state.row, name, entry.agreed_flows or (), 1)
        settled = _replace_entry(state, index, entry._replace(covers_peer=state[1 - index].fenced))
        yield f'third settles {name}', _replace_row(settled, row)
    for reclaim in state.row.reclaiming:
        if reclaim.holder == name:
            # After the wait, all work that the holder had started has ended.
            ended = _replace_entry(state, index, entry._replace(used=0))
            if entry.covers_peer:
                ended = _replace_entry(ended, 1 - index, state[1 - index]._replace(used=0))
            row = finish_reclaim(state.row, reclaim)
            yield f'third ends reclaim of {name}', _replace_row(ended, row)
    if entry.used and is_settled(state.row.settled, name) and not state.row.reclaiming:
        yield f'work of {name} ends', _replace_entry(state, index, entry._replace(used=0))


def _replace_entry(state: TransferState, index: int, entry: EntryState) -> TransferState:
    return state._replace(a=entry) if index == 0 else state._replace(b=entry)


def _replace_row(state: TransferState, row: PortionRow) -> TransferState:
    return state._replace(row=row, version=state.version + 1)


def rank_versions(state: TransferState) -> TransferState:
    """Replace the versions by their ranks; only their order matters, so fewer states differ."""
    versions = {state.version}
    for entry in (state.a, state.b):
        versions |= {entry.ledger.row_version, entry.ledger.pending_version, entry.sent_version}
    ranks = {version: rank for rank, version in enumerate(sorted(versions - {None, 0}), 1)}
    ranks |= {None: None, 0: 0}
    return state._replace(
        a=_rank_entry(state.a, ranks), b=_rank_entry(state.b, ranks), version=ranks[state.version]
    )


def _rank_entry(entry: EntryState, ranks: dict[int | None, int | None]) -> EntryState:
    if entry.fenced:
        # A fenced entry makes no more decisions; only its messages and its write may still arrive.
        ledger = Ledger(entry.ledger.holder, given=entry.ledger.given)
        return entry._replace(ledger=ledger, sent_version=ranks[entry.sent_version])
    ledger = replace(
        entry.ledger,
        row_version=ranks[entry.ledger.row_version],
        pending_version=ranks[entry.ledger.pending_version],
    )
    return entry._replace(ledger=ledger, sent_version=ranks[entry.sent_version])
