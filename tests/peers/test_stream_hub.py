"""Stream hubs over real sockets on loopback."""

import socket
from collections.abc import Callable
from dataclasses import dataclass

import pytest
import trio

from bench.ports import PORTS
from comfreywind.clock import SystemClock
from comfreywind.errors import ListenError
from comfreywind.peers.message_codec import MessageCodec
from comfreywind.peers.messages.heartbeat import Heartbeat
from comfreywind.peers.messages.hello import Hello
from comfreywind.peers.outbox import OUTBOX_LIMIT_BYTES, Outbox
from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.peers.peer_message import PeerMessage
from comfreywind.peers.stream_hub import PROTOCOL_VERSION, StreamHub
from comfreywind.peers.stream_limits import StreamLimits
from comfreywind.settings.address import Address

LIMITS = StreamLimits(heartbeat_interval_s=0.05, silent_s=0.4, connect_timeout_s=0.5)


@dataclass(frozen=True, slots=True)
class Note(PeerMessage):
    """A numbered message with padding."""

    number: int
    padding: bytes = b''


def make_hub(name: str, address: Address, *peers: Address, incarnation: int = 1) -> StreamHub:
    """Return a hub that knows the message type of these tests."""
    hub = StreamHub(PeerIdentity(name, incarnation), address, peers, SystemClock(), LIMITS)
    hub.subscribe(Note, lambda sender, note: None)
    return hub


def make_address() -> Address:
    """Return a free address on loopback."""
    return Address('127.0.0.1', PORTS.find_free())


async def wait_for(condition: Callable[[], bool], timeout_s: float = 5) -> None:
    """Return when the condition holds; raise TooSlowError when it does not in time."""
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.01)


def is_linked(hub: StreamHub, name: str) -> bool:
    """Return whether the peer has echoed a heartbeat, so that both directions work."""
    return any(
        state.identity.name == name and state.echoed_sent_s > 0 for state in hub.list_states()
    )


async def test_messages_arrive_in_order(nursery: trio.Nursery) -> None:
    """Messages arrive complete and in order, also from a peer that is not in the settings."""
    first, second = make_address(), make_address()
    left = make_hub('left', first, second)
    right = make_hub('right', second)
    received: list[int] = []
    left.subscribe(Note, lambda sender, note: received.append(note.number))
    await nursery.start(left.run)
    await nursery.start(right.run)
    await wait_for(lambda: is_linked(left, 'right') and is_linked(right, 'left'))
    for number in range(100):
        assert right.send('left', Note(number))
    right.broadcast(Note(100))
    right.broadcast(Note(101), excluded='left')
    await wait_for(lambda: len(received) >= 101)
    assert received == list(range(101))
    assert left.list_alive() == (PeerIdentity('right', 1),)


async def test_restarted_peer_is_linked_again(nursery: trio.Nursery) -> None:
    """A peer is reachable again after its process has been replaced."""
    first, second = make_address(), make_address()
    left = make_hub('left', first, second)
    await nursery.start(left.run)
    async with trio.open_nursery() as old_process:
        old_process.start_soon(make_hub('right', second, first).run)
        await wait_for(lambda: is_linked(left, 'right'))
        old_process.cancel_scope.cancel()
    await wait_for(lambda: not left.list_alive())
    new_right = make_hub('right', second, first, incarnation=2)
    nursery.start_soon(new_right.run)
    await wait_for(lambda: is_linked(new_right, 'left'))
    await wait_for(lambda: left.list_alive() == (PeerIdentity('right', 2),))


async def test_silent_peer_blocks_no_one(nursery: trio.Nursery) -> None:
    """A peer that reads nothing neither delays messages to others nor makes memory grow."""
    frozen, first, second = make_address(), make_address(), make_address()
    with socket.create_server((frozen.host, frozen.port)):
        left = make_hub('left', first, frozen, second)
        right = make_hub('right', second, first)
        received: list[int] = []
        right.subscribe(Note, lambda sender, note: received.append(note.number))
        await nursery.start(left.run)
        await nursery.start(right.run)
        await wait_for(lambda: is_linked(left, 'right'))
        for number in range(100):
            left.broadcast(Note(number, bytes(100_000)))
            await wait_for(lambda count=number: len(received) > count)
        assert received == list(range(100))


def test_outbox_is_bounded() -> None:
    """Frames for a peer that does not read are refused at the limit of the outbox."""
    outbox = Outbox()
    frame = bytes(100_000)
    accepted = [outbox.put(frame) for _ in range(100)]
    assert accepted.count(True) == OUTBOX_LIMIT_BYTES // len(frame)


async def test_address_in_use() -> None:
    """A peer address in use raises ListenError instead of a bare OSError."""
    address = make_address()
    with socket.create_server((address.host, address.port)):
        with pytest.raises(ListenError, match='in use'):
            await make_hub('left', address).run()


async def test_report_counts_from_its_echo(nursery: trio.Nursery) -> None:
    """The age of a report counts from the echoed send time, not from its arrival.

    A report that was delayed in a buffer would otherwise look recent. Echoes of another incarnation,
    none, or of a future time do not advance the time.
    """
    address = make_address()
    hub = make_hub('left', address)
    await nursery.start(hub.run)
    codec = MessageCodec()
    peer_address = make_address()
    listener = socket.create_server((peer_address.host, peer_address.port))
    stream = await trio.open_tcp_stream(address.host, address.port)
    async with stream:
        await stream.send_all(codec.encode(Hello('peer', 1, PROTOCOL_VERSION, str(peer_address))))
        now_s = SystemClock().read_monotonic_s()
        echoes = ((now_s - 3, 1), (now_s - 2, 9), (None, 1), (now_s + 60, 1))
        seen = []
        for sent_s, (echo_s, incarnation) in enumerate(echoes, start=1):
            heartbeat = Heartbeat(float(sent_s), echo_s, incarnation, bundle_version=sent_s)
            await stream.send_all(codec.encode(heartbeat))
            await wait_for(lambda count=sent_s: read_version(hub) == count)
            seen.append(hub.list_states()[0].echoed_sent_s)
    listener.close()
    assert seen == [now_s - 3] * len(echoes)


def read_version(hub: StreamHub) -> int:
    """Return the bundle version in the heartbeat of the only peer, or 0 without one."""
    states = hub.list_states()
    return states[0].heartbeat.bundle_version if states and states[0].heartbeat else 0
