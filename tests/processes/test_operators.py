"""Operators who race, and replies of the store that are lost."""

import itertools
from concurrent.futures import ThreadPoolExecutor

import pytest

from bench.fleet import Fleet, wait_until
from comfreywind.errors import ComfreywindError, OperationRefusedError
from tests.helpers.versions import (
    make_bundle,
    obeys_version,
    read_problem,
    wait_in_force,
    wait_withdrawn,
    withdraw_key,
)

RACES = 5
# A version that lost a race exists but is not in force, so numbers are never taken twice.
NEW_VERSIONS = itertools.count(10)


def try_roll_out(fleet: Fleet, version: int, entry: int) -> str:
    """Roll out a prepared version through an entry and return what became of it."""
    try:
        fleet.call_operator('POST', f'/v1/bundles/{version}/roll-out', entry=entry)
    except OperationRefusedError:
        return 'refused'
    return 'accepted'


def read_version(fleet: Fleet, entry: int = 0) -> int:
    """Return the version in force on an entry."""
    return int(fleet.call_operator('GET', '/v1/status', entry=entry)['bundle_version'])


def test_race_for_one_version(fleet: Fleet) -> None:
    """Guards against two operators who are both told that they rolled out the same version."""
    for _ in range(RACES):
        version = next(NEW_VERSIONS)
        fleet.prepare_version(version, make_bundle(version))
        with ThreadPoolExecutor(3) as operators:
            results = list(
                operators.map(lambda entry: try_roll_out(fleet, version, entry), range(3))
            )
        assert sorted(results) == ['accepted', 'refused', 'refused']
        wait_until(lambda: read_version(fleet) == version, 'the version')


def test_race_of_two_versions(fleet: Fleet) -> None:
    """Guards against a lower version that is accepted, or put into force, after a higher one."""
    for _ in range(RACES):
        old_version = read_version(fleet)
        first, second = next(NEW_VERSIONS), next(NEW_VERSIONS)
        versions = (first, second)
        for version in versions:
            fleet.prepare_version(version, make_bundle(version))
        with ThreadPoolExecutor(2) as operators:
            results = list(
                operators.map(
                    lambda version: try_roll_out(fleet, version, version - first), versions
                )
            )
        assert 'accepted' in results
        accepted = max(
            version
            for version, result in zip(versions, results, strict=True)
            if result == 'accepted'
        )
        wait_in_force(fleet, accepted, old_version)
        assert {read_version(fleet, entry) for entry in range(3)} == {accepted}


@pytest.mark.parametrize('fault', [{'lose_replies': 1}, {'lose_replies': 2}], ids=['one', 'two'])
def test_roll_out_reply_lost(fleet: Fleet, fault: dict[str, object]) -> None:
    """Guards against a roll-out that took effect but is reported as failed, or not passed on."""
    old_version, version = read_version(fleet), next(NEW_VERSIONS)
    fleet.prepare_version(version, make_bundle(version))
    fleet.set_platform_faults(**fault)
    assert try_roll_out(fleet, version, entry=1) == 'accepted'
    fleet.set_platform_faults()
    wait_in_force(fleet, version, old_version)


def test_key_replies_lost(fleet: Fleet) -> None:
    """Guards against a key whose secret is lost with the reply, and a withdrawal not passed on."""
    fleet.set_platform_faults(lose_replies=1)
    key = fleet.grant_key('rosters')
    for entry in range(3):
        path = '/queues/rebuild/work'
        wait_until(lambda: read_problem(fleet, entry, path, key) == 'answered', 'the key')
    fleet.set_platform_faults(lose_replies=1)
    reply = withdraw_key(fleet, key, entry=2)
    assert reply['confirmed'] == ['entry-0', 'entry-1']
    assert reply['unconfirmed'] == []
    wait_withdrawn(fleet, key)


def test_store_down(fleet: Fleet) -> None:
    """Guards against a roll-out reported as done, or put into force, that the store never got."""
    old_version, version = read_version(fleet), next(NEW_VERSIONS)
    fleet.prepare_version(version, make_bundle(version))
    fleet.set_platform_faults(down=True)
    with pytest.raises(ComfreywindError, match='the platform gave no answer'):
        fleet.call_operator('POST', f'/v1/bundles/{version}/roll-out')
    fleet.set_platform_faults()
    assert obeys_version(fleet, 0, old_version, version)
    assert try_roll_out(fleet, version, entry=0) == 'accepted'
