"""Exchanges accepted bundles, keys and views between entries, also while the store is down."""

import logging
from dataclasses import asdict

from comfreywind.clock import Clock
from comfreywind.decisions.freshness import (
    compute_confirmed_s,
    count_needed_reports,
    list_view_sources,
)
from comfreywind.decisions.keys import TeamKey
from comfreywind.decisions.own_view import OwnView
from comfreywind.decisions.peer_report import PeerReport
from comfreywind.decisions.view_summary import ViewSummary
from comfreywind.entry.bundle_loading import JSON_ERRORS, apply_offer
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.rules_view import RulesView
from comfreywind.entry.view_parts import make_view_messages, parse_keys, parse_rows, parse_vms
from comfreywind.errors import PeerError
from comfreywind.peers.messages.bundle_offer import BundleOffer
from comfreywind.peers.messages.heartbeat import Heartbeat
from comfreywind.peers.messages.key_change import KeyChange
from comfreywind.peers.messages.key_list import KeyList
from comfreywind.peers.messages.view_request import ViewRequest
from comfreywind.peers.messages.vm_list import VmList
from comfreywind.peers.messages.vm_row_list import VmRowList
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.platform.row import Row
from comfreywind.platform.table_names import TABLE_VMS
from comfreywind.platform.vm_entry import VmEntry
from comfreywind.settings.timings import Timings

# A last read of the change feed older than this many poll intervals means that two polls failed.
OVERDUE_POLL_INTERVALS = 2.5
VIEW_REQUEST_INTERVAL_S = 0.25
VM_LIST_REQUEST_INTERVAL_S = 3.0
MERGED_DIGESTS_LIMIT = 64
OWN_REPORT_NAME = ''
# Over ten times the VMs of the target size; bounds the memory that a faulty peer can claim here.
VM_LIST_LIMIT = 100_000

log = logging.getLogger('comfreywind.propagation')


class Propagation:
    """Forwards changes to the peers, and keeps the view fresh by peers while the store is down.

    Changes also arrive by the change feed; forwarding them makes them apply sooner. While the
    feed can't be read, heartbeats of the peers show what this entry lacks and confirm its view.
    """

    def __init__(
        self,
        hub: PeerHub,
        rules_view: RulesView,
        fleet_view: FleetView,
        clock: Clock,
        timings: Timings,
        push: bool = True,
    ) -> None:
        """Subscribe to the messages; without `push`, changes are not sent to the peers directly."""
        self._hub = hub
        self._rules_view = rules_view
        self._fleet_view = fleet_view
        self._clock = clock
        self._timings = timings
        self._push = push
        self._merged_key_digests: dict[int, None] = {}
        self._merged_vm_digests: dict[int, None] = {}
        self._view_requested_s = float('-inf')
        self._view_requests_count = 0
        self._vm_list_requested_s = float('-inf')
        self._incoming_vms: list[VmEntry] = []
        hub.subscribe(BundleOffer, self._receive_offer)
        hub.subscribe(KeyChange, self._receive_key_change)
        hub.subscribe(ViewRequest, self._receive_view_request)
        hub.subscribe(KeyList, self._receive_key_list)
        hub.subscribe(VmRowList, self._receive_row_list)
        hub.subscribe(VmList, self._receive_vm_list)
        hub.subscribe(Heartbeat, self._receive_heartbeat)

    def announce_bundle(self, offer: BundleOffer) -> None:
        """Put a newly accepted bundle version into force here and send it to the peers."""
        apply_offer(self._rules_view, offer)
        self._forward(offer)

    def announce_key(self, key: TeamKey) -> None:
        """Apply a key that was just granted or withdrawn and send it to the peers."""
        self._rules_view.apply_key(key)
        self._forward(KeyChange(**asdict(key)))

    def _forward(self, message: BundleOffer | KeyChange, sender: str = '') -> None:
        if self._push:
            self._hub.broadcast(message, excluded=sender)
            self._hub.send_heartbeats()

    def _receive_offer(self, sender: PeerIdentity, offer: BundleOffer) -> None:
        if apply_offer(self._rules_view, offer):
            log.info('received from peer %s: bundle version %d', sender.name, offer.version)
            self._forward(offer, sender.name)

    def _receive_key_change(self, sender: PeerIdentity, change: KeyChange) -> None:
        if self._rules_view.apply_key(TeamKey(**asdict(change))):
            self._forward(change, sender.name)

    def _receive_view_request(self, sender: PeerIdentity, request: ViewRequest) -> None:
        for message in make_view_messages(request, self._rules_view, self._fleet_view):
            if not self._hub.send(sender.name, message):
                return

    def _receive_key_list(self, sender: PeerIdentity, message: KeyList) -> None:
        for key in parse_keys(message):
            self._rules_view.apply_key(key)
        _add_digest(self._merged_key_digests, message.keys_digest)

    def _receive_row_list(self, sender: PeerIdentity, message: VmRowList) -> None:
        self._fleet_view.apply_vm_rows(_parse_rows(message))
        _add_digest(self._merged_vm_digests, message.vms_digest)

    def _receive_vm_list(self, sender: PeerIdentity, message: VmList) -> None:
        if message.first or len(self._incoming_vms) > VM_LIST_LIMIT:
            self._incoming_vms = []
        self._incoming_vms.extend(_parse_vms(message))
        if message.last and self._is_store_read_overdue():
            self._fleet_view.apply_vm_list(self._incoming_vms)

    def _receive_heartbeat(self, sender: PeerIdentity, heartbeat: Heartbeat) -> None:
        self._rules_view.record_accepted_version(heartbeat.accepted_version)
        if self._is_store_read_overdue():
            self._update_from_heartbeat(sender, heartbeat)

    def _is_store_read_overdue(self) -> bool:
        limit_s = OVERDUE_POLL_INTERVALS * self._timings.feed_interval_s
        return self._rules_view.read_store_age_s() > limit_s

    def _update_from_heartbeat(self, sender: PeerIdentity, heartbeat: Heartbeat) -> None:
        members = self._hub.list_members()
        own = self._summarize_own_view()
        reports = self._list_reports(own)
        self._request_view(own, reports)
        self._request_vm_list(sender, heartbeat)
        if own.covers(_make_summary(heartbeat)):
            self._advance_view_sequence(heartbeat)
        confirmed_s = compute_confirmed_s(
            own,
            reports,
            count_needed_reports(len(members) + 1, self._rules_view.is_cold()),
            self._clock.read_monotonic_s() - self._timings.fresh_s,
        )
        if confirmed_s is not None:
            self._rules_view.record_peer_confirmation(confirmed_s)

    def _advance_view_sequence(self, heartbeat: Heartbeat) -> None:
        self._rules_view.view_sequence = max(self._rules_view.view_sequence, heartbeat.sequence)

    def _list_reports(self, own: OwnView) -> list[PeerReport]:
        members = self._hub.list_members()
        reports = [
            PeerReport(
                state.identity.name,
                state.echoed_sent_s - state.heartbeat.attempt_age_s,
                _make_summary(state.heartbeat),
            )
            for state in self._hub.list_states()
            if state.heartbeat is not None and state.identity.name in members
        ]
        if self._rules_view.is_cold():
            return reports
        attempted_s = self._clock.read_monotonic_s() - self._rules_view.read_attempt_age_s()
        return [*reports, PeerReport(OWN_REPORT_NAME, attempted_s, own.summary)]

    def _summarize_own_view(self) -> OwnView:
        rules_view = self._rules_view
        return OwnView(
            ViewSummary(
                rules_view.read_version(), rules_view.keys_digest, self._fleet_view.rows_digest
            ),
            rules_view.accepted_version,
            frozenset(self._merged_key_digests),
            frozenset(self._merged_vm_digests),
        )

    def _request_view(self, own: OwnView, reports: list[PeerReport]) -> None:
        now_s = self._clock.read_monotonic_s()
        sources = list_view_sources(own, reports)
        if not sources or now_s - self._view_requested_s < VIEW_REQUEST_INTERVAL_S:
            return
        self._view_requested_s = now_s
        # Requests rotate over the peers, because one that is frozen would never answer.
        source = sources[self._view_requests_count % len(sources)]
        self._view_requests_count += 1
        self._send_request(source, wants_vm_list=False)

    def _request_vm_list(self, sender: PeerIdentity, heartbeat: Heartbeat) -> None:
        """Request the VM list from a peer that still reads the store.

        While this entry has no VM list at all, it requests the list from any peer.
        """
        now_s = self._clock.read_monotonic_s()
        reads_platform = (
            heartbeat.store_age_s < OVERDUE_POLL_INTERVALS * self._timings.feed_interval_s
        )
        should_request = reads_platform or not self._fleet_view.list_vms()
        if should_request and now_s - self._vm_list_requested_s >= VM_LIST_REQUEST_INTERVAL_S:
            self._vm_list_requested_s = now_s
            self._send_request(sender.name, wants_vm_list=True)

    def _send_request(self, peer_name: str, wants_vm_list: bool) -> None:
        summary = self._summarize_own_view().summary
        request = ViewRequest(
            summary.bundle_version, summary.keys_digest, summary.vms_digest, wants_vm_list
        )
        self._hub.send(peer_name, request)


def _make_summary(heartbeat: Heartbeat) -> ViewSummary:
    return ViewSummary(heartbeat.bundle_version, heartbeat.keys_digest, heartbeat.vms_digest)


def _add_digest(digests: dict[int, None], digest: int | None) -> None:
    if digest is None:
        return
    digests[digest] = None
    if len(digests) > MERGED_DIGESTS_LIMIT:
        digests.pop(next(iter(digests)))


def _parse_rows(message: VmRowList) -> list[Row]:
    try:
        return list(parse_rows(message, TABLE_VMS))
    except JSON_ERRORS as error:
        raise PeerError(f'malformed value in the rows of a VmRowList: {error}') from error


def _parse_vms(message: VmList) -> list[VmEntry]:
    try:
        return list(parse_vms(message))
    except ValueError as error:
        raise PeerError(f'malformed address in the vms of a VmList: {error}') from error
