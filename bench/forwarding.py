"""Measures what an entry adds to a request: latency, requests a second and where the time goes."""

import multiprocessing
import os
import pstats
import sys
import time
from http.client import HTTPConnection
from multiprocessing.pool import Pool
from pathlib import Path
from typing import Any

import click
import httpcore
from hdrh.histogram import HdrHistogram

from bench.fleet import Fleet
from bench.fleet_plan import FleetPlan

LATENCY_REQUESTS = 2000
WARM_UP_REQUESTS = 200
CLIENT_PROCESSES = 4
CLIENT_SECONDS = 5
HIGHEST_US = 10_000_000
TEAM = 'rosters'


def measure_latency(address: str, path: str, key: str) -> HdrHistogram:
    """Return the latencies in microseconds of sequential requests over one httpcore connection."""
    histogram = HdrHistogram(1, HIGHEST_US, 3)
    headers = [(b'authorization', f'Bearer {key}'.encode()), (b'x-request-id', b'latency')]
    with httpcore.ConnectionPool() as pool:
        for index in range(LATENCY_REQUESTS + WARM_UP_REQUESTS):
            started_s = time.perf_counter()
            reply = pool.request('GET', f'http://{address}{path}', headers=headers)
            taken_us = int((time.perf_counter() - started_s) * 1_000_000)
            if reply.status != 200:
                raise RuntimeError(f'status {reply.status}: {reply.content!r}')
            if index >= WARM_UP_REQUESTS:
                histogram.record_value(taken_us)
    return histogram


def load_entry(address: str, path: str, key: str) -> tuple[int, int]:
    """Send requests on one connection for a fixed time; return the counts of 200 and of others."""
    host, _, port = address.rpartition(':')
    connection = HTTPConnection(host, int(port), timeout=10)
    answered = 0
    other = 0
    end_s = time.monotonic() + CLIENT_SECONDS
    while time.monotonic() < end_s:
        connection.request('GET', path, headers={'authorization': f'Bearer {key}'})
        reply = connection.getresponse()
        reply.read()
        answered += reply.status == 200
        other += reply.status != 200
    connection.close()
    return answered, other


def read_cpu_s(pid: int) -> float:
    """Return the CPU time in seconds that the process has used so far."""
    fields = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8').rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def measure_throughput(fleet: Fleet, path: str, clients: Pool) -> dict[str, Any]:
    """Return requests a second through one entry with the CPU time of the entry for each."""
    pid = fleet.entries[0].pid
    before_s = read_cpu_s(pid)
    client = (fleet.caller_addresses[0], path, fleet.keys[TEAM])
    arguments = [client for _ in range(CLIENT_PROCESSES)]
    counts = clients.starmap(load_entry, arguments)
    answered = sum(count for count, _ in counts)
    cpu_s = read_cpu_s(pid) - before_s
    return {
        'requests_per_s': round(answered / CLIENT_SECONDS),
        'other_answers': sum(other for _, other in counts),
        'entry_cpu_us_per_request': round(cpu_s / max(1, answered) * 1_000_000),
        'entry_cpu_ratio': round(cpu_s / CLIENT_SECONDS, 2),
    }


def print_profile(path: Path) -> None:
    """Print the functions that the entry spent most time in."""
    stats = pstats.Stats(str(path), stream=sys.stdout)
    stats.sort_stats('tottime').print_stats(25)
    stats.sort_stats('cumulative').print_stats('comfreywind|hypercorn|httpcore', 30)


@click.command()
@click.option('--profile', is_flag=True, help='Run the entry under cProfile and print the result.')
def main(profile: bool) -> None:
    """Print the latency that one entry adds and the requests a second that it serves."""
    fleet = Fleet(FleetPlan(entries_count=1))
    profile_path = fleet.folder / 'entry.profile'
    if profile:
        fleet.entries[0].python_options = ('-m', 'cProfile', '-o', str(profile_path))
    with multiprocessing.get_context('spawn').Pool(CLIENT_PROCESSES) as clients, fleet:
        target = str(fleet.vms[0]['address'])
        key = fleet.keys[TEAM]
        direct = measure_latency(target, '/work', key)
        through = measure_latency(fleet.caller_addresses[0], '/queues/rebuild/work', key)
        for percentile in (50, 99):
            base_us = direct.get_value_at_percentile(percentile)
            entry_us = through.get_value_at_percentile(percentile)
            click.echo(
                f'p{percentile}: direct {base_us} us, through the entry {entry_us} us, '
                f'added {entry_us - base_us} us'
            )
        click.echo(measure_throughput(fleet, '/queues/rebuild/work', clients))
        if profile:
            fleet.entries[0].stop()
            print_profile(profile_path)


if __name__ == '__main__':
    main()
