"""Manages all streams between this entry and its peers."""

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
INCOMING_STREAM_LIMIT = 128
NON_MEMBER_LIMIT = 64
# Silence after which a peer that is in neither the settings nor the members table is removed.
FORGET_AFTER_S = 60.0

log = logging.getLogger('comfreywind.peers')


class StreamHub:
    """Implements `PeerHub` over TCP: one outgoing and one incoming stream for each peer.

    Peers come from the settings, from `set_members` and from the `Hello` of a peer itself, so that
    an entry that restarts at a new address is reachable while the store is down.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        address: Address,
        peers: Iterable[Address],
        clock: Clock,
        limits: StreamLimits,
    ) -> None:
        """Create the hub; `run` opens the streams."""
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
        """Queue a message for every peer with a stream except the one named `excluded`."""
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
        """Return the peers whose last heartbeat is within the silence limit."""
        oldest_s = self._clock.read_monotonic_s() - self._limits.silent_s
        return tuple(
            state.identity for state in self._states.values() if state.last_heartbeat_s >= oldest_s
        )

    def list_states(self) -> tuple[PeerState, ...]:
        """Return the state of each peer that has sent a `Hello`."""
        return tuple(self._states.values())

    def list_members(self) -> Mapping[str, Address]:
        """Return the peer address of each other member by name.

        Before the first `set_members` these are the peers of the settings; one that has not sent a
        `Hello` is listed with its address as its name.
        """
        if self._members:
            return self._members
        names = {state.address: name for name, state in self._states.items()}
        return {names.get(peer, str(peer)): peer for peer in self._settings_addresses}

    def set_members(self, members: Mapping[str, Address]) -> None:
        """Replace the members by those of the table `members` and link to them.

        This entry is left out if it is among them.
        """
        self._members = {
            name: address for name, address in members.items() if name != self.identity.name
        }
        for address in self._members.values():
            self._add_link(address)

    def count_sent_bytes(self) -> int:
        """Return the bytes sent on the current links, without TCP and IP headers."""
        return sum(link.sent_bytes for link in self._links.values())

    def set_heartbeat_source(self, make_heartbeat: Callable[[], Heartbeat]) -> None:
        """Set the function that makes heartbeats; the hub fills in the send time and the echo."""
        self._make_heartbeat = make_heartbeat

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Accept streams, keep links open and send heartbeats until cancelled.

        Raises ListenError when the listener can't bind to the peer address.
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
                self._remove_silent_peers()
                self.send_heartbeats()
                await trio.sleep(self._compute_pause_s())

    def send_heartbeats(self) -> None:
        """Send a heartbeat to all peers with a stream."""
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
            log.info(
                'accepted peer %s at %s, incarnation %d', hello.name, address, hello.incarnation
            )
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
            self._check_new_address(address, remote_host)
        return address

    def _check_new_address(self, address: Address, remote_host: str) -> None:
        if address.host != remote_host or address == self._address:
            raise PeerError(f'the peer address {address} is not that of the stream')
        if len(self._links) >= len(self._list_configured_addresses()) + NON_MEMBER_LIMIT:
            raise PeerError('too many peers that are neither members nor in the settings')

    def _list_configured_addresses(self) -> frozenset[Address]:
        return self._settings_addresses | frozenset(self._members.values())

    def _add_link(self, address: Address) -> None:
        if address in self._links or address == self._address:
            return
        link = PeerLink(address, self._hello_frame, self._clock, self._limits)
        self._links[address] = link
        if self._link_nursery is not None:
            self._link_nursery.start_soon(link.run)

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        if self._incoming_count >= INCOMING_STREAM_LIMIT:
            log.error(
                'refused an incoming peer stream: the limit of %d streams is reached',
                self._incoming_count,
            )
            await stream.aclose()
            return
        self._incoming_count += 1
        try:
            await IncomingStream(stream, self._codec, self, self._limits.silent_s).run()
        finally:
            self._incoming_count -= 1

    def _compute_pause_s(self) -> float:
        """Return the time until the next heartbeat.

        All entries send at the same phase of the wall clock, so that a process wakes up once for
        the heartbeats of all peers. With 9 idle entries this takes a third less processor time than
        differing phases. Nothing else depends on the phase.
        """
        interval_s = self._limits.heartbeat_interval_s
        return interval_s - self._clock.read_utc().timestamp() % interval_s

    def _encode_heartbeat(self, report: Heartbeat, state: PeerState | None) -> bytes:
        received = state.heartbeat if state else None
        heartbeat = replace(
            report,
            sent_s=self._clock.read_monotonic_s(),
            echo_s=received.sent_s if received else None,
            echo_incarnation=state.identity.incarnation if state else 0,
        )
        return self._codec.encode(heartbeat)

    def _receive_heartbeat(self, sender: PeerIdentity, heartbeat: Heartbeat) -> None:
        state = self._states.get(sender.name)
        if state is None or state.identity != sender:
            return
        now_s = self._clock.read_monotonic_s()
        state.heartbeat = heartbeat
        state.last_heartbeat_s = now_s
        echo_s = heartbeat.echo_s
        if echo_s is None or heartbeat.echo_incarnation != self.identity.incarnation:
            return
        if echo_s > now_s:
            raise PeerError(f'{sender.name} echoes a heartbeat time in the future')
        state.echoed_sent_s = max(state.echoed_sent_s, echo_s)
        link = self._links.get(state.address)
        if link is not None:
            link.record_echo(echo_s)

    def _remove_silent_peers(self) -> None:
        """Remove silent peers that are in neither the settings nor the members, and unused links."""
        oldest_s = self._clock.read_monotonic_s() - FORGET_AFTER_S
        configured_addresses = self._list_configured_addresses()
        for name, state in list(self._states.items()):
            silent = state.last_heartbeat_s < oldest_s and state.stream_scope.cancel_called
            if silent and state.address not in configured_addresses:
                del self._states[name]
        used_addresses = {state.address for state in self._states.values()} | configured_addresses
        for address in set(self._links) - used_addresses:
            self._links.pop(address).close()

    def _encode(self, message: PeerMessage) -> bytes | None:
        try:
            return self._codec.encode(message)
        except PeerError as error:
            log.error('dropped an outgoing message: %s', error)
            return None


def _make_empty_heartbeat() -> Heartbeat:
    return Heartbeat(sent_s=0)


def _parse_peer_address(hello: Hello) -> Address:
    try:
        return parse_address(hello.peer_address)
    except ValueError as error:
        raise PeerError(f'the peer address is malformed: {error}') from error
