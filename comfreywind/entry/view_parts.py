"""Encodes a view as messages of bounded size for a peer that lacks some of it."""

import json
from collections.abc import Iterator
from itertools import islice
from typing import TypeVar

from comfreywind.decisions.keys import TeamKey
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.rules_view import RulesView
from comfreywind.peers.messages.key_list import KeyList
from comfreywind.peers.messages.view_request import ViewRequest
from comfreywind.peers.messages.vm_list import VmList
from comfreywind.peers.messages.vm_row_list import VmRowList
from comfreywind.peers.peer_message import PeerMessage
from comfreywind.platform.row import Row
from comfreywind.platform.vm_entry import VmEntry
from comfreywind.settings.address import parse_address

# With rows of about 250 bytes, a message stays below 1 MiB.
ROWS_PER_MESSAGE = 4_000
RowType = TypeVar('RowType')


def make_view_messages(
    request: ViewRequest, rules_view: RulesView, fleet_view: FleetView
) -> Iterator[PeerMessage]:
    """Yield what the sender of the request lacks, and the VM list if it wants that."""
    offer = rules_view.offer
    if offer is not None and offer.version > request.bundle_version:
        yield offer
    if request.keys_digest != rules_view.keys_digest:
        yield from _make_key_lists(rules_view)
    if request.vms_digest != fleet_view.rows_digest:
        yield from _make_vm_row_lists(fleet_view)
    if request.wants_vm_list:
        yield from _make_vm_lists(fleet_view)


def parse_keys(message: KeyList) -> Iterator[TeamKey]:
    """Yield the keys in a message."""
    return (TeamKey(*fields) for fields in message.keys)


def parse_rows(message: VmRowList, table: str) -> Iterator[Row]:
    """Yield the rows in a message; raise ValueError for a value that is not JSON."""
    for key, version, value_text in message.rows:
        yield Row(table, key, version, json.loads(value_text))


def parse_vms(message: VmList) -> Iterator[VmEntry]:
    """Yield the VMs in a message; raise ValueError for a malformed address."""
    for name, address, data_centre, rack, pool, state, incarnation in message.vms:
        yield VmEntry(
            name=name,
            address=parse_address(address),
            data_centre=data_centre,
            rack=rack,
            pool=pool,
            state='leaving' if state == 'leaving' else 'live',
            incarnation=incarnation,
        )


def _make_key_lists(rules_view: RulesView) -> Iterator[KeyList]:
    rows = [
        (key.key_id, key.team, key.secret_sha256, key.withdrawn, key.row_version)
        for key in rules_view.keys.values()
    ]
    for chunk, last in _split(rows):
        yield KeyList(chunk, rules_view.keys_digest if last else None)


def _make_vm_row_lists(fleet_view: FleetView) -> Iterator[VmRowList]:
    rows = [(row.key, row.version, json.dumps(row.value)) for row in fleet_view.list_rows()]
    for chunk, last in _split(rows):
        yield VmRowList(chunk, fleet_view.rows_digest if last else None)


def _make_vm_lists(fleet_view: FleetView) -> Iterator[VmList]:
    rows = [
        (vm.name, str(vm.address), vm.data_centre, vm.rack, vm.pool, vm.state, vm.incarnation)
        for vm in fleet_view.list_vms()
    ]
    first = True
    for chunk, last in _split(rows):
        yield VmList(chunk, first, last)
        first = False


def _split(rows: list[RowType]) -> Iterator[tuple[tuple[RowType, ...], bool]]:
    """Yield chunks of at most `ROWS_PER_MESSAGE` rows, at least one, each with an is-last flag."""
    remaining = iter(rows)
    chunk = tuple(islice(remaining, ROWS_PER_MESSAGE))
    while True:
        next_chunk = tuple(islice(remaining, ROWS_PER_MESSAGE))
        yield chunk, not next_chunk
        if not next_chunk:
            return
        chunk = next_chunk
