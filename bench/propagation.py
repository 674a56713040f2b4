"""Measures how fast changes are in force on every entry, and what the entries cost at rest.

`python -m bench.propagation changes` and `python -m bench.propagation rest` print one JSON line for
each measurement.
"""

import copy
import json
import statistics
import sys
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import httpcore
import psutil

from bench.fleet import Fleet
from bench.fleet_plan import DEFAULT_BUNDLE, FleetPlan

CHANGES_COUNT = 25
ENTRIES_COUNT = 5
REST_ENTRIES_COUNTS = (3, 6, 9)
SETTLE_S = 5
REST_S = 20
POLL_S = 0.005
LIMIT_S = 10
STATUS_OK = 200


def main(arguments: list[str]) -> int:
    """Run the measurement that the argument names and return the exit status."""
    if arguments == ['changes']:
        for push in (True, False):
            print_line(measure_changes(push))
        return 0
    if arguments == ['rest']:
        for entries_count in REST_ENTRIES_COUNTS:
            print_line(measure_rest(entries_count))
        return 0
    sys.stderr.write(f'{__doc__}\n')
    return 2


def measure_changes(push: bool) -> dict[str, Any]:
    """Return the seconds from an operator's call until the last entry obeys, over all changes."""
    bundle = copy.deepcopy(DEFAULT_BUNDLE)
    bundle['teams']['public']['ceiling_units'] = 10 * ENTRIES_COUNT
    plan = FleetPlan(
        entries_count=ENTRIES_COUNT, bundle=bundle, entry_settings={'push_changes': push}
    )
    with Fleet(plan) as fleet:
        roll_outs_s = [measure_roll_out(fleet, version + 2) for version in range(CHANGES_COUNT)]
        withdrawals_s = [measure_withdrawal(fleet) for _ in range(CHANGES_COUNT)]
    return {
        'push': push,
        'entries': ENTRIES_COUNT,
        'roll_out_s': summarise(roll_outs_s),
        'withdrawal_s': summarise(withdrawals_s),
    }


def measure_roll_out(fleet: Fleet, version: int) -> float:
    """Roll out a version with a new queue; return the seconds until the last entry serves it."""
    queue = f'v{version}'
    bundle = copy.deepcopy(fleet.plan.bundle)
    bundle['queues'][queue] = {'pool': 'crossings', 'open': True, 'open_team': 'public'}
    fleet.prepare_version(version, bundle)
    return measure_change(
        fleet,
        lambda: fleet.call_operator('POST', f'/v1/bundles/{version}/roll-out'),
        f'/queues/{queue}/work',
        lambda status: status == STATUS_OK,
    )


def measure_withdrawal(fleet: Fleet) -> float:
    """Withdraw a key; return the seconds until the last entry refuses it."""
    key = fleet.grant_key('rosters')
    path = '/queues/rebuild/work'
    measure_change(fleet, lambda: None, path, lambda status: status == STATUS_OK, key)
    return measure_change(
        fleet,
        lambda: fleet.call_operator('DELETE', f'/v1/keys/{key.split("_")[1]}'),
        path,
        lambda status: status == 401,
        key,
    )


def measure_change(
    fleet: Fleet,
    make_change: Callable[[], object],
    path: str,
    is_obeyed: Callable[[int], bool],
    key: str = '',
) -> float:
    """Return the seconds from the start of the change until each entry has obeyed once."""
    headers = [('authorization', f'Bearer {key}')] if key else []
    started_s = time.monotonic()

    def wait_for_entry(address: str) -> float:
        with httpcore.ConnectionPool() as pool:
            while time.monotonic() < started_s + LIMIT_S:
                status = pool.request('GET', f'http://{address}{path}', headers=headers).status
                if is_obeyed(status):
                    return time.monotonic() - started_s
                time.sleep(POLL_S)
        raise TimeoutError(f'{address} does not obey after {LIMIT_S} s')

    with ThreadPoolExecutor(len(fleet.caller_addresses)) as observers:
        changer = threading.Thread(target=make_change)
        changer.start()
        seconds = list(observers.map(wait_for_entry, fleet.caller_addresses))
    changer.join()
    return max(seconds)


def measure_rest(entries_count: int) -> dict[str, Any]:
    """Return processor share, bytes a second and memory of an entry without callers."""
    plan = FleetPlan(entries_count=entries_count, relayed_entries=tuple(range(entries_count)))
    with Fleet(plan) as fleet:
        time.sleep(SETTLE_S)
        before = [read_usage(fleet, entry) for entry in range(entries_count)]
        started_s = time.monotonic()
        time.sleep(REST_S)
        elapsed_s = time.monotonic() - started_s
        after = [read_usage(fleet, entry) for entry in range(entries_count)]
    rates = {
        name: [(new[name] - old[name]) / elapsed_s for old, new in zip(before, after, strict=True)]
        for name in ('cpu_s', 'peer_sent_bytes', 'platform_bytes')
    }
    return {
        'entries': entries_count,
        'seconds': round(elapsed_s, 1),
        'cpu_percent': summarise([100 * rate for rate in rates['cpu_s']]),
        'peer_sent_bytes_per_s': summarise(rates['peer_sent_bytes']),
        'platform_bytes_per_s': summarise(rates['platform_bytes']),
        'memory_mb': summarise([usage['memory_bytes'] / 1_000_000 for usage in after]),
    }


def read_usage(fleet: Fleet, entry: int) -> dict[str, float]:
    """Return what an entry has used since its start."""
    process = psutil.Process(fleet.entries[entry].pid)
    cpu_times = process.cpu_times()
    return {
        'cpu_s': cpu_times.user + cpu_times.system,
        'peer_sent_bytes': fleet.call_operator('GET', '/v1/status', entry=entry)['peer_sent_bytes'],
        'platform_bytes': fleet.relays[entry].passed_bytes,
        'memory_bytes': process.memory_info().rss,
    }


def summarise(values: list[float]) -> dict[str, float]:
    """Return the count, the median and the extremes."""
    return {
        'count': len(values),
        'lowest': round(min(values), 3),
        'median': round(statistics.median(values), 3),
        'highest': round(max(values), 3),
    }


def print_line(result: dict[str, Any]) -> None:
    """Print a result as one JSON line."""
    sys.stdout.write(f'{json.dumps(result)}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
