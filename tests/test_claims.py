"""Claims of idempotency keys against a table service in memory."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
import trio

from comfreywind.decisions.refusal import Outcome, Refusal
from comfreywind.entry.claim import Claim
from comfreywind.entry.claims import Claims
from comfreywind.entry.refusal_error import RefusalError
from comfreywind.entry.service_tasks import ServiceTasks
from comfreywind.platform.table_names import TABLE_CLAIMS
from tests.helpers.fake_hub import FakeHub
from tests.helpers.manual_clock import ManualClock
from tests.helpers.memory_tables import MemoryTables

KEY = 'rosters/key-1'
RETENTION_S = 86_400


@dataclass(slots=True)
class Harness:
    """Two entries with one store."""

    tables: MemoryTables = field(default_factory=MemoryTables)
    clock: ManualClock = field(default_factory=ManualClock)
    entries: list[Claims] = field(default_factory=list)

    async def drain(self) -> None:
        """Wait until every claim is released or its outcome written."""
        for entry in self.entries:
            await entry.drain(10)


@asynccontextmanager
async def run_entries() -> AsyncIterator[Harness]:
    """Run two entries; the autojump clock skips the time in which all tasks wait."""
    harness = Harness()
    network: dict[str, FakeHub] = {}
    async with trio.open_nursery() as nursery:
        for name in ('entry-0', 'entry-1'):
            hub = FakeHub(name, network)
            services = ServiceTasks()
            await nursery.start(services.run)
            claims = Claims(harness.tables, hub.identity, services, harness.clock, RETENTION_S, hub)  # type: ignore[arg-type]
            nursery.start_soon(claims.run)
            harness.entries.append(claims)
        yield harness
        nursery.cancel_scope.cancel()


async def try_claim(entry: Claims, key: str = KEY, fingerprint: str = 'f') -> Claim | Refusal:
    """Return the claim or the refusal."""
    try:
        return await entry.claim(key, fingerprint, 30)
    except RefusalError as error:
        return error.refusal


def describe(result: Claim | Refusal) -> tuple[str, str]:
    """Return the reason and the outcome of a refusal."""
    assert isinstance(result, Refusal)
    return result.reason.problem, result.outcome.value


@pytest.mark.parametrize(
    ('outcome', 'entry', 'expected'),
    [
        (None, 0, ('claim-exists', 'unknown')),
        (None, 1, ('claim-exists', 'unknown')),
        (Outcome.ANSWERED, 0, ('claim-exists', 'answered')),
        (Outcome.ANSWERED, 1, ('claim-exists', 'answered')),
        (Outcome.UNKNOWN, 1, ('claim-exists', 'unknown')),
    ],
)
async def test_repeat(
    autojump_clock: trio.testing.MockClock,
    outcome: Outcome | None,
    entry: int,
    expected: tuple[str, str],
) -> None:
    """A repeated key is refused with the outcome of the first request, by either entry."""
    async with run_entries() as harness:
        claim = await try_claim(harness.entries[0])
        assert isinstance(claim, Claim)
        if outcome is not None:
            harness.entries[0].finish(claim, outcome)
            await harness.drain()
        assert describe(await try_claim(harness.entries[entry])) == expected


async def test_owner_is_asked(autojump_clock: trio.testing.MockClock) -> None:
    """A repeat gets the outcome that the owning entry knows but has not written to the row yet."""
    async with run_entries() as harness:
        claim = await try_claim(harness.entries[0])
        assert isinstance(claim, Claim)
        claim.outcome = Outcome.ANSWERED
        assert describe(await try_claim(harness.entries[1])) == ('claim-exists', 'answered')


async def test_other_request(autojump_clock: trio.testing.MockClock) -> None:
    """A request with another path or body can't reuse the key of an earlier request."""
    async with run_entries() as harness:
        await try_claim(harness.entries[0])
        refusal = await try_claim(harness.entries[1], fingerprint='g')
        assert describe(refusal) == ('idempotency-key-reused', 'not-run')


async def test_release(autojump_clock: trio.testing.MockClock) -> None:
    """A key whose request has not run can be claimed again, even if the release got no reply."""
    async with run_entries() as harness:
        claim = await try_claim(harness.entries[0])
        assert isinstance(claim, Claim)
        harness.tables.lose_replies = 1
        harness.entries[0].finish(claim, Outcome.NOT_RUN)
        await harness.drain()
        assert isinstance(await try_claim(harness.entries[1]), Claim)


async def test_lost_reply(autojump_clock: trio.testing.MockClock) -> None:
    """A claim whose write got no reply is granted exactly once, and its outcome is written."""
    async with run_entries() as harness:
        harness.tables.lose_replies = 1
        claim = await try_claim(harness.entries[0])
        assert isinstance(claim, Claim)
        assert describe(await try_claim(harness.entries[1])) == ('claim-exists', 'unknown')
        harness.tables.lose_replies = 1
        harness.entries[0].finish(claim, Outcome.ANSWERED)
        await harness.drain()
        assert describe(await try_claim(harness.entries[1])) == ('claim-exists', 'answered')


async def test_store_down(autojump_clock: trio.testing.MockClock) -> None:
    """A request is refused while the store is down, and no row is left behind afterwards."""
    async with run_entries() as harness:
        harness.tables.down = True
        assert describe(await try_claim(harness.entries[0])) == ('claim-unavailable', 'not-run')
        harness.tables.down = False
        await harness.drain()
        assert harness.tables.store.read_row(TABLE_CLAIMS, KEY) is None


async def test_given_up_claim_is_released(autojump_clock: trio.testing.MockClock) -> None:
    """A claim is released if its write takes effect after the request was refused.

    The store needs 6 s for the write, longer than a request waits for its claim.
    """
    async with run_entries() as harness:
        harness.tables.latency_s = 6
        assert describe(await try_claim(harness.entries[0])) == ('claim-unavailable', 'not-run')
        harness.tables.latency_s = 0.001
        await harness.entries[0].drain(60)
        assert harness.tables.store.read_row(TABLE_CLAIMS, KEY) is None


async def test_expired_claim(autojump_clock: trio.testing.MockClock) -> None:
    """After the retention time a key can be claimed again, by one entry only."""
    async with run_entries() as harness:
        await try_claim(harness.entries[0])
        harness.clock.advance(RETENTION_S + 1)
        results = [await try_claim(entry) for entry in harness.entries]
        assert isinstance(results[0], Claim)
        assert describe(results[1]) == ('claim-exists', 'unknown')


async def test_many_at_once(autojump_clock: trio.testing.MockClock) -> None:
    """800 concurrent claims of 200 keys grant each key once and take less than 100 transactions."""
    async with run_entries() as harness:
        results: list[Claim | Refusal] = []

        async def claim(index: int) -> None:
            entry = harness.entries[index % 2]
            results.append(await try_claim(entry, f'rosters/{index // 4}'))

        async with trio.open_nursery() as nursery:
            for index in range(800):
                nursery.start_soon(claim, index)
        assert sum(isinstance(result, Claim) for result in results) == 200
        assert len(results) == 800
        assert max(harness.tables.group_sizes) <= 64
        assert len(harness.tables.group_sizes) < 100
