"""Samples how many VMs of a pool are available."""

import threading
import time
from dataclasses import dataclass
from types import TracebackType

from bench.fleet import Fleet

SAMPLE_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class AvailabilitySample:
    """Available VMs, planned stops and borrowed VMs of the pool at a monotonic time."""

    at_s: float
    available: int
    stops: int
    borrowed: int
    wave: str


class WaveWatch:
    """Samples a pool in a thread of its own until the context ends."""

    def __init__(self, fleet: Fleet, pool: str) -> None:
        """Watch the pool of the fleet."""
        self._fleet = fleet
        self._pool = pool
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.dead_racks: set[str] = set()
        self.samples: list[AvailabilitySample] = []

    def __enter__(self) -> 'WaveWatch':
        """Start sampling."""
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop sampling."""
        self._ended.set()
        self._thread.join()

    def find_lowest(self) -> int:
        """Return the lowest number of available VMs that was sampled."""
        return min(sample.available for sample in self.samples)

    def _run(self) -> None:
        while not self._ended.is_set():
            self.samples.append(self._sample())
            time.sleep(SAMPLE_INTERVAL_S)

    def _sample(self) -> AvailabilitySample:
        """Count VMs as available that are active in their row, truly live and not in a dead rack."""
        live = {
            vm['name']
            for vm in self._fleet.read_true_vms()
            if vm['state'] == 'live' and vm['rack'] not in self.dead_racks
        }
        rows = self._fleet.read_table('vms')
        own = {name: row for name, row in rows.items() if row['pool'] == self._pool}
        available = sum(row['state'] == 'active' and name in live for name, row in own.items())
        stops = sum(row['state'] in {'draining', 'rebooting'} for row in own.values())
        borrowed = sum(row['home_pool'] != self._pool for row in own.values())
        pool_row = self._fleet.read_table('budgets').get(self._pool, {})
        wave = pool_row.get('wave', {}).get('state', '')
        return AvailabilitySample(time.monotonic(), available, stops, borrowed, wave)
