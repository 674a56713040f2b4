"""Bursts of demand: recognised, remembered, forgotten."""

import pytest

from comfreywind.decisions.scheduling.burst import BurstMemory

# Loads in VMs at intervals of half a second: a burst to 20, then quiet for two seconds.
BURST = [2, 6, 12, 20, 18, 8, 1, 0, 0, 0, 0]
INTERVAL_S = 0.5


def record_loads(memory: BurstMemory, loads: list[float], start_s: float = 0) -> list[float]:
    """Return the load to expect after each of the loads."""
    return [
        memory.record_load(load_vms, start_s + number * INTERVAL_S)
        for number, load_vms in enumerate(loads)
    ]


@pytest.mark.parametrize(
    ('memory_s', 'second_start_s', 'second', 'expected'),
    [
        (60, 16, [4, 8], [20, 20]),
        (60, 16, [4, 8, 12, 16, 16], [20, 20, 20, 20, 0]),
        (60, 16, [1, 0], [0, 0]),
        (60, 70, [4, 8], [0, 0]),
        (0, 16, [4, 8], [0, 0]),
    ],
    ids=['to the peak at once', 'no longer than the rise', 'too small', 'long ago', 'off'],
)
def test_second_burst(
    memory_s: float, second_start_s: float, second: list[float], expected: list[float]
) -> None:
    """A second burst is expected to reach the peak of the first one, unless that was long ago."""
    memory = BurstMemory(memory_s)
    assert not any(record_loads(memory, BURST))
    assert record_loads(memory, second, second_start_s) == expected


def test_steady_load() -> None:
    """A steady load doesn't count as one burst after another."""
    memory = BurstMemory(60)
    assert not any(record_loads(memory, [10, 11, 9, 12] * 40))
