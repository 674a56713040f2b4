"""Maintenance waves in a fleet of real processes, undisturbed and with failures."""

import time

import httpcore
import pytest

from bench.caller_load import CallerLoad
from bench.fleet import Fleet, wait_until
from bench.wave_watch import WaveWatch
from tests.helpers.maintenance import POOL, make_plan, was_maintained

WORK_PATH = '/queues/rebuild/work?duration_s=0.1'
# Longer than the polls and ticks between a draining row and the reboot, about 1 s here, so that
# a stop which does not wait for the work would cut it off.
LONG_WORK_PATH = '/queues/rebuild/work?duration_s=1.6'
WAVE_TIMEOUT_S = 25
CALLERS_COUNT = 8
LEAVING_LIMIT_S = 2


def make_load(fleet: Fleet, spared_entry: int | None = None, path: str = WORK_PATH) -> CallerLoad:
    """Return load on all entries but one."""
    addresses = [
        address for index, address in enumerate(fleet.caller_addresses) if index != spared_entry
    ]
    return CallerLoad(addresses, path, fleet.keys['timetables'], CALLERS_COUNT)


def wait_for_stop(fleet: Fleet) -> None:
    """Wait until the wave has begun to stop a VM."""
    wait_until(
        lambda: any(row['state'] != 'active' for row in fleet.read_table('vms').values()),
        'the first planned stop',
    )


def count_running(fleet: Fleet) -> int:
    """Return how many requests run at the executors."""
    return sum(fleet.read_run_log()['running'].values())


def check_undisturbed(fleet: Fleet, load: CallerLoad) -> None:
    """Check that requests were answered and that no reboot cut one off."""
    assert [reboot for reboot in fleet.read_reboots() if reboot['interrupted'] != 0] == []
    assert not load.outcomes['unknown'], load.outcomes
    assert load.outcomes['answered'] > 10


def test_reboot_without_drain_is_noticed() -> None:
    """Guards against stand-ins that would not notice a request cut off by a reboot."""
    with Fleet(make_plan(1, 1, period_s=100)) as fleet, make_load(fleet, path=LONG_WORK_PATH):
        wait_until(lambda: count_running(fleet) > 0, 'running requests')
        reply = httpcore.request('POST', f'http://{fleet.platform_address}/v1/vms/{POOL}-0/reboot')
        assert reply.status == 202
        assert fleet.read_reboots()[0]['interrupted'] > 0


def test_stopped_holder_hands_over() -> None:
    """Guards against a pool without control after the graceful stop of its holder."""
    plan = make_plan(1, 1, period_s=100)
    plan.timings['control_ttl_s'] = 60
    with Fleet(plan) as fleet:
        holder = fleet.find_holder(POOL)
        assert holder is not None
        assert fleet.entries[holder].stop() == 0
        wait_until(lambda: fleet.find_holder(POOL) not in {None, holder}, 'another holder')


def test_wave_under_load() -> None:
    """Guards against requests cut off by a wave, and fewer VMs at any moment than required."""
    with Fleet(make_plan(6, 3)) as fleet:
        load = make_load(fleet, path=LONG_WORK_PATH)
        with load, WaveWatch(fleet, POOL) as watch:
            wait_until(lambda: was_maintained(fleet), 'the whole wave', WAVE_TIMEOUT_S)
        check_undisturbed(fleet, load)
        assert watch.find_lowest() >= 3
        assert max(sample.stops for sample in watch.samples) == 3
        assert set(load.outcomes) == {'answered'}


@pytest.mark.parametrize('frozen', (False, True))
def test_holder_lost_in_wave(frozen: bool) -> None:
    """Guards against a wave that stays behind, or goes too far, when its holder dies or pauses."""
    with Fleet(make_plan(4, 2)) as fleet:
        holder = fleet.find_holder(POOL)
        assert holder is not None
        with make_load(fleet, holder, LONG_WORK_PATH) as load, WaveWatch(fleet, POOL) as watch:
            wait_for_stop(fleet)
            entry = fleet.entries[holder]
            entry.freeze() if frozen else entry.kill()
            wait_until(lambda: fleet.find_holder(POOL) not in {None, holder}, 'another holder')
            if frozen:
                entry.thaw()
            wait_until(lambda: was_maintained(fleet), 'the whole wave', WAVE_TIMEOUT_S)
        check_undisturbed(fleet, load)
        assert watch.find_lowest() >= 2


STORE_FAULTS = (
    ('down', {'down': True}),
    ('slow, with lost replies', {'latency_s': 0.3, 'lose_replies': 4}),
    ('silent connections', {'silence_open_connections': True}),
)


@pytest.mark.parametrize(('name', 'faults'), STORE_FAULTS)
def test_store_fails_in_wave(name: str, faults: dict[str, object]) -> None:
    """Guards against a wave that forgets a VM or stops one twice after the store has failed."""
    with Fleet(make_plan(4, 2)) as fleet:
        with make_load(fleet) as load, WaveWatch(fleet, POOL) as watch:
            wait_for_stop(fleet)
            fleet.set_platform_faults(**faults)
            # Shorter than fresh_s, so that requests go on.
            time.sleep(1)
            fleet.set_platform_faults()
            wait_until(lambda: was_maintained(fleet), 'the whole wave', WAVE_TIMEOUT_S)
        check_undisturbed(fleet, load)
        assert watch.find_lowest() >= 2


def test_rack_fails_in_wave() -> None:
    """Guards against a wave that goes on after a failure, and against lacking VMs not replaced."""
    with Fleet(make_plan(6, 2, spares=2, tolerate='rack')) as fleet:
        rack = f'{POOL}-rack-2'
        target = next(process for process in fleet.targets if process.name == rack)
        with WaveWatch(fleet, POOL) as watch:
            wait_for_stop(fleet)
            watch.dead_racks.add(rack)
            target.kill()
            wait_until(lambda: watch.samples[-1].wave == 'paused', 'a paused wave')
            wait_until(lambda: watch.samples[-1].borrowed > 0, 'a spare VM moved in')
            with make_load(fleet) as load:
                wait_until(lambda: load.outcomes['answered'] > 40, 'requests that are answered')
            assert watch.samples[-1].stops == 0
            target.start()
            watch.dead_racks.clear()
            wait_until(lambda: watch.samples[-1].stops > 0, 'a wave that goes on')
        check_undisturbed(fleet, load)
        assert set(load.outcomes) == {'answered'}
        assert watch.find_lowest() >= 3
        # One spare VM is enough for the budget, so the other one must not have moved.
        assert max(sample.borrowed for sample in watch.samples) == 1


def test_lagging_list() -> None:
    """Guards against a VM that is back at work, or stopped again, because the list is old."""
    plan = make_plan(4, 2)
    plan.vm_list_lag_s = 1.5
    with Fleet(plan) as fleet:
        with make_load(fleet) as load, WaveWatch(fleet, POOL) as watch:
            wait_until(lambda: was_maintained(fleet), 'the whole wave', WAVE_TIMEOUT_S)
        check_undisturbed(fleet, load)
        assert watch.find_lowest() >= 2


def test_leaving_vm_gets_no_work() -> None:
    """Guards against new work for a VM that is leaving, later than list lag and polls allow."""
    with Fleet(make_plan(4, 1, period_s=100)) as fleet, make_load(fleet):
        name = fleet.vms[0]['name']
        fleet.set_vms(
            [{**vm, 'state': 'leaving' if vm['name'] == name else 'live'} for vm in fleet.vms]
        )
        # The list lags 0.2 s and is polled every 0.2 s; running work takes 0.1 s.
        wait_until(lambda: is_left_alone(fleet), 'no work on the leaving VM', LEAVING_LIMIT_S)
        runs = count_runs(fleet, 0)
        others = count_runs(fleet, 1)
        wait_until(lambda: count_runs(fleet, 1) > others + 10, 'work elsewhere')
        assert count_runs(fleet, 0) == runs


def is_left_alone(fleet: Fleet) -> bool:
    """Return whether no entry uses the first VM and no work runs there."""
    usable = [
        pool['usable_vms']
        for entry in range(fleet.plan.entries_count)
        for pool in fleet.call_operator('GET', '/v1/pools', entry=entry)['pools']
        if pool['name'] == POOL
    ]
    running = sum(fleet.read_run_log(0)['running'].values())
    return set(usable) == {3} and running == 0


def count_runs(fleet: Fleet, vm_index: int) -> int:
    """Return the number of runs on a VM that has a rack of its own."""
    return sum(fleet.read_run_log(vm_index)['runs'].values())
