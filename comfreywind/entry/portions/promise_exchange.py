"""Promises between members while the store can't be reached."""

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

# One promise is enough; the others cover peers that are lost at the same time.
ASKED_PEERS = 3

log = logging.getLogger('comfreywind.portions')


class PromiseExchange:
    """Asks for promises when half of the session has passed without a renewal, and gives them."""

    def __init__(
        self,
        hub: PeerHub,
        view: PortionView,
        book: PortionBook,
        clock: Clock,
        timings: Timings,
    ) -> None:
        """Answer the requests of peers."""
        self._hub = hub
        self._view = view
        self._book = book
        self._clock = clock
        self._session_ttl_s = timings.session_ttl_s
        self._numbers = itertools.count(1)
        self._asked: dict[int, float] = {}
        hub.subscribe(PromiseRequest, self._receive_request)
        hub.subscribe(PromiseGrant, self._receive_grant)
        hub.subscribe(PromiseRefusal, self._receive_refusal)

    def tick(self) -> None:
        """Ask some peers when the session needs it."""
        session_state = self._book.session_state
        if session_state is None or session_state.fenced or self._book.leaving:
            return
        if self._book.read_session_left_s() > self._session_ttl_s / 2:
            return
        now_s = self._clock.read_monotonic_s()
        self._asked = {
            number: asked_s
            for number, asked_s in self._asked.items()
            if asked_s > now_s - self._session_ttl_s
        }
        number = next(self._numbers)
        self._asked[number] = now_s
        request = PromiseRequest(session_state.holder, session_state.renewal_number, number)
        peers = self._hub.list_alive()
        for offset in range(min(ASKED_PEERS, len(peers))):
            self._hub.send(peers[(number + offset) % len(peers)].name, request)

    def _receive_request(self, sender: PeerIdentity, request: PromiseRequest) -> None:
        if self._book.leaving:
            return
        asked = PromiseRequested(
            request.holder,
            request.renewal_number,
            self._clock.read_monotonic_s(),
            self._view.shows_both(self._book.holder, request.holder),
        )
        effects = self._book.apply(asked)
        if effects == (GrantPromise(request.holder),):
            self._hub.send(sender.name, PromiseGrant(request.holder, request.request_number))
        else:
            self._hub.send(sender.name, PromiseRefusal(request.holder, request.request_number))

    def _receive_grant(self, sender: PeerIdentity, grant: PromiseGrant) -> None:
        asked_s = self._asked.get(grant.request_number)
        if asked_s is None or grant.holder != self._book.holder:
            return
        self._book.apply(PromiseReceived(asked_s))

    def _receive_refusal(self, sender: PeerIdentity, refusal: PromiseRefusal) -> None:
        log.debug('%s refused a promise', sender.name)
