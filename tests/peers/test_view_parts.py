"""A view is split into frames below the size limit and restored unchanged."""

from dataclasses import replace
from itertools import chain

from comfreywind.decisions.keys import TeamKey
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.rules_view import RulesView
from comfreywind.entry.view_parts import (
    ROWS_PER_MESSAGE,
    make_view_messages,
    parse_keys,
    parse_rows,
    parse_vms,
)
from comfreywind.peers.frame_reader import FRAME_HEADER
from comfreywind.peers.message_codec import MessageCodec
from comfreywind.peers.messages.key_list import KeyList
from comfreywind.peers.messages.view_request import ViewRequest
from comfreywind.peers.messages.vm_list import VmList
from comfreywind.peers.messages.vm_row_list import VmRowList
from comfreywind.peers.peer_message import PeerMessage
from comfreywind.platform.row import Row
from comfreywind.platform.vm_entry import VmEntry
from comfreywind.settings.address import Address
from tests.helpers.manual_clock import ManualClock

COUNT = 2 * ROWS_PER_MESSAGE + 1
VM_FIELDS = {'pool': 'crossings', 'state': 'draining', 'incarnation': 1, 'since_sequence': 12_345}


def test_view_round_trip() -> None:
    """All messages of a large view fit into a frame and restore the same view."""
    rules_view, fleet_view = RulesView(ManualClock(), 4), FleetView()
    for index in range(COUNT):
        rules_view.apply_key(TeamKey(f'{index:012}', 'timetables', '0' * 64, index % 2 == 0, 2))
        fields = None if index == 0 else VM_FIELDS
        fleet_view.apply_vm_rows([Row('vms', f'crossings-{index}', index + 1, fields)])
    vm = VmEntry('', Address('10.11.12.13', 65_000), 'dc-1', 'rack-1', 'crossings', 'leaving', 3)
    fleet_view.apply_vm_list([replace(vm, name=f'crossings-{index}') for index in range(COUNT)])
    parts = send_parts(ViewRequest(0, 0, 0, wants_vm_list=True), rules_view, fleet_view)
    new_rules, new_fleet = RulesView(ManualClock(), 4), FleetView()
    for key in chain.from_iterable(parse_keys(part) for part in parts if type(part) is KeyList):
        new_rules.apply_key(key)
    for row in chain.from_iterable(
        parse_rows(part, 'vms') for part in parts if type(part) is VmRowList
    ):
        new_fleet.apply_vm_rows([row])
    vms = list(chain.from_iterable(parse_vms(part) for part in parts if type(part) is VmList))
    assert new_rules.keys == rules_view.keys
    assert new_rules.keys_digest == rules_view.keys_digest
    assert new_fleet.list_rows() == fleet_view.list_rows()
    assert new_fleet.rows_digest == fleet_view.rows_digest
    assert vms == fleet_view.list_vms()


def send_parts(
    request: ViewRequest, rules_view: RulesView, fleet_view: FleetView
) -> list[PeerMessage]:
    """Return the messages of a view as the requesting peer decodes them."""
    codec = MessageCodec()
    for message_type in (KeyList, VmRowList, VmList):
        codec.add_type(message_type)
    parts = make_view_messages(request, rules_view, fleet_view)
    return [codec.decode(codec.encode(part)[FRAME_HEADER.size :]) for part in parts]


def test_nothing_for_an_equal_view() -> None:
    """Nothing is sent to a peer whose view has the same digests."""
    rules_view, fleet_view = RulesView(ManualClock(), 4), FleetView()
    rules_view.apply_key(TeamKey('a', 'timetables', '0' * 64, withdrawn=False, row_version=1))
    request = ViewRequest(0, rules_view.keys_digest, fleet_view.rows_digest, wants_vm_list=False)
    assert not list(make_view_messages(request, rules_view, fleet_view))
