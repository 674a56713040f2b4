"""Follows the operator's table: the rules in force and the maintenance waves."""

import logging

import trio

from comfreywind.clock import Clock
from comfreywind.jobs.job_rules import JobRules
from comfreywind.jobs.maintenance_wave import MaintenanceWave
from comfreywind.metrics import Metrics, NoMetrics
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.rules_codec import decode_rules
from comfreywind.platform.stored_row import StoredRow
from comfreywind.platform.wave_codec import decode_wave
from comfreywind.platform.wire import (
    KEY_CONFIG,
    PREFIX_EVACUATION,
    PREFIX_WAVE,
    TABLE_OPERATOR,
)
from comfreywind.scheduling.row_feed import RowFeed

# A feed request waits up to 0.7 s, so a change is known well within the 2 s that the users allow at
# least. Rules that were not confirmed for that time, less this margin, may be out of date.
STALE_MARGIN_S = 0.1

log = logging.getLogger('comfreywind.rules')


class RulesFollower:
    """Owns the node's rules and waves; an older version of the rules never replaces a newer one."""

    def __init__(
        self,
        rows: RowsClient,
        clock: Clock,
        metrics: Metrics | None = None,
        apply_limit_s: float = 2,
    ) -> None:
        """Read the operator's table with the store's client.

        Earlier rules may be used for `apply_limit_s` after a change.
        """
        self._stale_s = apply_limit_s - STALE_MARGIN_S
        self._clock = clock
        self._metrics = metrics or NoMetrics()
        self._feed = RowFeed(
            rows, TABLE_OPERATOR, ('',), self._handle_row, clock, metrics=self._metrics
        )
        self.rules: JobRules | None = None
        self.waves: dict[int, MaintenanceWave] = {}
        self._wave_end_s: dict[int, float] = {}
        self._evacuation_changed = trio.Event()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        await self._feed.run()

    async def wait_loaded(self) -> None:
        """Return once the whole table has been read for the first time."""
        await self._feed.loaded.wait()

    def is_fresh(self) -> bool:
        """Return whether the rules are known and may still be used."""
        confirmed_s = self._feed.confirmed_s
        if self.rules is None or confirmed_s is None:
            return False
        return self._clock.read_monotonic_s() - confirmed_s < self._stale_s

    def get_wave_end_s(self, wave: int) -> float:
        """Return when the wave should be complete, counted from when this node first read it."""
        return self._wave_end_s[wave]

    async def wait_for_evacuation_change(self) -> None:
        """Return once the feed tells that a request to evacuate a data centre came or went."""
        await self._evacuation_changed.wait()

    def _handle_row(self, row: StoredRow) -> None:
        if row.key.startswith(PREFIX_EVACUATION):
            self._evacuation_changed.set()
            self._evacuation_changed = trio.Event()
            return
        if row.payload is None:
            return
        if row.key == KEY_CONFIG:
            self._apply_rules(row.payload)
        elif row.key.startswith(PREFIX_WAVE):
            wave = decode_wave(row.payload)
            if wave is not None:
                self._apply_wave(wave)

    def _apply_wave(self, wave: MaintenanceWave) -> None:
        end_s = self._clock.read_monotonic_s() + wave.duration_s
        self._wave_end_s.setdefault(wave.wave, end_s)
        self.waves[wave.wave] = wave

    def _apply_rules(self, payload: bytes) -> None:
        rules = decode_rules(payload)
        if rules is None:
            return
        if self.rules is not None and rules.version < self.rules.version:
            log.warning(
                'rules version %d ignored, because it is older than version %d in force',
                rules.version,
                self.rules.version,
            )
            return
        self.rules = rules
        self._metrics.set_level('rules.version', rules.version)
        self._metrics.set_level('rules.bytes', len(payload))
        log.info('rules version %d in force, %d queues', rules.version, len(rules.queues))
