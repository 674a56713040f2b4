"""Whom a process closes, and what it may give to its clients."""

import json

import pytest

from comfreywind.decisions.clients.client_activity import ClientActivity
from comfreywind.decisions.clients.client_budget import (
    CALLERS,
    CONNECTION_BYTES,
    PEERS,
    READINESS,
    derive_budget,
)
from comfreywind.decisions.clients.client_phase import ClientPhase
from comfreywind.decisions.clients.connection_progress import ConnectionProgress
from comfreywind.decisions.clients.request_size import measure_request
from comfreywind.decisions.clients.shed_order import choose_connections, choose_holders
from comfreywind.decisions.clients.time_limits import TimeLimits

BODY_BYTES = 262_144
# Least and largest machines of the deployments: MB and descriptors.
MACHINES = ((200, 4_100), (300, 4_100), (552, 8_192))
SLOW = ClientActivity(ClientPhase.BODY, 5, 1_000, 1_000)
STALLED = ClientActivity(ClientPhase.BODY, 5, 262_000, 262_000)
FAST = ClientActivity(ClientPhase.BODY, 0.4, 200_000, 200_000)
FRESH = ClientActivity(ClientPhase.HEAD, 0.01, 10, 10)
SILENT = ClientActivity(ClientPhase.SILENT, 0.5, 0, 0)
IDLE = ClientActivity(ClientPhase.IDLE, 60, 0, 0)
AHEAD = ClientActivity(ClientPhase.AHEAD, 0.4, 90, 90)
SERVED = ClientActivity(ClientPhase.SERVED, 2, 9_000, 9_000)


def name_clients(*activities: ClientActivity) -> list[tuple[int, ClientActivity]]:
    """Return the activities with a number each, as an owner has them."""
    return list(enumerate(activities))


def test_slowest_first() -> None:
    """Guards against an honest caller that is closed while the crowd stays."""
    clients = name_clients(IDLE, SERVED, FRESH, FAST, SILENT, STALLED, SLOW, AHEAD)
    assert choose_connections(clients, 5) == [7, 6, 5, 4, 3]


def test_served_request_stays() -> None:
    """Guards against a job that is stored and whose caller gets no reply."""
    assert choose_connections(name_clients(SERVED, FRESH), 2) == []
    assert choose_holders(name_clients(SERVED), 1) == []


def test_few_idle_ones_closed() -> None:
    """Guards against all idle connections of callers being closed for one new one."""
    assert choose_connections(name_clients(IDLE, IDLE, IDLE), 3) == [0]


@pytest.mark.parametrize(
    ('excess_bytes', 'chosen'),
    [(500, [2]), (100_000, [2, 1]), (400_000, [2, 1, 0]), (500_000, [])],
)
def test_bytes_set_free(excess_bytes: int, chosen: list[int]) -> None:
    """Guards against more or fewer clients closed than memory is needed."""
    assert choose_holders(name_clients(FAST, STALLED, SLOW, IDLE), excess_bytes) == chosen


@pytest.mark.parametrize(('memory_mb', 'max_fds'), MACHINES)
def test_budget(memory_mb: int, max_fds: int) -> None:
    """Guards against shares that exceed the machine, or that honest callers meet."""
    budget = derive_budget(memory_mb, max_fds)
    connections = sum(share.connections for share in budget.ports.values())
    held_bytes = sum(share.held_bytes for share in budget.ports.values())
    total_bytes = connections * CONNECTION_BYTES + held_bytes + budget.parsed_bytes
    assert total_bytes < memory_mb * 1_000_000 / 3
    assert connections <= (max_fds - 200) / 2
    assert budget.ports[CALLERS].connections >= 400
    assert budget.ports[CALLERS].held_bytes > 20 * BODY_BYTES
    assert budget.ports[PEERS].held_bytes > 2 * BODY_BYTES
    assert budget.ports[READINESS].connections >= 10


def test_large_job_is_parsed() -> None:
    """Guards against a limit that a job within the users' limits meets."""
    steps = [{'count': 1, 'after': list(range(number))} for number in range(256)]
    body = json.dumps({'spec': '[{,' * 1_333, 'steps': steps}).encode()
    size = measure_request(body)
    assert len(body) < BODY_BYTES
    assert size.is_within_limits()
    assert size.estimate_parsed_bytes() <= derive_budget(0, 0).parsed_bytes


@pytest.mark.parametrize('part', [b'{}', b'[]', b'1'])
def test_many_parts_refused(part: bytes) -> None:
    """Guards against a body of legal size that becomes very many objects."""
    body = b'{"steps":[' + b','.join([part] * ((BODY_BYTES - 12) // (len(part) + 1))) + b']}'
    assert not measure_request(body).is_within_limits()


def test_progress_of_request() -> None:
    """Guards against a time limit that counts from the wrong moment."""
    progress, limits = ConnectionProgress(0), TimeLimits()
    assert not limits.is_exceeded(progress.describe(100, 0))
    progress.note_received(5, 100)
    assert progress.phase is ClientPhase.HEAD
    progress.note_head(109)
    assert not limits.is_exceeded(progress.describe(118, 0))
    assert limits.is_exceeded(progress.describe(120, 0))
    progress.note_request(120, 0)
    assert not limits.is_exceeded(progress.describe(150, 0))
    progress.note_sending(150)
    assert limits.is_exceeded(progress.describe(161, 0))
    progress.note_sent()
    progress.note_served(0, 161)
    assert progress.describe(170, 0) == ClientActivity(ClientPhase.IDLE, 9, 0, 0)
    progress.note_served(7, 171)
    assert progress.phase is ClientPhase.HEAD


def test_requests_ahead_are_counted() -> None:
    """Guards against a caller closed that sends its next request just after it has read a reply."""
    progress = ConnectionProgress(0)
    for further_bytes, ahead_count in ((10, 1), (10, 2), (0, 0)):
        progress.note_received(10, 0)
        progress.note_head(0)
        progress.note_request(0, further_bytes)
        assert (progress.phase is ClientPhase.AHEAD) == bool(further_bytes)
        progress.note_reply()
        progress.note_received(10, 0)
        progress.note_served(10, 0)
        assert progress.ahead_count == ahead_count
