"""Keeps the rules in force and the waves of upkeep as the operator wrote them."""

import logging

from comfreywind.clock import Clock
from comfreywind.jobs.job_rules import JobRules
from comfreywind.jobs.upkeep_wave import UpkeepWave
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.rules_codec import decode_rules
from comfreywind.platform.stored_row import StoredRow
from comfreywind.platform.wave_codec import decode_wave
from comfreywind.platform.wire import KEY_CONFIG, PREFIX_WAVE, TABLE_OPERATOR
from comfreywind.scheduling.row_feed import RowFeed

# With the wait of a feed of 0.7 s, a change shows well within the 2 s that the users allow.
STALE_S = 1.9

log = logging.getLogger('comfreywind.rules')


class RulesFollower:
    """Owns the rules of this node; an older version never replaces a newer one."""

    def __init__(self, rows: RowsClient, clock: Clock) -> None:
        """Follow the operator's table through the store's client."""
        self._clock = clock
        self._feed = RowFeed(rows, TABLE_OPERATOR, ('',), self._take_row, clock)
        self.rules: JobRules | None = None
        self.waves: dict[int, UpkeepWave] = {}
        self._wave_end_s: dict[int, float] = {}

    async def run(self) -> None:
        """Follow the table for ever."""
        await self._feed.run()

    async def wait_loaded(self) -> None:
        """Return once the table was read for the first time."""
        await self._feed.loaded.wait()

    def is_fresh(self) -> bool:
        """Return whether a newer version would be known by now."""
        confirmed_s = self._feed.confirmed_s
        if self.rules is None or confirmed_s is None:
            return False
        return self._clock.read_monotonic_s() - confirmed_s < STALE_S

    def get_wave_end_s(self, wave: int) -> float:
        """Return when the wave should be complete, by the time this node first saw it."""
        return self._wave_end_s[wave]

    def _take_row(self, row: StoredRow) -> None:
        if row.payload is None:
            return
        if row.key == KEY_CONFIG:
            self._take_rules(row.payload)
        elif row.key.startswith(PREFIX_WAVE):
            wave = decode_wave(row.payload)
            if wave is not None:
                self._take_wave(wave)

    def _take_wave(self, wave: UpkeepWave) -> None:
        end_s = self._clock.read_monotonic_s() + wave.duration_s
        self._wave_end_s.setdefault(wave.wave, end_s)
        self.waves[wave.wave] = wave

    def _take_rules(self, payload: bytes) -> None:
        rules = decode_rules(payload)
        if rules is None:
            return
        if self.rules is not None and rules.version < self.rules.version:
            log.warning('rules version %d is older than %d', rules.version, self.rules.version)
            return
        self.rules = rules
        log.info('rules version %d in force, %d queues', rules.version, len(rules.queues))
