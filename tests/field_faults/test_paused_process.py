"""A process that had been paused for some seconds acted on a permission that had run out meanwhile.

It could happen here: the term was checked before an order, but an order then waited for one of four
connections. A process that was suspended meanwhile sent it on waking, as the timeout of a call does
not count the time of a suspension. Moves of VMs wait by the hundred, and the VM service of the users
checks no fence. The same with a job that was accepted with a key withdrawn during the pause.
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
    """A permission that ends when the test says so."""

    def __init__(self) -> None:
        """Start with the permission."""
        self.valid = True

    def may_send(self) -> bool:
        """Return whether calls may be sent."""
        return self.valid


class BusyService:
    """Counts the requests that reach it, and answers none before it is told to."""

    def __init__(self) -> None:
        """Start without a request."""
        self.requests = 0
        self.answers = trio.Event()

    async def wait_until_busy(self) -> None:
        """Return once all connections of a client carry a request."""
        with trio.fail_after(5):
            while self.requests < CONNECTIONS:
                await trio.sleep(0.01)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer the requests of one connection."""
        async for _ in stream:
            self.requests += 1
            await self.answers.wait()
            await stream.send_all(b'HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{"clock_ms":1}')


@asynccontextmanager
async def run_service() -> AsyncIterator[tuple[BusyService, Address]]:
    """Run a service until the block is left."""
    service = BusyService()
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(partial(trio.serve_tcp, host='127.0.0.1'), service.serve, 0)
        yield service, Address('127.0.0.1', listeners[0].socket.getsockname()[1])
        nursery.cancel_scope.cancel()


async def call_as_term_ends(
    service: BusyService, term: Term, call: Callable[[int], Awaitable[None]]
) -> None:
    """Make more calls than there are connections, and end the term while the others wait."""
    async with trio.open_nursery() as nursery:
        for number in range(CALLS):
            nursery.start_soon(call, number)
        await service.wait_until_busy()
        term.valid = False
        service.answers.set()


async def test_moves_that_wait() -> None:
    """Guards against VMs that are moved by a holder whose term is over."""
    term, answers = Term(), []
    async with run_service() as (service, address):
        client = VmClient(address, lambda _: term.may_send())

        async def move(number: int) -> None:
            answers.append(await client.move(f'vm{number}', 'north', 'node-1', 1))

        await call_as_term_ends(service, term, move)
        assert service.requests == CONNECTIONS
    assert answers.count(VmOrderAnswer.REFUSED) == CALLS - CONNECTIONS


async def test_orders_that_wait() -> None:
    """Guards against tasks started by a holder whose term is over; none of them may be in doubt."""
    term, answers = Term(), []
    async with run_service() as (service, address):
        client = TargetClient('t0', address, 1, term.may_send)

        async def start(run_id: int) -> None:
            answers.append(await client.start(KEY, run_id, '', 1, 1))

        await call_as_term_ends(service, term, start)
        assert service.requests == CONNECTIONS
        assert answers.count(StartAnswer.EXPIRED) == CALLS - CONNECTIONS
        with pytest.raises(CallNotPermittedError):
            await client.hold(1, 0, 1, 0)
        assert not await client.stop(KEY, 1, 1)
        assert service.requests == CONNECTIONS


async def test_writes_that_wait() -> None:
    """Guards against a job that is stored, or in doubt, with a permission that has ended."""
    term = Term()
    term.valid = False
    async with run_service() as (service, address):
        rows = RowsClient(address, 0, TrioClock())
        with pytest.raises(StoreRefusedError):
            await rows.commit('p', [RowChange('t', 'k', b'v', 0)], term.may_send)
        assert not service.requests


async def test_permission_does_not_spoil_connection() -> None:
    """Guards against a client that can't call any more after a call that was not permitted."""
    term = Term()
    async with run_service() as (service, address):
        service.answers.set()
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
    """Guards against a job accepted with a key that was withdrawn while the process was paused."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        commit = RowsClient.commit

        async def pause_then_commit(self: RowsClient, partition: str, *rest: object) -> int:
            if len(rest) > 1:
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
