"""A process that was paused for some seconds acts on a permission that has expired meanwhile.

The term was checked before an order, but the order then waited for one of four connections. A
process that was suspended meanwhile sent it after it resumed, because the timeout of a call does
not count the time of the suspension. Hundreds of moves of VMs may wait at the same time, and the
VM service checks no fence. In the same way, a job was accepted with a key that had been withdrawn
during the pause. So the permission is checked again just before a call is sent.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio

from bench.job_fleet import make_config, run_job_fleet
from comfreywind.errors import CallNotPermittedError, StoreRefusedError
from comfreywind.http.client import HttpClient
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.jobs.task_key import TaskKey
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange
from comfreywind.platform.target_client import TargetClient
from comfreywind.platform.vm_client import VmClient, VmOrderAnswer
from comfreywind.settings.address import Address
from tests.helpers.trio_clock import TrioClock

KEY = TaskKey('00000000000000a1', 0, 0, 0)
CONNECTIONS = 4
CALLS = 3 * CONNECTIONS
JOB = '00000000000000a1'


class Term:
    """A term that the test ends by clearing `valid`."""

    def __init__(self) -> None:
        """Start with a valid term."""
        self.valid = True

    def may_send(self) -> bool:
        """Return whether the term is valid."""
        return self.valid


class BusyService:
    """Counts the requests that reach it, and replies only after `may_reply` is set."""

    def __init__(self) -> None:
        """Start without a request."""
        self.requests = 0
        self.may_reply = trio.Event()

    async def wait_until_busy(self) -> None:
        """Return once all connections of a client are in use."""
        with trio.fail_after(5):
            while self.requests < CONNECTIONS:
                await trio.sleep(0.01)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Reply to the requests on one connection."""
        async for _ in stream:
            self.requests += 1
            await self.may_reply.wait()
            await stream.send_all(b'HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{"clock_ms":1}')


@asynccontextmanager
async def run_service() -> AsyncIterator[tuple[BusyService, Address]]:
    """Run a service on a free port until the block ends; yield it and its address."""
    service = BusyService()
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(partial(trio.serve_tcp, host='127.0.0.1'), service.serve, 0)
        yield service, Address('127.0.0.1', listeners[0].socket.getsockname()[1])
        nursery.cancel_scope.cancel()


async def call_as_term_ends(
    service: BusyService, term: Term, call: Callable[[int], Awaitable[None]]
) -> None:
    """Make more calls than there are connections, and end the term while the rest waits for one."""
    async with trio.open_nursery() as nursery:
        for number in range(CALLS):
            nursery.start_soon(call, number)
        await service.wait_until_busy()
        term.valid = False
        service.may_reply.set()


async def test_moves_that_wait() -> None:
    """Does not send moves of VMs that waited for a connection until the term had ended.

    The next holder may have ordered the same VM by then, and the VM service checks no fence.
    """
    term, answers = Term(), []
    async with run_service() as (service, address):
        client = VmClient(address, lambda _: term.may_send())

        async def move(number: int) -> None:
            answers.append(await client.move(f'vm{number}', 'north', 'node-1', 1))

        await call_as_term_ends(service, term, move)
        assert service.requests == CONNECTIONS
    assert answers.count(VmOrderAnswer.REFUSED) == CALLS - CONNECTIONS


async def test_orders_that_wait() -> None:
    """Does not send orders to targets that waited for a connection until the term had ended.

    Their answer is EXPIRED, not UNKNOWN: an order that was certainly not sent needs no later check.
    """
    term, answers = Term(), []
    async with run_service() as (service, address):
        client = TargetClient('t0', address, 1, lambda _: term.may_send())

        async def start(run_id: int) -> None:
            reply = await client.start(KEY, run_id, '', 1, 1)
            answers.append(reply.answer)

        await call_as_term_ends(service, term, start)
        assert service.requests == CONNECTIONS
        assert answers.count(StartAnswer.EXPIRED) == CALLS - CONNECTIONS
        with pytest.raises(CallNotPermittedError):
            await client.hold(1, 0, 1, 0)
        assert not await client.stop(KEY, 1, 1)
        assert service.requests == CONNECTIONS


async def test_writes_that_wait() -> None:
    """Does not send a write whose permission has ended, and reports it as refused.

    Reported as an unknown outcome, it would be sent again.
    """
    term = Term()
    term.valid = False
    async with run_service() as (service, address):
        rows = RowsClient(address, 0, TrioClock())
        with pytest.raises(StoreRefusedError):
            await rows.commit('p', [RowChange('t', 'k', b'v', 0)], term.may_send)
        assert not service.requests


async def test_permission_does_not_spoil_connection() -> None:
    """Makes further calls after one that was not permitted.

    The call that is given up holds a connection, which must not be lost to later calls: the client
    of this test has a single one.
    """
    term = Term()
    async with run_service() as (service, address):
        service.may_reply.set()
        client = HttpClient(address, 1, 1)
        for valid in (True, False, True):
            term.valid = valid
            if valid:
                assert (await client.call('GET', '/', permit=term.may_send)).status == 200
                continue
            with pytest.raises(CallNotPermittedError):
                await client.call('GET', '/', permit=term.may_send)
        assert service.requests == 2


async def test_key_withdrawn_before_write(monkeypatch: pytest.MonkeyPatch) -> None:
    """Refuses a job whose key was withdrawn between the check of the key and the write of the job.

    The patched commit stands for a process that is paused before the write.
    """
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        commit = RowsClient.commit

        async def pause_then_commit(self: RowsClient, partition: str, *rest: object) -> int:
            if len(rest) > 1 and rest[1] is not None:
                fleet.store.write_document('op', 'config', make_config(2, keys=()))
                await trio.sleep(0.5)
            return await commit(self, partition, *rest)  # type: ignore[arg-type]

        monkeypatch.setattr(RowsClient, 'commit', pause_then_commit)
        assert await fleet.submit(0, JOB) == 503
        monkeypatch.undo()
        fleet.store.write_document('op', 'config', make_config(3))
        with trio.fail_after(5):
            while await fleet.read_state(0, JOB) == '401':
                await trio.sleep(0.05)
        assert await fleet.read_state(0, JOB) == '410'
