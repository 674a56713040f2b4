"""Accepted versions and withdrawn keys reach every entry, with and without the store."""

from collections.abc import Iterator

import pytest

from bench.fleet import Fleet, wait_until
from bench.fleet_plan import FleetPlan
from tests.helpers.versions import (
    IN_FORCE_S,
    make_bundle,
    obeys_version,
    read_problem,
    wait_in_force,
    wait_withdrawn,
    withdraw_key,
)

STORE_FAULTS: tuple[dict[str, object], ...] = ({'down': True}, {'latency_s': 20})
LAST_ENTRY = 2


@pytest.fixture(scope='module', params=[True, False], ids=['push', 'feed only'])
def fleet(request: pytest.FixtureRequest) -> Iterator[Fleet]:
    """Run a fleet whose last entry can be cut off from the store, with and without the push."""
    plan = FleetPlan(relayed_entries=(LAST_ENTRY,), entry_settings={'push_changes': request.param})
    with Fleet(plan) as running_fleet:
        running_fleet.roll_out(2, make_bundle(2))
        yield running_fleet


@pytest.fixture(autouse=True)
def mend(fleet: Fleet) -> Iterator[None]:
    """Remove the faults after each test and wait until all entries have the newest view."""
    yield
    fleet.set_platform_faults()
    fleet.relays[LAST_ENTRY].cut()
    fleet.relays[LAST_ENTRY].mend()
    wait_until(lambda: have_read_store(fleet), 'reads of the store')


def have_read_store(fleet: Fleet) -> bool:
    """Return whether all entries are ready and know the same sequence."""
    statuses = [fleet.call_operator('GET', '/v1/status', entry=entry) for entry in range(3)]
    return len({(status['bundle_version'], status['fresh']) for status in statuses}) == 1


def roll_out_next(fleet: Fleet) -> int:
    """Roll out one version above the one in force on the first entry and return it."""
    version = int(fleet.call_operator('GET', '/v1/status')['bundle_version']) + 1
    fleet.roll_out(version, make_bundle(version))
    return version


def test_calm(fleet: Fleet) -> None:
    """Guards against a version or a withdrawal that is late on some entry."""
    key = fleet.grant_key('rosters')
    version = roll_out_next(fleet)
    wait_in_force(fleet, version, version - 1)
    withdraw_key(fleet, key)
    wait_withdrawn(fleet, key)


@pytest.mark.parametrize('fault', STORE_FAULTS, ids=['down', 'slow'])
def test_store_lost_after_change(fleet: Fleet, fault: dict[str, object]) -> None:
    """Guards against a change that an entry misses because the store fails right after it.

    The last entry is cut off from the store before, so it can learn of the change from peers only.
    """
    key = fleet.grant_key('rosters')
    wait_until(
        lambda: read_problem(fleet, LAST_ENTRY, '/queues/rebuild/work', key) == 'answered', 'key'
    )
    fleet.relays[LAST_ENTRY].cut()
    version = roll_out_next(fleet)
    withdraw_key(fleet, key)
    fleet.set_platform_faults(**fault)
    wait_in_force(fleet, version, version - 1)
    wait_withdrawn(fleet, key)


def test_entry_without_store_keeps_serving(fleet: Fleet) -> None:
    """Guards against an entry that stops, or misses changes, when only it has lost the store."""
    fleet.relays[LAST_ENTRY].cut()
    for _ in range(3):
        version = roll_out_next(fleet)
        wait_until(
            lambda: obeys_version(fleet, LAST_ENTRY, version, version - 1), 'change', IN_FORCE_S
        )
    status = fleet.call_operator('GET', '/v1/status', entry=LAST_ENTRY)
    assert status['fresh']
    assert [member['bundle_version'] for member in status['members']] == [version, version]
