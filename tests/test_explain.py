"""Explanations: the decision log, its objects and the commands that print them."""

import random
from typing import Any, cast

import pytest

from bench.caller import call_entry
from bench.fleet import OPERATOR_TOKEN, Fleet, wait_until
from bench.fleet_plan import FleetPlan
from comfreywind.errors import ObjectMissingError, StoreUnavailableError
from comfreywind.exit_status import ExitStatus
from comfreywind.report.decision_log import DecisionLog
from comfreywind.report.decision_store import OBJECTS_PER_ENTRY, DecisionStore
from tests.helpers.fake_platform import FakePlatform
from tests.helpers.maintenance import POOL, make_plan, was_maintained
from tests.helpers.manual_clock import ManualClock
from tests.helpers.program import ProgramResult, run_program


class FakeTables:
    """The table service of the fake platform with the reads that the store needs."""

    def __init__(self, platform: FakePlatform) -> None:
        """Use the platform."""
        self._platform = platform
        self.commit = platform.commit

    async def read_row(self, table: str, key: str) -> Any:
        """Return the row or None."""
        rows = self._platform.read_now(0, [table]).rows
        return next((row for row in rows if row.key == key), None)

    async def read_changes(self, after_sequence: int, tables: list[str]) -> Any:
        """Return the changes."""
        return self._platform.read_now(after_sequence, tables)


class FakeObjects:
    """Objects in memory; writes fail while `down`."""

    def __init__(self) -> None:
        """Start empty."""
        self.objects: dict[str, object] = {}
        self.down = False

    async def write(self, name: str, document: object) -> None:
        """Write an object."""
        if self.down:
            raise StoreUnavailableError(name)
        self.objects[name] = document

    async def read(self, name: str) -> object:
        """Return an object."""
        if name not in self.objects:
            raise ObjectMissingError(name)
        return self.objects[name]


def make_store(
    entry: str, log: DecisionLog, platform: FakePlatform, objects: FakeObjects
) -> DecisionStore:
    """Return a store of an entry's decisions."""
    return DecisionStore(entry, log, cast(Any, FakeTables(platform)), cast(Any, objects))


async def test_flush_is_bounded() -> None:
    """Guards against objects without bound, lost decisions, and a restart that overwrites newer ones."""
    platform = FakePlatform((), random.Random(0), fault_ratio=0)
    objects = FakeObjects()
    log = DecisionLog(ManualClock())
    for number in range(OBJECTS_PER_ENTRY + 10):
        log.record('stop', 'vm/a', f'cause {number}')
        # A new store each time stands for an entry that was restarted.
        await make_store('entry-0', log, platform, objects).flush()
    assert len(objects.objects) == OBJECTS_PER_ENTRY
    found, complete = await make_store('entry-1', log, platform, objects).find('vm/a')
    causes = {record['cause'] for record in found}
    assert complete
    assert causes == {f'cause {number}' for number in range(10, OBJECTS_PER_ENTRY + 10)}


async def test_failed_flush_is_repeated() -> None:
    """Guards against decisions that are lost because the object store was down."""
    platform = FakePlatform((), random.Random(0), fault_ratio=0)
    objects = FakeObjects()
    log = DecisionLog(ManualClock(), capacity_records=3)
    store = make_store('entry-0', log, platform, objects)
    objects.down = True
    for number in range(5):
        log.record('stop', 'vm/a', f'cause {number}')
        log.record('request', 'request/1', 'answered')
        await store.flush()
    objects.down = False
    await store.flush()
    await store.flush()
    found, _ = await store.find('vm/a')
    assert [record['cause'] for record in found] == ['cause 2', 'cause 3', 'cause 4']
    assert len(objects.objects) == 1
    assert len(log.find('request/1')) == 3


def run_operator(fleet: Fleet, entry: int, *args: str) -> ProgramResult:
    """Run a command against an entry."""
    address = fleet.operator_addresses[entry]
    return run_program(*args, '--entry', address, '--token', OPERATOR_TOKEN)


def test_explain_from_any_entry() -> None:
    """Guards against decisions that only the deciding entry can tell, or that end with it."""
    with Fleet(make_plan(2, 1)) as fleet:
        wait_until(lambda: was_maintained(fleet), 'the whole wave')
        holder = fleet.find_holder(POOL)
        assert holder is not None
        other = (holder + 1) % 3
        name = f'{POOL}-0'
        explained = run_operator(fleet, other, 'explain', 'vm', name).stdout
        for text in ('stop: maintenance is due', 'reboot: the VM is drained', 'required 1'):
            assert text in explained, explained
        assert f'entry-{holder}' in explained
        pools = run_operator(fleet, other, 'show', 'pools').stdout.splitlines()
        assert pools[0].split()[:5] == ['pool', 'vms', 'available', 'required', 'tolerated']
        assert pools[1].split()[:2] == [POOL, '2']
        assert 'reserve (spare)' in pools[2]
        vms = run_operator(fleet, other, 'show', 'vms').stdout
        assert name in vms
        # Decisions are flushed every second here.
        wait_until(lambda: 'written' in str(fleet.read_table('decisions')), 'a flush')
        wait_until(
            lambda: fleet.read_table('decisions').get(f'entry-{holder}', {}).get('written', 0) > 2,
            'flushed decisions of the holder',
        )
        fleet.entries[holder].kill()
        again = run_operator(fleet, other, 'explain', 'vm', name).stdout
        assert 'stop: maintenance is due' in again, again
        unknown = run_operator(fleet, other, 'explain', 'team', 'nobody')
        assert 'no decision about it is known' in unknown.stdout


@pytest.mark.parametrize('kind', ('vm', 'request', 'team', 'pool'))
def test_unreachable_entry(kind: str) -> None:
    """Guards against a traceback when the entry can't be reached."""
    result = run_program('explain', kind, 'a', '--entry', '127.0.0.1:1', '--token', 'none')
    assert result.exit_status == ExitStatus.UNREACHABLE


def test_explain_request() -> None:
    """Guards against a request that no entry can tell about afterwards."""
    with Fleet(FleetPlan(entries_count=2)) as fleet:
        headers = {'x-request-id': 'crossing-7'}
        call_entry(fleet.caller_addresses[0], '/queues/notices/work', headers=headers)
        explanation = fleet.call_operator('GET', '/v1/explain/request/crossing-7', entry=1)
        assert 'answered' in str(explanation)
        assert 'notices' in str(explanation)
