"""Hands callers' requests over to nodes that reach the store."""

import logging
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from urllib.parse import quote

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.peer_choice import PeerReplies, choose_peers
from comfreywind.http.client import HttpClient, HttpReply
from comfreywind.intake.caller_call import CallerCall
from comfreywind.metrics import Metrics
from comfreywind.platform.store_call import CALL_FAILURES
from comfreywind.platform.wire import HEADER_DEADLINE
from comfreywind.settings.address import Address

# Leaves time to ask another node within the usual deadline of a caller.
RELAY_TIMEOUT_S = 0.8
# With this reply a node guarantees that the call had no effect, and another node may serve it. A
# job that is refused with 429 would be refused by the others as well, by the same figures.
STATUS_DECLINED = 503
# The node that was asked doesn't know whether the call had an effect.
STATUS_UNKNOWN = 504
FORWARDED_HEADERS = (b'host', b'authorization')
# A node that has kept a call for this time without a reply counts as one that gives none.
LATE_REPLY_S = 0.3
MS_PER_S = 1000

log = logging.getLogger('comfreywind.relay')


@dataclass(frozen=True, slots=True)
class RelayOutcome:
    """The reply of the node that served the call, or None when none did.

    `may_have_effect` is set when a node was asked and its reply is missing.
    """

    reply: HttpReply | None
    may_have_effect: bool


class PeerRelay:
    """Owns the connections to other nodes, and remembers which of them took calls lately.

    A job that is submitted twice is stored once, so a call without a reply is handed to the next
    node as it is.
    """

    def __init__(
        self, list_peers: Callable[[], Mapping[str, Address]], clock: Clock, metrics: Metrics
    ) -> None:
        """Use the addresses of the other nodes by name, as `list_peers` returns them."""
        self._list_peers = list_peers
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random()
        self._clients: dict[Address, HttpClient] = {}
        self._replies: dict[str, PeerReplies] = {}

    async def forward(self, call: CallerCall) -> RelayOutcome:
        """Ask other nodes one after the other until one of them serves the call."""
        peers = self._list_peers()
        may_have_effect = False
        now_s = self._clock.read_monotonic_s()
        for name in choose_peers(peers, self._replies, now_s, self._random):
            reply = await self._try_peer(name, peers[name], call)
            if reply is None or reply.status == STATUS_UNKNOWN:
                may_have_effect = True
            elif reply.status != STATUS_DECLINED:
                return RelayOutcome(reply, may_have_effect)
        self._metrics.count('relayed.none')
        return RelayOutcome(None, may_have_effect)

    async def _try_peer(self, name: str, address: Address, call: CallerCall) -> HttpReply | None:
        """Return the reply of a node, or None when it gives none, and remember which it was."""
        asked_s = self._clock.read_monotonic_s()
        call.trace.begin(f'node {name}', asked_s)
        try:
            reply = await self._ask(address, call)
        except CALL_FAILURES as error:
            log.info('node %s gave no reply to a relayed call: %r', name, error)
            self._metrics.count('relayed.unanswered')
            self._note_reply(name, is_served=False)
            return None
        except trio.Cancelled:
            # The caller's time is over.
            if self._clock.read_monotonic_s() - asked_s >= LATE_REPLY_S:
                self._note_reply(name, is_served=False)
            raise
        self._metrics.count(f'relayed.{reply.status}')
        if reply.status != STATUS_UNKNOWN:
            self._note_reply(name, is_served=reply.status != STATUS_DECLINED)
        return reply

    def _note_reply(self, name: str, is_served: bool) -> None:
        now_s = self._clock.read_monotonic_s()
        earlier = self._replies.get(name, PeerReplies())
        changed = {'served_s': now_s} if is_served else {'declined_s': now_s}
        self._replies[name] = replace(earlier, **changed)

    async def _ask(self, address: Address, call: CallerCall) -> HttpReply:
        client = self._clients.get(address)
        if client is None:
            client = self._clients.setdefault(address, HttpClient(address, RELAY_TIMEOUT_S))
        headers = [(name, call.headers[name]) for name in FORWARDED_HEADERS if name in call.headers]
        headers.append((HEADER_DEADLINE, self._format_deadline(call)))
        return await client.call(call.method, quote(call.path), headers=headers, raw_body=call.body)

    def _format_deadline(self, call: CallerCall) -> bytes:
        """Return how long the reply of the other node is waited for."""
        left_s = call.reply_by_s - self._clock.read_monotonic_s()
        return str(int(max(min(left_s, RELAY_TIMEOUT_S), 0) * MS_PER_S)).encode()
