"""A peer port that receives anything but well-formed messages."""

import socket
import struct
import time
from collections.abc import Iterator

import msgpack
import psutil
import pytest

from bench.fleet import Fleet, wait_until
from bench.fleet_plan import FleetPlan
from comfreywind.peers.stream_hub import INCOMING_STREAM_LIMIT
from tests.helpers.versions import make_bundle, wait_in_force

HELLO = {
    'type': 'Hello',
    'name': 'intruder',
    'incarnation': 1,
    'protocol_version': 1,
    'peer_address': '127.0.0.1:1',
}
SILENT_S = 1.5
CLOSE_LIMIT_S = SILENT_S + 1
GROWTH_LIMIT_BYTES = 64 * 1024 * 1024


def make_frame(document: object) -> bytes:
    """Return the frame of a document."""
    payload = msgpack.packb(document)
    return struct.pack('>I', len(payload)) + bytes(payload)


BAD_BYTES = (
    ('text', b'GET / HTTP/1.1\r\n\r\n' * 100, 'is above 1024 bytes'),
    ('oversized first frame', struct.pack('>I', 2000), 'is above 1024 bytes'),
    ('garbage', struct.pack('>I', 8) + b'\xc1' * 8, 'is no msgpack document'),
    ('no Hello', make_frame({'type': 'Heartbeat', 'sent_s': 1.0}), 'malformed Heartbeat'),
    ('unknown version', make_frame({**HELLO, 'protocol_version': 2}), 'protocol version 2'),
    ('own name', make_frame({**HELLO, 'name': 'entry-0'}), 'name of this entry'),
    (
        'address of another host',
        make_frame({**HELLO, 'peer_address': '127.0.0.9:1'}),
        'is not that of the stream',
    ),
    ('oversized frame', make_frame(HELLO) + b'\xff' * 100, 'is above 1048576 bytes'),
    ('unknown type', make_frame(HELLO) + make_frame({'type': 'Nonsense'}), "'Nonsense' is unknown"),
    ('end within a frame', make_frame(HELLO)[:-1], 'the stream ended within a frame'),
)


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    """Run a fleet for these tests alone; afterwards it must still pass on a version."""
    with Fleet(FleetPlan()) as running_fleet:
        yield running_fleet
        running_fleet.roll_out(2, make_bundle(2))
        wait_in_force(running_fleet, 2, 1)
        assert 'Traceback' not in running_fleet.entries[0].read_log()


def connect(fleet: Fleet) -> socket.socket:
    """Return a connection to the peer port of the first entry."""
    host, _, port = fleet.peer_addresses[0].rpartition(':')
    return socket.create_connection((host, int(port)), CLOSE_LIMIT_S)


def read_memory_bytes(fleet: Fleet) -> int:
    """Return the resident memory of the first entry."""
    return int(psutil.Process(fleet.entries[0].pid).memory_info().rss)


@pytest.mark.parametrize(('case', 'sent', 'reason'), BAD_BYTES, ids=[row[0] for row in BAD_BYTES])
def test_bad_bytes(fleet: Fleet, case: str, sent: bytes, reason: str) -> None:
    """Guards against a stream kept open, a crash, or no log line, after bytes that break a rule."""
    errors_before = fleet.entries[0].read_log().count(reason)
    with connect(fleet) as intruder:
        intruder.sendall(sent)
        if case == 'end within a frame':
            intruder.shutdown(socket.SHUT_WR)
        wait_closed(intruder)
    wait_until(
        lambda: fleet.entries[0].read_log().count(reason) > errors_before, f'log of {reason}', 2
    )


def test_slow_sender(fleet: Fleet) -> None:
    """Guards against a stream that is held open by one byte now and then."""
    started_s = time.monotonic()
    with connect(fleet) as intruder:
        frame = make_frame(HELLO) + struct.pack('>I', 1_000_000)
        try:
            for byte in frame + bytes(1000):
                intruder.sendall(bytes([byte]))
                time.sleep(0.01)
                assert time.monotonic() < started_s + CLOSE_LIMIT_S + SILENT_S
        except (BrokenPipeError, ConnectionResetError):
            return
    raise AssertionError('the stream was not closed')


def test_many_large_frames(fleet: Fleet) -> None:
    """Guards against memory that grows with unfinished frames on many streams."""
    before_bytes = read_memory_bytes(fleet)
    intruders = [connect(fleet) for _ in range(INCOMING_STREAM_LIMIT + 20)]
    for intruder in intruders:
        intruder.setblocking(False)
        try:
            intruder.send(struct.pack('>I', 1000) + bytes(900))
        except OSError:
            continue
    highest_bytes = 0
    deadline_s = time.monotonic() + CLOSE_LIMIT_S
    while time.monotonic() < deadline_s:
        highest_bytes = max(highest_bytes, read_memory_bytes(fleet))
        time.sleep(0.05)
    for intruder in intruders:
        intruder.settimeout(1)
        wait_closed(intruder)
        intruder.close()
    assert highest_bytes - before_bytes < GROWTH_LIMIT_BYTES


def wait_closed(intruder: socket.socket) -> None:
    """Wait until the entry has closed the stream; nothing is ever sent on it."""
    try:
        assert intruder.recv(1) == b''
    except ConnectionResetError:
        return
