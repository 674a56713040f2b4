"""The hub of all streams between this entry and its peers."""

import logging
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

import trio

from comfreywind.clock import Clock
from comfreywind.errors import PeerError
from comfreywind.listening import open_listening_socket
from comfreywind.peers.incoming_stream import IncomingStream
from comfreywind.peers.message_codec import MessageCodec
from comfreywind.peers.messages.heartbeat import Heartbeat
from comfreywind.peers.messages.hello import Hello
from comfreywind.peers.peer_hub import MessageType
from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.peers.peer_link import PeerLink
from comfreywind.peers.peer_message import PeerMessage
from comfreywind.peers.peer_state import PeerState
from comfreywind.peers.stream_limits import StreamLimits
from comfreywind.settings.address import Address, parse_address

PROTOCOL_VERSION = 1
INCOMING_LIMIT = 128
LEARNED_LIMIT = 64
# A peer that is named by neither the settings nor the members table is forgotten after this time.
FORGET_S = 60.0

log = logging.getLogger('comfreywind.peers')


class StreamHub:
    """Implements `PeerHub` over TCP: one outgoing and one incoming stream for each peer.

    Peers come from the settings, from `set_members` and from the `Hello` of a peer itself, so that
    a replaced entry at a new address is answered while the store is down.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        address: Address,
        peers: Iterable[Address],
        clock: Clock,
        limits: StreamLimits,
    ) -> None:
        """Prepare the hub; `run` opens the streams."""
        self.identity = identity
        self._address = address
        self._clock = clock
        self._limits = limits
        self._codec = MessageCodec()
        self._codec.add_type(Hello)
        hello = Hello(identity.name, identity.incarnation, PROTOCOL_VERSION, str(address))
        self._hello_frame = self._codec.encode(hello)
        self._handlers: dict[type[PeerMessage], list[Callable[..., None]]] = defaultdict(list)
        self._make_heartbeat: Callable[[], Heartbeat] = _make_empty_heartbeat
        self._settings_addresses = frozenset(peers) - {address}
        self._members: dict[str, Address] = {}
        self._links: dict[Address, PeerLink] = {}
        self._states: dict[str, PeerState] = {}
        self._link_nursery: trio.Nursery | None = None
        self._incoming_count = 0
        self.subscribe(Heartbeat, self._receive_heartbeat)
        for peer in self._settings_addresses:
            self._add_link(peer)

    def send(self, peer_name: str, message: PeerMessage) -> bool:
        """Queue a message for a peer and return False when it was dropped."""
        state = self._states.get(peer_name)
        link = self._links.get(state.address) if state else None
        frame = self._encode(message)
        return link is not None and frame is not None and link.put(frame)

    def broadcast(self, message: PeerMessage, excluded: str = '') -> None:
        """Queue a message for every peer with a stream but the excluded one."""
        frame = self._encode(message)
        if frame is None:
            return
        excluded_state = self._states.get(excluded)
        for address, link in self._links.items():
            if excluded_state is None or excluded_state.address != address:
                link.put(frame)

    def subscribe(
        self,
        message_type: type[MessageType],
        receive_message: Callable[[PeerIdentity, MessageType], None],
    ) -> None:
        """Call the function for each received message of the type."""
        self._codec.add_type(message_type)
        self._handlers[message_type].append(receive_message)

    def list_alive(self) -> tuple[PeerIdentity, ...]:
        """Return the peers whose last heartbeat arrived within the limit for silent streams."""
        oldest_s = self._clock.read_monotonic_s() - self._limits.silent_s
        return tuple(state.identity for state in self._states.values() if state.heard_s >= oldest_s)

    def list_states(self) -> tuple[PeerState, ...]:
        """Return what is known about each peer that has introduced itself."""
        return tuple(self._states.values())

    def list_members(self) -> Mapping[str, Address]:
        """Return name and address of the other members.

        Before the first `set_members` these are the peers of the settings, by their address when
        they have not introduced themselves.
        """
        if self._members:
            return self._members
        names = {state.address: name for name, state in self._states.items()}
        return {names.get(peer, str(peer)): peer for peer in self._settings_addresses}

    def set_members(self, members: Mapping[str, Address]) -> None:
        """Take the members named by the table `members`; this entry itself may be among them."""
        self._members = {
            name: address for name, address in members.items() if name != self.identity.name
        }
        for address in self._members.values():
            self._add_link(address)

    def count_sent_bytes(self) -> int:
        """Return the bytes sent on the links that exist, without those of TCP and IP."""
        return sum(link.sent_bytes for link in self._links.values())

    def set_heartbeat_source(self, make_heartbeat: Callable[[], Heartbeat]) -> None:
        """Use the function for the report in heartbeats; the hub fills times and echoes."""
        self._make_heartbeat = make_heartbeat

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Accept streams, keep links open and send heartbeats until cancelled.

        Raises ListenError when the peer address can't be listened on.
        """
        listening_socket = open_listening_socket(self._address)
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(listening_socket))
        async with trio.open_nursery() as nursery:
            self._link_nursery = nursery
            for link in self._links.values():
                nursery.start_soon(link.run)
            nursery.start_soon(trio.serve_listeners, self._serve_stream, [listener])
            task_status.started()
            while True:
                self._forget_peers()
                self.send_heartbeats()
                await trio.sleep(self._find_pause_s())

    def send_heartbeats(self) -> None:
        """Report to all peers with a stream."""
        report = self._make_heartbeat()
        states = {state.address: state for state in self._states.values()}
        for address, link in self._links.items():
            if link.is_open:
                link.put(self._encode_heartbeat(report, states.get(address)))

    def accept_hello(
        self, hello: Hello, remote_host: str, stream_scope: trio.CancelScope
    ) -> PeerIdentity:
        """Return the identity of the peer; raise PeerError to refuse the stream."""
        identity = PeerIdentity(hello.name, hello.incarnation)
        address = self._check_hello(hello, remote_host)
        known = self._states.get(hello.name)
        if known is None or known.identity != identity:
            self._states[hello.name] = PeerState(identity, address, stream_scope)
            log.info('peer %s at %s, incarnation %d', hello.name, address, hello.incarnation)
        else:
            known.address = address
        if known is not None:
            known.stream_scope.cancel()
            self._states[hello.name].stream_scope = stream_scope
        self._add_link(address)
        self._links[address].wake()
        return identity

    def deliver(self, sender: PeerIdentity, message: PeerMessage) -> None:
        """Call the subscribers of the message's type."""
        for receive_message in self._handlers[type(message)]:
            receive_message(sender, message)

    def _check_hello(self, hello: Hello, remote_host: str) -> Address:
        if hello.protocol_version != PROTOCOL_VERSION:
            raise PeerError(f'protocol version {hello.protocol_version} is not supported')
        if hello.name == self.identity.name:
            raise PeerError(f'the peer has the name of this entry, {hello.name!r:.80}')
        known = self._states.get(hello.name)
        if known is not None and hello.incarnation < known.identity.incarnation:
            raise PeerError(f'{hello.name} was replaced by a process of a higher incarnation')
        address = _parse_peer_address(hello)
        if address not in self._links:
            self._check_unknown_address(address, remote_host)
        return address

    def _check_unknown_address(self, address: Address, remote_host: str) -> None:
        if address.host != remote_host or address == self._address:
            raise PeerError(f'the peer address {address} is not that of the stream')
        if len(self._links) >= len(self._list_named_addresses()) + LEARNED_LIMIT:
            raise PeerError('too many peers that are no members')

    def _list_named_addresses(self) -> frozenset[Address]:
        return self._settings_addresses | frozenset(self._members.values())

    def _add_link(self, address: Address) -> None:
        if address in self._links or address == self._address:
            return
        link = PeerLink(address, self._hello_frame, self._clock, self._limits)
        self._links[address] = link
        if self._link_nursery is not None:
            self._link_nursery.start_soon(link.run)

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        if self._incoming_count >= INCOMING_LIMIT:
            log.error('refused a stream: %d are open', self._incoming_count)
            await stream.aclose()
            return
        self._incoming_count += 1
        try:
            await IncomingStream(stream, self._codec, self, self._limits.silent_s).run()
        finally:
            self._incoming_count -= 1

    def _find_pause_s(self) -> float:
        """Return the time until the next heartbeat.

        Entries send at the same phases of the wall clock, so that a process wakes once for the
        heartbeats of all peers; with 9 entries at rest this takes a third less processor time than
        phases that differ. Nothing else depends on the phase.
        """
        interval_s = self._limits.heartbeat_interval_s
        return interval_s - self._clock.read_utc().timestamp() % interval_s

    def _encode_heartbeat(self, report: Heartbeat, state: PeerState | None) -> bytes:
        heard = state.heartbeat if state else None
        heartbeat = replace(
            report,
            sent_s=self._clock.read_monotonic_s(),
            echo_s=heard.sent_s if heard else None,
            echo_incarnation=state.identity.incarnation if state else 0,
        )
        return self._codec.encode(heartbeat)

    def _receive_heartbeat(self, sender: PeerIdentity, heartbeat: Heartbeat) -> None:
        state = self._states.get(sender.name)
        if state is None or state.identity != sender:
            return
        now_s = self._clock.read_monotonic_s()
        state.heartbeat = heartbeat
        state.heard_s = now_s
        echo_s = heartbeat.echo_s
        if echo_s is None or heartbeat.echo_incarnation != self.identity.incarnation:
            return
        if echo_s > now_s:
            raise PeerError(f'{sender.name} echoes a time that is yet to come')
        state.asked_s = max(state.asked_s, echo_s)
        link = self._links.get(state.address)
        if link is not None:
            link.confirm(echo_s)

    def _forget_peers(self) -> None:
        """Drop peers that no one names and that have been silent for long."""
        oldest_s = self._clock.read_monotonic_s() - FORGET_S
        named_addresses = self._list_named_addresses()
        for name, state in list(self._states.items()):
            silent = state.heard_s < oldest_s and state.stream_scope.cancel_called
            if silent and state.address not in named_addresses:
                del self._states[name]
        used_addresses = {state.address for state in self._states.values()} | named_addresses
        for address in set(self._links) - used_addresses:
            self._links.pop(address).close()

    def _encode(self, message: PeerMessage) -> bytes | None:
        try:
            return self._codec.encode(message)
        except PeerError as error:
            log.error('dropped a message: %s', error)
            return None


def _make_empty_heartbeat() -> Heartbeat:
    return Heartbeat(sent_s=0)


def _parse_peer_address(hello: Hello) -> Address:
    try:
        return parse_address(hello.peer_address)
    except ValueError as error:
        raise PeerError(f'the peer address is malformed: {error}') from error
