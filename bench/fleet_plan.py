"""What a fleet on loopback consists of."""

from dataclasses import dataclass, field
from typing import Any

DEFAULT_BUNDLE: dict[str, Any] = {
    'teams': {
        'timetables': {'weight': 3, 'ceiling_units': 24},
        'rosters': {'weight': 1, 'ceiling_units': 24},
        'public': {'weight': 1, 'ceiling_units': 4},
    },
    'pools': {
        'crossings': {'max_run_s': 10, 'minimum_available_ratio': 0.5},
        'reserve': {'spare': True},
    },
    'queues': {
        'rebuild': {'pool': 'crossings', 'teams': ['timetables', 'rosters']},
        'notices': {'pool': 'crossings', 'open': True, 'open_team': 'public'},
    },
}


@dataclass(slots=True)
class FleetPlan:
    """Numbers of entries and executors by pool, the bundle and extra settings.

    The entries in `relayed_entries` reach the platform through a relay of their own.
    """

    entries_count: int = 3
    executors_by_pool: dict[str, int] = field(default_factory=lambda: {'crossings': 4})
    slots: int = 8
    connections: int = 64
    vms_per_rack: int = 4
    data_centres: tuple[str, ...] = ('dc-1', 'dc-2', 'dc-3')
    bundle: dict[str, Any] = field(default_factory=lambda: DEFAULT_BUNDLE)
    timings: dict[str, float] = field(default_factory=lambda: {'drain_notice_s': 0.2})
    entry_settings: dict[str, Any] = field(default_factory=dict)
    relayed_entries: tuple[int, ...] = ()
    vm_list_lag_s: float = 0.5
    reboot_s: float = 0.5
    target_processes: int = 1
    target_process_by_rack: bool = False
