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
class Rig:
    """Two entries with one store."""

    tables: MemoryTables = field(default_factory=MemoryTables)
    clock: ManualClock = field(default_factory=ManualClock)
    entries: list[Claims] = field(default_factory=list)

    async def wait_settled(self) -> None:
        """Wait until every end of a claim is written."""
        for entry in self.entries:
            await entry.drain(10)


@asynccontextmanager
async def run_entries() -> AsyncIterator[Rig]:
    """Run two entries; the trio clock jumps ahead when nothing else is to do."""
    rig = Rig()
    network: dict[str, FakeHub] = {}
    async with trio.open_nursery() as nursery:
        for name in ('entry-0', 'entry-1'):
            hub = FakeHub(name, network)
            services = ServiceTasks()
            await nursery.start(services.run)
            claims = Claims(rig.tables, hub.identity, services, rig.clock, RETENTION_S, hub)  # type: ignore[arg-type]
            nursery.start_soon(claims.run)
            rig.entries.append(claims)
        yield rig
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
    """Guards against a second run of a key, or a repeat that is told the wrong outcome."""
    async with run_entries() as rig:
        claim = await try_claim(rig.entries[0])
        assert isinstance(claim, Claim)
        if outcome is not None:
            rig.entries[0].finish(claim, outcome)
            await rig.wait_settled()
        assert describe(await try_claim(rig.entries[entry])) == expected


async def test_owner_is_asked(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a repeat that is not told what the owner knows but has not written yet."""
    async with run_entries() as rig:
        claim = await try_claim(rig.entries[0])
        assert isinstance(claim, Claim)
        claim.outcome = Outcome.ANSWERED
        assert describe(await try_claim(rig.entries[1])) == ('claim-exists', 'answered')


async def test_other_request(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a key that is taken over by a request with another path or body."""
    async with run_entries() as rig:
        await try_claim(rig.entries[0])
        refused = await try_claim(rig.entries[1], fingerprint='g')
        assert describe(refused) == ('idempotency-key-reused', 'not-run')


async def test_release(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a key that stays taken although its request has not run."""
    async with run_entries() as rig:
        claim = await try_claim(rig.entries[0])
        assert isinstance(claim, Claim)
        rig.tables.lose_replies = 1
        rig.entries[0].finish(claim, Outcome.NOT_RUN)
        await rig.wait_settled()
        assert isinstance(await try_claim(rig.entries[1]), Claim)


async def test_lost_reply(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a claim refused, or granted twice, when the reply to its write is lost."""
    async with run_entries() as rig:
        rig.tables.lose_replies = 1
        claim = await try_claim(rig.entries[0])
        assert isinstance(claim, Claim)
        assert describe(await try_claim(rig.entries[1])) == ('claim-exists', 'unknown')
        rig.tables.lose_replies = 1
        rig.entries[0].finish(claim, Outcome.ANSWERED)
        await rig.wait_settled()
        assert describe(await try_claim(rig.entries[1])) == ('claim-exists', 'answered')


async def test_store_down(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a run without a claim, and a claim that is left behind after a refusal."""
    async with run_entries() as rig:
        rig.tables.down = True
        assert describe(await try_claim(rig.entries[0])) == ('claim-unavailable', 'not-run')
        rig.tables.down = False
        await rig.wait_settled()
        assert rig.tables.store.read_row(TABLE_CLAIMS, KEY) is None


async def test_given_up_claim_is_released(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a claim that lands after its request was refused, and stays for ever."""
    async with run_entries() as rig:
        rig.tables.latency_s = 6
        assert describe(await try_claim(rig.entries[0])) == ('claim-unavailable', 'not-run')
        rig.tables.latency_s = 0.001
        await rig.entries[0].drain(60)
        assert rig.tables.store.read_row(TABLE_CLAIMS, KEY) is None


async def test_expired_claim(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a key that can never be used again."""
    async with run_entries() as rig:
        await try_claim(rig.entries[0])
        rig.clock.advance(RETENTION_S + 1)
        results = [await try_claim(entry) for entry in rig.entries]
        assert isinstance(results[0], Claim)
        assert describe(results[1]) == ('claim-exists', 'unknown')


async def test_many_at_once(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a write per claim, and against one key granted twice within a group."""
    async with run_entries() as rig:
        results: list[Claim | Refusal] = []

        async def claim(index: int) -> None:
            entry = rig.entries[index % 2]
            results.append(await try_claim(entry, f'rosters/{index // 4}'))

        async with trio.open_nursery() as nursery:
            for index in range(800):
                nursery.start_soon(claim, index)
        assert sum(isinstance(result, Claim) for result in results) == 200
        assert len(results) == 800
        assert max(rig.tables.group_sizes) <= 64
        assert len(rig.tables.group_sizes) < 100
