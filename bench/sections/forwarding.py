"""Latency and throughput of one entry against a direct httpcore client in the same run."""

import multiprocessing

from bench.figures import Figures
from bench.fleet import Fleet
from bench.fleet_plan import FleetPlan
from bench.forwarding import CLIENT_PROCESSES, TEAM, measure_latency, measure_throughput
from bench.sections.flatten import add_document

PERCENTILES = ((50, 'p50'), (99, 'p99'), (99.9, 'p999'))
RUNS = 3


def measure(figures: Figures) -> None:
    """Add the median of the added latency, its ratio to the direct call, and the throughput."""
    context = multiprocessing.get_context('spawn')
    with context.Pool(CLIENT_PROCESSES) as clients, Fleet(FleetPlan(entries_count=1)) as fleet:
        target = str(fleet.vms[0]['address'])
        key = fleet.keys[TEAM]
        for run in range(RUNS):
            direct = measure_latency(target, '/work', key)
            through = measure_latency(fleet.caller_addresses[0], '/queues/rebuild/work', key)
            for percentile, name in PERCENTILES:
                direct_us = direct.get_value_at_percentile(percentile)
                through_us = through.get_value_at_percentile(percentile)
                figures.add(f'forwarding_run_{run}_added_{name}_us', through_us - direct_us)
                figures.add(f'forwarding_run_{run}_{name}_ratio', through_us / direct_us)
        throughput = measure_throughput(fleet, '/queues/rebuild/work', clients)
        add_document(figures, 'forwarding', throughput)
