"""Tests maintenance waves in a fleet of real processes, with and without failures."""

import time

import httpcore
import pytest

from bench.caller_load import CallerLoad
from bench.fleet import Fleet, wait_until
from bench.wave_watch import WaveWatch
from tests.helpers.maintenance import POOL, make_plan, was_maintained

WORK_PATH = '/queues/rebuild/work?duration_s=0.1'
# Longer than the delay between the draining row and the reboot, which polls and control cycles make
# about 1 s here. A stop that does not wait for running requests would therefore interrupt them.
LONG_WORK_PATH = '/queues/rebuild/work?duration_s=1.6'
WAVE_TIMEOUT_S = 25
CALLERS_COUNT = 8
LEAVING_TIMEOUT_S = 2


def make_load(fleet: Fleet, excluded_entry: int | None = None, path: str = WORK_PATH) -> CallerLoad:
    """Return load on all entries except the excluded one."""
    addresses = [
        address for index, address in enumerate(fleet.caller_addresses) if index != excluded_entry
    ]
    return CallerLoad(addresses, path, fleet.keys['timetables'], CALLERS_COUNT)


def wait_for_stop(fleet: Fleet) -> None:
    """Wait until the wave has started to drain a VM."""
    wait_until(
        lambda: any(row['state'] != 'active' for row in fleet.read_table('vms').values()),
        'the first planned stop',
    )


def count_running(fleet: Fleet) -> int:
    """Return the number of requests that run on the executors."""
    return sum(fleet.read_run_log()['running'].values())


def check_no_interruptions(fleet: Fleet, load: CallerLoad) -> None:
    """Check that requests were answered and that no reboot interrupted one."""
    assert [reboot for reboot in fleet.read_reboots() if reboot['interrupted'] != 0] == []
    assert not load.outcomes['unknown'], load.outcomes
    assert load.outcomes['answered'] > 10


def test_reboot_without_drain_is_noticed() -> None:
    """The stand-ins report requests that a reboot interrupts.

    If they did not, the other tests would pass although a stop interrupts requests.
    """
    with Fleet(make_plan(1, 1, period_s=100)) as fleet, make_load(fleet, path=LONG_WORK_PATH):
        wait_until(lambda: count_running(fleet) > 0, 'running requests')
        reply = httpcore.request('POST', f'http://{fleet.platform_address}/v1/vms/{POOL}-0/reboot')
        assert reply.status == 202
        assert fleet.read_reboots()[0]['interrupted'] > 0


def test_stopped_holder_hands_over() -> None:
    """Another entry takes the control lease after the graceful stop of its holder.

    Without a release, the pool would have no holder until the lease lapses, here after 60 s.
    """
    plan = make_plan(1, 1, period_s=100)
    plan.timings['control_ttl_s'] = 60
    with Fleet(plan) as fleet:
        holder = fleet.find_holder(POOL)
        assert holder is not None
        assert fleet.entries[holder].stop() == 0
        wait_until(lambda: fleet.find_holder(POOL) not in {None, holder}, 'another holder')


def test_wave_under_load() -> None:
    """A wave interrupts no request and always leaves the required number of VMs available.

    It would interrupt requests if it rebooted a VM before the work on it has ended.
    """
    with Fleet(make_plan(6, 3)) as fleet:
        load = make_load(fleet, path=LONG_WORK_PATH)
        with load, WaveWatch(fleet, POOL) as watch:
            wait_until(lambda: was_maintained(fleet), 'the whole wave', WAVE_TIMEOUT_S)
        check_no_interruptions(fleet, load)
        assert watch.find_lowest() >= 3
        assert max(sample.stops for sample in watch.samples) == 3
        assert set(load.outcomes) == {'answered'}


@pytest.mark.parametrize('frozen', (False, True))
def test_holder_lost_in_wave(frozen: bool) -> None:
    """Another entry completes the wave after its holder was killed or frozen.

    The wave could stop for good, or the thawed holder could stop VMs beyond the budget.
    """
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
        check_no_interruptions(fleet, load)
        assert watch.find_lowest() >= 2


STORE_FAULTS = (
    ('down', {'down': True}),
    ('slow, with lost replies', {'latency_s': 0.3, 'lose_replies': 4}),
    ('silent connections', {'silence_open_connections': True}),
)


@pytest.mark.parametrize(('name', 'faults'), STORE_FAULTS)
def test_store_fails_in_wave(name: str, faults: dict[str, object]) -> None:
    """A wave is completed although the store fails for a second.

    After lost replies, the holder could leave a VM in the middle of its stop or stop it twice.
    """
    with Fleet(make_plan(4, 2)) as fleet:
        with make_load(fleet) as load, WaveWatch(fleet, POOL) as watch:
            wait_for_stop(fleet)
            fleet.set_platform_faults(**faults)
            # Shorter than fresh_s, after which the entries would reject requests.
            time.sleep(1)
            fleet.set_platform_faults()
            wait_until(lambda: was_maintained(fleet), 'the whole wave', WAVE_TIMEOUT_S)
        check_no_interruptions(fleet, load)
        assert watch.find_lowest() >= 2


def test_rack_fails_in_wave() -> None:
    """A failed rack pauses the wave until it is back, and a spare VM replaces a failed one.

    The wave could stop further VMs although the failure has broken the budget, or the pool could
    stay short of VMs.
    """
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
        check_no_interruptions(fleet, load)
        assert set(load.outcomes) == {'answered'}
        assert watch.find_lowest() >= 3
        # One spare VM is enough for the budget, so the other must not have moved.
        assert max(sample.borrowed for sample in watch.samples) == 1


def test_lagging_list() -> None:
    """A VM list that lags behind does not mislead the wave.

    The list still shows a rebooting VM as live with its old incarnation, so the VM could be used
    too early or rebooted again.
    """
    plan = make_plan(4, 2)
    plan.vm_list_lag_s = 1.5
    with Fleet(plan) as fleet:
        with make_load(fleet) as load, WaveWatch(fleet, POOL) as watch:
            wait_until(lambda: was_maintained(fleet), 'the whole wave', WAVE_TIMEOUT_S)
        check_no_interruptions(fleet, load)
        assert watch.find_lowest() >= 2


def test_leaving_vm_gets_no_work() -> None:
    """A leaving VM gets no new requests once the VM list shows its state.

    Entries that keep using it would lose requests when it disappears. The limit allows for the lag
    and the polls of the list.
    """
    with Fleet(make_plan(4, 1, period_s=100)) as fleet, make_load(fleet):
        name = fleet.vms[0]['name']
        fleet.set_vms(
            [{**vm, 'state': 'leaving' if vm['name'] == name else 'live'} for vm in fleet.vms]
        )
        # The list lags 0.2 s and is polled every 0.2 s; running work takes 0.1 s.
        wait_until(lambda: has_no_work(fleet), 'no work on the leaving VM', LEAVING_TIMEOUT_S)
        runs = count_runs(fleet, 0)
        other_runs = count_runs(fleet, 1)
        wait_until(lambda: count_runs(fleet, 1) > other_runs + 10, 'work elsewhere')
        assert count_runs(fleet, 0) == runs


def has_no_work(fleet: Fleet) -> bool:
    """Return whether no entry lists the first VM as usable and no request runs on it."""
    usable = [
        pool['usable_vms']
        for entry in range(fleet.plan.entries_count)
        for pool in fleet.call_operator('GET', '/v1/pools', entry=entry)['pools']
        if pool['name'] == POOL
    ]
    running = sum(fleet.read_run_log(0)['running'].values())
    return set(usable) == {3} and running == 0


def count_runs(fleet: Fleet, vm_index: int) -> int:
    """Return the number of runs on the VM, which must be the only one in its rack."""
    return sum(fleet.read_run_log(vm_index)['runs'].values())
