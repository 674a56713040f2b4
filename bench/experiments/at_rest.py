"""Cost of an entry without requests, by number of VMs, teams and entries.

`python -m bench.experiments.at_rest`: real processes; every VM of the list has the address of one
executor, so that thousands of VMs cost no processes.
"""

import time
from dataclasses import dataclass
from typing import Any

import click
import psutil

from bench.figures import Figures, format_table
from bench.fleet import Fleet
from bench.fleet_plan import FleetPlan
from bench.socket_traffic import can_read_traffic, read_traffic

SETTLE_S = 6.0
MEASURE_S = 10.0
BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1_000
VMS_PER_RACK = 20


@dataclass(frozen=True, slots=True)
class Size:
    """Size of a fleet at rest."""

    entries: int
    vms: int
    teams: int
    pools: int

    @property
    def label(self) -> str:
        """Return the text that names the size in the figures."""
        return f'{self.entries}_entries_{self.vms}_vms_{self.teams}_teams_{self.pools}_pools'


SIZES = (
    Size(3, 40, 6, 5),
    Size(3, 40, 63, 5),
    Size(3, 400, 6, 5),
    Size(3, 2000, 6, 5),
    Size(3, 2000, 63, 56),
    Size(9, 40, 6, 5),
)


def measure(figures: Figures, sizes: tuple[Size, ...] = SIZES) -> None:
    """Add processor share, memory and traffic of one entry for each size."""
    for size in sizes:
        with Fleet(make_plan(size)) as fleet:
            fleet.set_vms(make_vms(fleet, size))
            time.sleep(SETTLE_S)
            _measure_entry(figures, size, psutil.Process(fleet.entries[0].pid))


def make_plan(size: Size) -> FleetPlan:
    """Return the plan of a fleet with one executor and the teams, pools and queues of the size."""
    pools: dict[str, Any] = {f'pool-{index}': {} for index in range(size.pools)}
    teams = {f'team-{index}': {'ceiling_units': 100} for index in range(size.teams)}
    queues = {
        f'queue-{index}': {'pool': f'pool-{index}', 'teams': list(teams)}
        for index in range(size.pools)
    }
    bundle = {'teams': teams, 'pools': pools, 'queues': queues}
    return FleetPlan(entries_count=size.entries, executors_by_pool={'pool-0': 1}, bundle=bundle)


def make_vms(fleet: Fleet, size: Size) -> list[dict[str, Any]]:
    """Return a VM list in which every VM has the address of the one executor."""
    address = fleet.vms[0]['address']
    return [
        {
            'name': f'vm-{index}',
            'address': address,
            'data_centre': f'dc-{index % 3}',
            'rack': f'rack-{index // VMS_PER_RACK}',
            'pool': f'pool-{index % size.pools}',
        }
        for index in range(size.vms)
    ]


def _measure_entry(figures: Figures, size: Size, process: psutil.Process) -> None:
    prefix = f'at_rest_{size.label}'
    cpu_before_s = _read_cpu_s(process)
    traffic_before = read_traffic(process.pid) if can_read_traffic() else None
    started_s = time.monotonic()
    time.sleep(MEASURE_S)
    elapsed_s = time.monotonic() - started_s
    cpu_ratio = (_read_cpu_s(process) - cpu_before_s) / elapsed_s
    figures.add(f'{prefix}_cpu_percent', 100 * cpu_ratio)
    figures.add(f'{prefix}_memory_mb', process.memory_info().rss / BYTES_PER_MB)
    if traffic_before is None:
        figures.mark_invalid(f'{prefix}_traffic_kb_per_s', 'the program ss is missing')
        return
    sent_bytes = read_traffic(process.pid).total_bytes - traffic_before.total_bytes
    figures.add(f'{prefix}_traffic_kb_per_s', sent_bytes / BYTES_PER_KB / elapsed_s)


def _read_cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def main() -> None:
    """Run the experiment and print its figures."""
    figures = Figures()
    measure(figures)
    click.echo(format_table(figures))


if __name__ == '__main__':
    main()
