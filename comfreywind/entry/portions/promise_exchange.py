"""Extends sessions by promises between members while the store can't be reached."""

import itertools
import logging

from comfreywind.clock import Clock
from comfreywind.decisions.portions.session_effects import GrantPromise
from comfreywind.decisions.portions.session_events import PromiseReceived, PromiseRequested
from comfreywind.entry.portions.portion_book import PortionBook
from comfreywind.entry.portions.portion_view import PortionView
from comfreywind.peers.messages.promise_grant import PromiseGrant
from comfreywind.peers.messages.promise_refusal import PromiseRefusal
from comfreywind.peers.messages.promise_request import PromiseRequest
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.settings.timings import Timings

# One promise extends the session; more peers are asked in case some of them are lost as well.
PEERS_PER_REQUEST = 3

log = logging.getLogger('comfreywind.portions')


class PromiseExchange:
    """Requests promises when at most half of the session is left, and answers requests of peers.

    A member that gives a promise agrees to no fence of the holder while the promise lasts.
    """

    def __init__(
        self,
        hub: PeerHub,
        view: PortionView,
        book: PortionBook,
        clock: Clock,
        timings: Timings,
    ) -> None:
        """Subscribe to the promise messages of peers."""
        self._hub = hub
        self._view = view
        self._book = book
        self._clock = clock
        self._session_ttl_s = timings.session_ttl_s
        self._request_numbers = itertools.count(1)
        self._requested_times_s: dict[int, float] = {}
        hub.subscribe(PromiseRequest, self._receive_request)
        hub.subscribe(PromiseGrant, self._receive_grant)
        hub.subscribe(PromiseRefusal, self._receive_refusal)

    def tick(self) -> None:
        """Request promises from some peers if half of the session has passed without an extension.

        Each call starts with another peer, so that peers that don't answer are passed over.
        """
        session_state = self._book.session_state
        if session_state is None or session_state.fenced or self._book.leaving:
            return
        if self._book.read_session_left_s() > self._session_ttl_s / 2:
            return
        now_s = self._clock.read_monotonic_s()
        self._requested_times_s = {
            number: requested_s
            for number, requested_s in self._requested_times_s.items()
            if requested_s > now_s - self._session_ttl_s
        }
        number = next(self._request_numbers)
        self._requested_times_s[number] = now_s
        request = PromiseRequest(session_state.holder, session_state.renewal_number, number)
        peers = self._hub.list_alive()
        for offset in range(min(PEERS_PER_REQUEST, len(peers))):
            self._hub.send(peers[(number + offset) % len(peers)].name, request)

    def _receive_request(self, sender: PeerIdentity, request: PromiseRequest) -> None:
        if self._book.leaving:
            return
        event = PromiseRequested(
            request.holder,
            request.renewal_number,
            self._clock.read_monotonic_s(),
            self._view.are_both_live(self._book.holder, request.holder),
        )
        effects = self._book.apply(event)
        if effects == (GrantPromise(request.holder),):
            self._hub.send(sender.name, PromiseGrant(request.holder, request.request_number))
        else:
            self._hub.send(sender.name, PromiseRefusal(request.holder, request.request_number))

    def _receive_grant(self, sender: PeerIdentity, grant: PromiseGrant) -> None:
        requested_s = self._requested_times_s.get(grant.request_number)
        if requested_s is None or grant.holder != self._book.holder:
            return
        self._book.apply(PromiseReceived(requested_s))

    def _receive_refusal(self, sender: PeerIdentity, refusal: PromiseRefusal) -> None:
        log.debug('%s refused to promise an extension of the session', sender.name)
